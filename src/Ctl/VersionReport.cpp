#include "src/Ctl/VersionReport.h"

#include <set>

#include <fmt/format.h>

namespace pistachioshift {

namespace {

Offset
VersionIn(const DaemonStatus& aStatus,
          const std::optional<SectionName>& aSection)
{
  if (!aSection) {
    return aStatus.documentVersion;
  }
  const auto found = aStatus.sections.find(*aSection);
  return found == aStatus.sections.end() ? Offset(0) : found->second;
}

std::string
ListDaemons(const std::vector<DaemonId>& aDaemons)
{
  std::string list;
  for (const auto daemon : aDaemons) {
    list += fmt::format("{}{}", list.empty() ? "" : ", ", daemon.Value());
  }
  return list;
}

}

VersionReport
CountVersions(const std::vector<DaemonStatus>& aAnswers,
              const std::optional<SectionName>& aSection)
{
  VersionReport report;
  std::set<DaemonId> answered;
  std::set<DaemonId> members;
  for (const auto& status : aAnswers) {
    if (!answered.insert(status.daemon).second) {
      continue;
    }
    report.daemons[VersionIn(status, aSection)].push_back(status.daemon);
    for (const auto& member : status.members) {
      members.insert(member.daemon);
    }
  }
  for (const auto member : members) {
    if (!answered.contains(member)) {
      report.silent.push_back(member);
    }
  }
  return report;
}

std::string
FormatReport(const VersionReport& aReport)
{
  size_t total = aReport.silent.size();
  for (const auto& [version, daemons] : aReport.daemons) {
    total += daemons.size();
  }
  std::string text;
  const auto& versions = aReport.daemons;
  for (auto at = versions.rbegin(); at != versions.rend(); ++at) {
    text += fmt::format("version {}: {} of {} daemons",
                        at->first.Value(),
                        at->second.size(),
                        total);
    const bool newest = at == versions.rbegin();
    text +=
      newest ? "\n" : fmt::format(", behind: {}\n", ListDaemons(at->second));
  }
  if (!aReport.silent.empty()) {
    text += fmt::format("no answer: {} of {} daemons: {}\n",
                        aReport.silent.size(),
                        total,
                        ListDaemons(aReport.silent));
  }
  return text;
}

}
