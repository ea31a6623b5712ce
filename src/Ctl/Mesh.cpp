#include "src/Ctl/Mesh.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "src/Ctl/CtlError.h"
#include "src/Ctl/HttpFetch.h"

namespace pistachioshift {

namespace {

constexpr int kStatusOk = 200;

const std::vector<Endpoint>&
RequireDaemons(const Options& aOptions)
{
  if (aOptions.daemons.empty()) {
    FailMissing("--daemon");
  }
  return aOptions.daemons;
}

// Members whose operators' port isn't told get the usual one.
void
FillPorts(const Options& aOptions, DaemonStatus& aStatus)
{
  const auto usual = RequireDaemons(aOptions).front().port;
  for (auto& member : aStatus.members) {
    member.operatorsPort = member.operatorsPort ? member.operatorsPort : usual;
  }
}

MeshAnswers
AskStatus(const Options& aOptions, const std::vector<Endpoint>& aEndpoints)
{
  std::vector<HttpQuestion> questions;
  questions.reserve(aEndpoints.size());
  for (const auto& endpoint : aEndpoints) {
    questions.push_back({ endpoint, HttpVerb::kGet, "/status" });
  }
  const auto answers = FetchAll(questions, aOptions.timeout);
  MeshAnswers found;
  for (size_t at = 0; at < answers.size(); ++at) {
    if (answers[at].status != kStatusOk) {
      found.silent.push_back(aEndpoints[at]);
      continue;
    }
    found.answers.push_back(ParseDaemonStatus(answers[at].body));
    FillPorts(aOptions, found.answers.back());
  }
  return found;
}

std::vector<Endpoint>
UnaskedMembers(const Options& aOptions,
               const std::vector<DaemonStatus>& aAnswers)
{
  std::set<DaemonId> answered;
  for (const auto& status : aAnswers) {
    answered.insert(status.daemon);
  }
  std::set<Endpoint> asked(aOptions.daemons.begin(), aOptions.daemons.end());
  std::vector<Endpoint> unasked;
  for (const auto& status : aAnswers) {
    for (const auto& member : status.members) {
      const Endpoint endpoint{ member.address, member.operatorsPort };
      const bool isNew =
        !answered.contains(member.daemon) && asked.insert(endpoint).second;
      if (isNew) {
        unasked.push_back(endpoint);
      }
    }
  }
  return unasked;
}

}

DaemonStatus
AskOneDaemon(const Options& aOptions)
{
  for (const auto& endpoint : RequireDaemons(aOptions)) {
    const auto found = AskStatus(aOptions, { endpoint });
    if (!found.answers.empty()) {
      return found.answers.front();
    }
  }
  throw UnreachableError("no daemon of --daemon gave an answer");
}

MeshAnswers
AskAllDaemons(const Options& aOptions)
{
  auto found = AskStatus(aOptions, RequireDaemons(aOptions));
  if (found.answers.empty()) {
    throw UnreachableError("no daemon of --daemon gave an answer");
  }
  const auto unasked = UnaskedMembers(aOptions, found.answers);
  const auto others = AskStatus(aOptions, unasked);
  found.answers.insert(
    found.answers.end(), others.answers.begin(), others.answers.end());
  found.silent.insert(
    found.silent.end(), others.silent.begin(), others.silent.end());
  return found;
}

Endpoint
EndpointOf(const DaemonStatus& aStatus, DaemonId aDaemon)
{
  const auto& members = aStatus.members;
  const auto member =
    std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
      return aMember.daemon == aDaemon;
    });
  if (member == members.end()) {
    throw ConfigError(
      fmt::format("no member of the mesh is daemon {}", aDaemon.Value()));
  }
  return Endpoint{ member->address, member->operatorsPort };
}

Endpoint
FindDaemon(const Options& aOptions, const std::string& aDaemon)
{
  if (aDaemon.find(':') != std::string::npos) {
    return ParseEndpoint(aDaemon);
  }
  const DaemonId daemon(ParseWholeNumber("DAEMON", aDaemon));
  return EndpointOf(AskOneDaemon(aOptions), daemon);
}

}
