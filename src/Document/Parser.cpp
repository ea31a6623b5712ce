#include "src/Document/Parser.h"

#include <algorithm>
#include <array>
#include <set>
#include <string>

#include <fmt/format.h>

#include "src/Document/TableReader.h"

namespace pistachioshift {

namespace {

using internal::Bounds;
using internal::TableReader;

constexpr size_t kMaxTeams = 128;
constexpr size_t kMaxKeysPerTeam = 4;
constexpr size_t kMaxSectionsPerTeam = 64;
constexpr size_t kMaxServices = 64;
constexpr size_t kMaxClasses = 32;
constexpr size_t kMaxMethods = 16;
constexpr size_t kMaxMethodLength = 32;
constexpr size_t kMaxPrefixLength = 256;

constexpr Bounds<uint32_t> kRangeBounds{ 1, 65536 };
constexpr Bounds<uint32_t> kSlotBounds{ 1, 4096 };
constexpr Bounds<uint32_t> kMoveBounds{ 0, 100000 };
constexpr Bounds<uint32_t> kDeadlineBoundsMs{ 1, 600000 };
constexpr Bounds<uint32_t> kQueueBounds{ 0, 100000 };
constexpr Bounds<double> kShareBounds{ 0.0, 1.0 };
constexpr Bounds<double> kQuantileBounds{ 0.5, 1.0 };
constexpr Bounds<double> kWeightBounds{ 0.001, 1000.0 };

constexpr uint32_t kDefaultMovesPerHour = 60;
constexpr uint32_t kDefaultDeadlineMs = 1000;
constexpr uint32_t kDefaultQueueBound = 64;

// RFC 9110, section 9.2.1; daemons forward no TRACE.
constexpr std::array<std::string_view, 3> kSafeMethods = { "GET",
                                                           "HEAD",
                                                           "OPTIONS" };

bool
IsNameStart(char aByte)
{
  return (aByte >= 'a' && aByte <= 'z') || (aByte >= '0' && aByte <= '9');
}

bool
IsSafe(const std::string& aMethod)
{
  return std::find(kSafeMethods.begin(), kSafeMethods.end(), aMethod) !=
         kSafeMethods.end();
}

bool
AllSafe(const std::vector<std::string>& aMethods)
{
  return !aMethods.empty() &&
         std::all_of(aMethods.begin(), aMethods.end(), IsSafe);
}

bool
MatchesAll(const RequestClass& aClass)
{
  return aClass.methods.empty() && aClass.pathPrefix.empty();
}

bool
IsMethod(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxMethodLength &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return aByte >= 'A' && aByte <= 'Z';
         });
}

bool
IsPathPrefix(const std::string& aText)
{
  return aText.starts_with('/') && aText.size() <= kMaxPrefixLength &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return aByte > ' ' && aByte <= '~' && aByte != '?' && aByte != '#';
         });
}

std::vector<std::string>
ReadMethods(TableReader& aReader)
{
  auto methods = aReader.Texts("methods", kMaxMethods);
  const auto wrong = std::find_if_not(methods.begin(), methods.end(), IsMethod);
  if (wrong != methods.end()) {
    aReader.Fail("methods",
                 fmt::format("'{}' is no method in capital letters", *wrong));
  }
  return methods;
}

std::string
ReadPathPrefix(TableReader& aReader)
{
  auto prefix = aReader.Text("path_prefix").value_or("");
  if (!prefix.empty() && !IsPathPrefix(prefix)) {
    aReader.Fail("path_prefix",
                 fmt::format("must begin with '/' and have at most {} visible "
                             "ASCII characters without '?' and '#'",
                             kMaxPrefixLength));
  }
  return prefix;
}

