#include "src/Ctl/VersionReport.h"

#include <map>
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
NameOf(const DaemonStatus& aStatus)
{
  return aStatus.daemon == DaemonId(0)
           ? "host " + aStatus.host.Value()
           : fmt::format("{}", aStatus.daemon.Value());
}

void
CountAnswers(const MeshAnswers& aAnswers,
             const std::optional<SectionName>& aSection,
             VersionReport& aReport)
{
  std::set<std::string> boots;
  for (const auto& status : aAnswers.answers) {
    if (boots.insert(status.boot).second) {
      aReport.daemons[VersionIn(status, aSection)].push_back(NameOf(status));
    }
  }
}

std::map<DaemonId, Endpoint>
SilentMembers(const MeshAnswers& aAnswers)
{
  std::map<DaemonId, Endpoint> silent;
  for (const auto& status : aAnswers.answers) {
    for (const auto& member : status.members) {
      silent[member.daemon] = Endpoint{ member.address, member.operatorsPort };
    }
  }
  for (const auto& status : aAnswers.answers) {
    silent.erase(status.daemon);
  }
  return silent;
}

// A silent endpoint that is a silent member's counts once, as the member.
void
CountSilent(const MeshAnswers& aAnswers, VersionReport& aReport)
{
  std::set<Endpoint> ofMembers;
  for (const auto& [daemon, endpoint] : SilentMembers(aAnswers)) {
    aReport.silent.push_back(fmt::format("{}", daemon.Value()));
    ofMembers.insert(endpoint);
  }
  for (const auto& endpoint : aAnswers.silent) {
    if (!ofMembers.contains(endpoint)) {
      aReport.silent.push_back(
        fmt::format("{}:{}", endpoint.address, endpoint.port));
    }
  }
}

}

VersionReport
CountVersions(const MeshAnswers& aAnswers,
              const std::optional<SectionName>& aSection)
{
  VersionReport report;
  CountAnswers(aAnswers, aSection, report);
  CountSilent(aAnswers, report);
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
    text += newest ? "\n"
                   : fmt::format(", behind: {}\n", fmt::join(at->second, ", "));
  }
  if (!aReport.silent.empty()) {
    text += fmt::format("no answer: {} of {} daemons: {}\n",
                        aReport.silent.size(),
                        total,
                        fmt::join(aReport.silent, ", "));
  }
  return text;
}

}
