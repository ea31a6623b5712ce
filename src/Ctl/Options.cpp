#include "src/Ctl/Options.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <iterator>
#include <limits>
#include <memory>

#include <event2/util.h>
#include <fmt/format.h>
#include <popt.h>

#include "src/Base/Error.h"
#include "src/Inner/InnerError.h"
#include "src/Inner/SocketAddress.h"

namespace pistachioshift {

namespace {

constexpr int64_t kMaxTimeoutSeconds = 3600;

// popt's table of one flag; the value that popt leaves is its text.
struct FlagText
{
  Flag flag;
  const char* name;
  const char* help;
  const char* value; // nullptr: the flag takes none.
};

constexpr FlagText kFlagTexts[] = {
  { Flag::kLog, "log", "log service, by IP number", "ADDRESS:PORT" },
  { Flag::kDaemon,
    "daemon",
    "operators' ports of daemons; the first one tells the others' addresses",
    "ADDRESS:PORT[,...]" },
  { Flag::kTimeout, "timeout", "longest wait, 15 by default", "SECONDS" },
  { Flag::kSection, "section", "section of the document", "NAME" },
  { Flag::kFile, "file", "file with the section's text", "FILE" },
  { Flag::kKeyFile, "key", "file with the team's secret key", "FILE" },
  { Flag::kTeam, "team", "team, by default the section's owner", "NAME" },
  { Flag::kBase,
    "base",
    "version that the text was written against, or 'current'",
    "VERSION" },
  { Flag::kSections, "sections", "sections the team owns", "NAME[,...]" },
  { Flag::kOutput, "out", "new file for the secret key", "FILE" },
  { Flag::kServiceKey, "key", "key whose entry is meant", "KEY" },
  { Flag::kRange, "range", "range that is meant", "NUMBER" },
  { Flag::kTo, "to", "daemon that gets it", "DAEMON" },
  { Flag::kFrom, "from", "first offset, 1 by default", "OFFSET" },
  { Flag::kFollow, "follow", "wait for further records", nullptr },
};

const FlagText&
TextOf(Flag aFlag)
{
  for (const auto& text : kFlagTexts) {
    if (text.flag == aFlag) {
      return text;
    }
  }
  throw ConfigError("unknown flag");
}

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> items;
  size_t start = 0;
  while (start <= aText.size()) {
    const auto end = std::min(aText.find(',', start), aText.size());
    items.push_back(aText.substr(start, end - start));
    start = end + 1;
  }
  return items;
}

Duration
ParseTimeout(const std::string& aText)
{
  const auto seconds = ParseWholeNumber("--timeout", aText);
  if (seconds < 1 || seconds > kMaxTimeoutSeconds) {
    throw ConfigError(
      fmt::format("--timeout: must be 1 to {} seconds", kMaxTimeoutSeconds));
  }
  return std::chrono::seconds(seconds);
}

RangeIndex
ParseRange(const std::string& aText)
{
  const auto number = ParseWholeNumber("--range", aText);
  if (number > std::numeric_limits<uint32_t>::max()) {
    throw ConfigError("--range: the number is too large");
  }
  return RangeIndex(static_cast<uint32_t>(number));
}

void
SetFlag(Options& aOptions, Flag aFlag, const std::string& aText)
{
  switch (aFlag) {
    case Flag::kLog:
      aOptions.log = ParseEndpoint(aText);
      break;
    case Flag::kDaemon:
      for (const auto& item : SplitList(aText)) {
        aOptions.daemons.push_back(ParseEndpoint(item));
      }
      break;
    case Flag::kTimeout:
      aOptions.timeout = ParseTimeout(aText);
      break;
    case Flag::kSection:
      aOptions.section = SectionName(aText);
      break;
    case Flag::kFile:
      aOptions.file = aText;
      break;
    case Flag::kKeyFile:
      aOptions.keyFile = aText;
      break;
    case Flag::kTeam:
      aOptions.team = TeamName(aText);
      break;
    case Flag::kBase:
      aOptions.base = aText;
      break;
    case Flag::kSections:
      for (auto& item : SplitList(aText)) {
        aOptions.sections.emplace_back(std::move(item));
      }
      break;
    case Flag::kOutput:
      aOptions.output = aText;
      break;
    case Flag::kServiceKey:
      aOptions.serviceKey = aText;
      break;
    case Flag::kRange:
      aOptions.range = ParseRange(aText);
      break;
    case Flag::kTo:
      aOptions.to = DaemonId(ParseWholeNumber("--to", aText));
      break;
    case Flag::kFrom:
      aOptions.from = Offset(ParseWholeNumber("--from", aText));
      break;
    case Flag::kFollow:
      aOptions.follow = true;
      break;
  }
}

using PoptContext = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

std::vector<poptOption>
BuildTable(const std::vector<Flag>& aFlags)
{
  std::vector<poptOption> table;
  for (const auto flag : aFlags) {
    const auto& text = TextOf(flag);
    const unsigned kind = text.value ? POPT_ARG_STRING : POPT_ARG_NONE;
    const int code = static_cast<int>(flag) + 1;
    table.push_back(
      { text.name, 0, kind, nullptr, code, text.help, text.value });
  }
  const poptOption help[] = { POPT_AUTOHELP POPT_TABLEEND };
  table.insert(table.end(), std::begin(help), std::end(help));
  return table;
}

// popt hands over the text of the last flag; the caller frees it.
std::string
TakeText(poptContext aContext)
{
  char* text = poptGetOptArg(aContext);
  std::string result = text ? text : "";
  free(text); // NOLINT(cppcoreguidelines-no-malloc)
  return result;
}

void
ReadFlags(poptContext aContext, Options& aOptions)
{
  int code = 0;
  while ((code = poptGetNextOpt(aContext)) > 0) {
    SetFlag(aOptions, static_cast<Flag>(code - 1), TakeText(aContext));
  }
  if (code < -1) {
    throw ConfigError(
      fmt::format("{}: {}", poptBadOption(aContext, 0), poptStrerror(code)));
  }
}

}