RequestClass
ReadClass(TableReader& aReader)
{
  RequestClass result;
  result.name = ClassName(aReader.Name("name"));
  result.methods = ReadMethods(aReader);
  result.pathPrefix = ReadPathPrefix(aReader);
  result.idempotent =
    aReader.Flag("idempotent").value_or(AllSafe(result.methods));
  result.weight = aReader.Real("weight", kWeightBounds).value_or(1.0);
  result.deadline =
    std::chrono::milliseconds(aReader.Integer("deadline_ms", kDeadlineBoundsMs)
                                .value_or(kDefaultDeadlineMs));
  result.queueBound =
    aReader.Integer("queue_bound", kQueueBounds).value_or(kDefaultQueueBound);
  aReader.Finish();
  return result;
}

RequestClass
DefaultClass(std::string aName)
{
  RequestClass result;
  result.name = ClassName(std::move(aName));
  result.deadline = std::chrono::milliseconds(kDefaultDeadlineMs);
  result.queueBound = kDefaultQueueBound;
  return result;
}

void
AddDefaultClasses(std::vector<RequestClass>& aClasses)
{
  auto safe = DefaultClass("default-safe");
  safe.methods.assign(kSafeMethods.begin(), kSafeMethods.end());
  safe.idempotent = true;
  aClasses.push_back(std::move(safe));
  aClasses.push_back(DefaultClass("default"));
}

std::vector<RequestClass>
ReadClasses(TableReader& aReader)
{
  std::vector<RequestClass> classes;
  std::set<ClassName> names{ ClassName("default"), ClassName("default-safe") };
  for (auto& reader : aReader.Tables("class", kMaxClasses)) {
    if (!classes.empty() && MatchesAll(classes.back())) {
      reader.Fail("name", "can't be reached: the class before it matches all");
    }
    auto entry = ReadClass(reader);
    if (!names.insert(entry.name).second) {
      reader.Fail("name",
                  fmt::format("class '{}' is declared before or reserved",
                              entry.name.Value()));
    }
    classes.push_back(std::move(entry));
  }
  if (classes.empty() || !MatchesAll(classes.back())) {
    AddDefaultClasses(classes);
  }
  return classes;
}

Division
ReadDivision(TableReader& aReader)
{
  const auto text = aReader.Require("division", aReader.Text("division"));
  if (text == "keyed") {
    return Division::kKeyed;
  }
  if (text != "any-instance") {
    aReader.Fail("division", "must be \"keyed\" or \"any-instance\"");
  }
  return Division::kAnyInstance;
}

Fencing
ReadFencing(TableReader& aReader)
{
  const auto text = aReader.Text("fencing").value_or("unchecked");
  if (text == "checked") {
    return Fencing::kChecked;
  }
  if (text != "unchecked") {
    aReader.Fail("fencing", "must be \"checked\" or \"unchecked\"");
  }
  return Fencing::kUnchecked;
}

uint32_t
ReadRanges(TableReader& aReader, Division aDivision)
{
  const auto ranges = aReader.Integer("ranges", kRangeBounds);
  if (aDivision == Division::kKeyed) {
    return aReader.Require("ranges", ranges);
  }
  if (ranges) {
    aReader.Fail("ranges", "only a keyed service has ranges");
  }
  return 0;
}

DeclaredService
ReadService(TableReader& aReader)
{
  ServicePolicy policy;
  policy.name = ServiceName(aReader.Name("name"));
  policy.division = ReadDivision(aReader);
  policy.fencing = ReadFencing(aReader);
  policy.ranges = ReadRanges(aReader, policy.division);
  policy.slots =
    aReader.Require("slots", aReader.Integer("slots", kSlotBounds));
  policy.maxMovesPerHour = aReader.Integer("max_moves_per_hour", kMoveBounds)
                             .value_or(kDefaultMovesPerHour);
  policy.retryShare =
    aReader.Real("retry_share", kShareBounds).value_or(policy.retryShare);
  policy.hedgeQuantile = aReader.Real("hedge_quantile", kQuantileBounds)
                           .value_or(policy.hedgeQuantile);
  policy.classes = ReadClasses(aReader);
  aReader.Finish();
  return DeclaredService{ std::move(policy), aReader.Position() };
}

