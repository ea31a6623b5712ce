#include <algorithm>

#include <fmt/format.h>

#include "src/Ctl/Commands.h"
#include "src/Ctl/HttpFetch.h"
#include "src/Ctl/Mesh.h"
#include "src/Ctl/VersionReport.h"

// Commands that ask daemons on their operators' ports.

namespace pistachioshift {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

std::string
ListDaemons(const std::vector<DaemonId>& aDaemons)
{
  std::string list;
  for (const auto daemon : aDaemons) {
    list += fmt::format("{}{}", list.empty() ? "" : ",", daemon.Value());
  }
  return list.empty() ? "-" : list;
}

std::string
HolderOf(const EntryStatus& aEntry)
{
  return aEntry.holder ? fmt::format("{}", aEntry.holder->Value()) : "-";
}

void
PrintEntry(const EntryStatus& aEntry)
{
  fmt::print(
    "service {} range {}{} entry {} owner {} holder {} heirs {}\n",
    aEntry.service.Value(),
    aEntry.range.Value(),
    aEntry.pinnedKey.empty() ? "" : fmt::format(" key {}", aEntry.pinnedKey),
    aEntry.entry.Value(),
    aEntry.owner.Value(),
    HolderOf(aEntry),
    ListDaemons(aEntry.heirs));
}

size_t
CountHeld(const DaemonStatus& aStatus, DaemonId aDaemon)
{
  const auto& entries = aStatus.entries;
  return static_cast<size_t>(
    std::count_if(entries.begin(), entries.end(), [&](const auto& aEntry) {
      return aEntry.holder == aDaemon;
    }));
}

// A daemon's refusal in its own words.
ExitCode
ReportCommand(const HttpAnswer& aAnswer)
{
  fmt::print("{}\n", aAnswer.body);
  return aAnswer.status == kStatusOk ? ExitCode::kDone : ExitCode::kRefused;
}

ExitCode
SendCommand(const Options& aOptions, const std::string& aTarget)
{
  const auto endpoint = FindDaemon(aOptions, aOptions.arguments.front());
  return ReportCommand(
    Fetch({ endpoint, HttpVerb::kPost, aTarget }, aOptions.timeout));
}

std::string
MoveTarget(const Options& aOptions)
{
  if (aOptions.range.has_value() == aOptions.serviceKey.has_value()) {
    throw ConfigError("give either --key or --range");
  }
  const auto to = Require(aOptions.to, "--to");
  const auto place =
    aOptions.range
      ? fmt::format("range={}", aOptions.range->Value())
      : fmt::format("key={}", EncodeQueryValue(*aOptions.serviceKey));
  return fmt::format("/move?service={}&{}&to={}",
                     EncodeQueryValue(aOptions.arguments.front()),
                     place,
                     to.Value());
}

}

ExitCode
ShowDocumentStatus(const Options& aOptions)
{
  const auto answers = AskAllDaemons(aOptions);
  const auto report = CountVersions(answers, aOptions.section);
  fmt::print("{}", FormatReport(report));
  return report.IsUniform() ? ExitCode::kDone : ExitCode::kRefused;
}

ExitCode
ShowStatus(const Options& aOptions)
{
  const auto status = AskOneDaemon(aOptions);
  fmt::print("daemon {} host {} zone {} document {} planner {} log {}\n",
             status.daemon.Value(),
             status.host.Value(),
             status.zone.Value(),
             status.documentVersion.Value(),
             status.planner.Value(),
             status.logConnected ? "connected" : "silent");
  for (const auto& member : status.members) {
    fmt::print("member {} host {} zone {} address {} holds {}{}\n",
               member.daemon.Value(),
               member.host.Value(),
               member.zone.Value(),
               member.address,
               CountHeld(status, member.daemon),
               member.leaving ? " leaving" : "");
  }
  return ExitCode::kDone;
}

ExitCode
ShowOwners(const Options& aOptions)
{
  const auto status = AskOneDaemon(aOptions);
  for (const auto& entry : status.entries) {
    const bool chosen = aOptions.arguments.empty() ||
                        entry.service.Value() == aOptions.arguments.front();
    if (chosen) {
      PrintEntry(entry);
    }
  }
  return ExitCode::kDone;
}

ExitCode
ExplainKey(const Options& aOptions)
{
  if (aOptions.daemons.empty()) {
    FailMissing("--daemon");
  }
  const auto target = fmt::format("/explain?service={}&key={}",
                                  EncodeQueryValue(aOptions.arguments[0]),
                                  EncodeQueryValue(aOptions.arguments[1]));
  const auto answer = Fetch(
    { aOptions.daemons.front(), HttpVerb::kGet, target }, aOptions.timeout);
  const auto explanation = ParseExplanation(answer.body);
  if (!explanation.error.empty()) {
    fmt::print("{}\n", explanation.error);
    return ExitCode::kRefused;
  }
  if (!explanation.keyed) {
    fmt::print("any of the instances {}\n", ListDaemons(explanation.instances));
    return ExitCode::kDone;
  }
  fmt::print("range {}{}, requests go to {}\n",
             explanation.range.Value(),
             explanation.pinned ? ", pinned" : "",
             ListDaemons(explanation.route));
  for (const auto& entry : explanation.chain) {
    PrintEntry(entry);
  }
  return ExitCode::kDone;
}

ExitCode
DrainDaemon(const Options& aOptions)
{
  return SendCommand(aOptions, "/drain");
}

ExitCode
UndrainDaemon(const Options& aOptions)
{
  return SendCommand(aOptions, "/undrain");
}

ExitCode
MoveEntry(const Options& aOptions)
{
  const auto target = MoveTarget(aOptions);
  const auto status = AskOneDaemon(aOptions);
  if (status.planner == DaemonId(0)) {
    throw RefusedError("no daemon plans at the moment; try again");
  }
  const auto planner = EndpointOf(status, status.planner);
  auto answer = Fetch({ planner, HttpVerb::kPost, target }, aOptions.timeout);
  if (answer.status == kStatusConflict) {
    throw RefusedError(
      fmt::format("daemon {}: {}", status.planner.Value(), answer.body));
  }
  return ReportCommand(answer);
}

}