Options
ParseOptions(const std::string& aTitle,
             const std::string& aSynopsis,
             const std::vector<Flag>& aFlags,
             const std::vector<std::string>& aWords)
{
  std::vector<const char*> words{ aTitle.c_str() };
  for (const auto& word : aWords) {
    words.push_back(word.c_str());
  }
  words.push_back(nullptr);
  const auto table = BuildTable(aFlags);
  const PoptContext context(poptGetContext(nullptr,
                                           static_cast<int>(words.size() - 1),
                                           words.data(),
                                           table.data(),
                                           0),
                            &poptFreeContext);
  const auto synopsis = "[OPTION...] " + aSynopsis;
  poptSetOtherOptionHelp(context.get(), synopsis.c_str());
  Options options;
  ReadFlags(context.get(), options);
  const char** rest = poptGetArgs(context.get());
  for (; rest && *rest; ++rest) {
    options.arguments.emplace_back(*rest);
  }
  return options;
}

Endpoint
ParseEndpoint(const std::string& aText)
{
  internal::SocketAddress address;
  int length = static_cast<int>(address.Length());
  const int status =
    evutil_parse_sockaddr_port(aText.c_str(), address.Get(), &length);
  if (status != 0) {
    throw ConfigError(
      fmt::format("'{}' is no ADDRESS:PORT by IP number", aText));
  }
  address.SetLength(static_cast<socklen_t>(length));
  auto endpoint = internal::ToEndpoint(address);
  if (endpoint.port == 0) {
    throw ConfigError(fmt::format("'{}' has no port", aText));
  }
  return endpoint;
}

int64_t
ParseWholeNumber(std::string_view aWhat, const std::string& aText)
{
  int64_t number = -1;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || number < 0) {
    throw ConfigError(
      fmt::format("{}: '{}' is no whole number of at least 0", aWhat, aText));
  }
  return number;
}

std::string
Require(const std::string& aValue, std::string_view aFlag)
{
  if (aValue.empty()) {
    FailMissing(aFlag);
  }
  return aValue;
}

void
FailMissing(std::string_view aFlag)
{
  throw ConfigError(fmt::format("{} is required", aFlag));
}

}