ServicesSection
ReadServices(TableReader& aRoot)
{
  ServicesSection section;
  std::set<ServiceName> names;
  for (auto& reader : aRoot.Tables("service", kMaxServices)) {
    auto service = ReadService(reader);
    if (!names.insert(service.policy.name).second) {
      reader.Fail("name",
                  fmt::format("service '{}' is declared twice",
                              service.policy.name.Value()));
    }
    section.services.push_back(std::move(service));
  }
  return section;
}

std::vector<TeamPublicKey>
ReadKeys(TableReader& aReader)
{
  std::vector<TeamPublicKey> keys;
  for (const auto& text : aReader.Texts("keys", kMaxKeysPerTeam)) {
    try {
      keys.push_back(ParsePublicKey(text));
    } catch (const ParseError&) {
      throw;
    } catch (const DocumentError& error) {
      aReader.Fail("keys", error.what());
    }
  }
  if (keys.empty()) {
    aReader.Fail("keys", "needs at least one key");
  }
  return keys;
}

std::vector<SectionName>
ReadSectionNames(TableReader& aReader)
{
  std::vector<SectionName> sections;
  for (auto& text : aReader.Texts("sections", kMaxSectionsPerTeam)) {
    if (!IsDocumentName(text)) {
      aReader.Fail("sections", fmt::format("'{}' is no section name", text));
    }
    sections.emplace_back(std::move(text));
  }
  return sections;
}

Team
ReadTeam(TableReader& aReader)
{
  Team team;
  team.name = TeamName(aReader.Name("name"));
  team.keys = ReadKeys(aReader);
  team.sections = ReadSectionNames(aReader);
  team.position = aReader.Position();
  aReader.Finish();
  return team;
}

void
ClaimSections(const TableReader& aReader,
              const Team& aTeam,
              std::set<SectionName>& aClaimed)
{
  for (const auto& section : aTeam.sections) {
    if (!aClaimed.insert(section).second) {
      aReader.Fail("sections",
                   fmt::format("section '{}' has an owner before this one",
                               section.Value()));
    }
  }
}

TeamsSection
ReadTeams(TableReader& aRoot)
{
  TeamsSection section;
  std::set<SectionName> claimed;
  for (auto& reader : aRoot.Tables("team", kMaxTeams)) {
    auto team = ReadTeam(reader);
    if (section.Find(team.name)) {
      reader.Fail(
        "name", fmt::format("team '{}' is declared twice", team.name.Value()));
    }
    ClaimSections(reader, team, claimed);
    section.teams.push_back(std::move(team));
  }
  if (!claimed.contains(kTeamsSection)) {
    aRoot.Fail("team", "one team must own the section 'teams'");
  }
  return section;
}

toml::table
ParseToml(std::string_view aText)
{
  try {
    return toml::parse(aText);
  } catch (const toml::parse_error& error) {
    const auto& begin = error.source().begin;
    throw ParseError(TextPosition{ begin.line, begin.column },
                     "",
                     std::string(error.description()));
  }
}

}

bool
IsDocumentName(std::string_view aText)
{
  return !aText.empty() && aText.size() <= kMaxNameLength &&
         IsNameStart(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return IsNameStart(aByte) || aByte == '-';
         });
}

Section
ParseSection(const SectionName& aName, std::string_view aText)
{
  if (aText.size() > kMaxSectionBytes) {
    throw ParseError(
      TextPosition{ 1, 1 },
      "",
      fmt::format("the text is longer than {} bytes", kMaxSectionBytes));
  }
  const auto table = ParseToml(aText);
  TableReader root(table, "");
  Section section;
  if (aName == kTeamsSection) {
    section = ReadTeams(root);
  } else {
    section = ReadServices(root);
  }
  root.Finish();
  return section;
}

}
