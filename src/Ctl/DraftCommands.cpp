#include <filesystem>
#include <vector>

#include <fmt/format.h>

#include "Pistachioshift/Document"
#include "src/Ctl/Commands.h"
#include "src/Ctl/Files.h"

// Commands that need neither the log service nor a daemon.

namespace pistachioshift {

namespace {

SectionName
SectionOfFile(const Options& aOptions, const std::string& aPath)
{
  if (aOptions.section) {
    return *aOptions.section;
  }
  return SectionName(std::filesystem::path(aPath).stem().string());
}

std::vector<SectionDraft>
ReadDrafts(const Options& aOptions)
{
  if (aOptions.section && aOptions.arguments.size() > 1) {
    throw ConfigError("--section goes with one file only");
  }
  std::vector<SectionDraft> drafts;
  drafts.reserve(aOptions.arguments.size());
  for (const auto& path : aOptions.arguments) {
    drafts.push_back({ SectionOfFile(aOptions, path), ReadFile(path) });
  }
  return drafts;
}

std::string
QuotedList(const std::vector<SectionName>& aSections)
{
  std::string list;
  for (const auto& section : aSections) {
    list += fmt::format("{}\"{}\"", list.empty() ? "" : ", ", section.Value());
  }
  return list;
}

}

ExitCode
CheckDocument(const Options& aOptions)
{
  const auto drafts = ReadDrafts(aOptions);
  const auto problems = CheckDrafts(drafts);
  for (const auto& problem : problems) {
    fmt::print("{}:{}:{}: {}\n",
               aOptions.arguments[problem.draft],
               problem.position.line,
               problem.position.column,
               problem.message);
  }
  if (!problems.empty()) {
    return ExitCode::kBadInput;
  }
  fmt::print("valid: {} sections\n", drafts.size());
  return ExitCode::kDone;
}

ExitCode
GenerateTeamKey(const Options& aOptions)
{
  const auto& team = Require(aOptions.team, "--team");
  const auto& path = Require(aOptions.output, "--out");
  if (!IsDocumentName(team.Value())) {
    throw ConfigError(fmt::format("'{}' is no name of a team", team.Value()));
  }
  const auto key = GenerateKey();
  WriteSecretFile(path, FormatSecretKey(key) + "\n");
  fmt::print("[[team]]\nname = \"{}\"\nkeys = [\"{}\"]\nsections = [{}]\n",
             team.Value(),
             FormatPublicKey(PublicKeyOf(key)),
             QuotedList(aOptions.sections));
  return ExitCode::kDone;
}

}
