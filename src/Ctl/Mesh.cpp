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

Endpoint
OperatorsPort(const Options& aOptions, const MemberStatus& aMember)
{
  const auto usual = RequireDaemons(aOptions).front().port;
  return Endpoint{ aMember.address,
                   aMember.operatorsPort ? aMember.operatorsPort : usual };
}

std::vector<DaemonStatus>
AskStatus(const std::vector<Endpoint>& aEndpoints, Duration aTimeout)
{
  std::vector<HttpQuestion> questions;
  questions.reserve(aEndpoints.size());
  for (const auto& endpoint : aEndpoints) {
    questions.push_back({ endpoint, HttpVerb::kGet, "/status" });
  }
  std::vector<DaemonStatus> found;
  for (const auto& answer : FetchAll(questions, aTimeout)) {
    if (answer.status == kStatusOk) {
      found.push_back(ParseDaemonStatus(answer.body));
    }
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
      const auto endpoint = OperatorsPort(aOptions, member);
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
    const auto answers = AskStatus({ endpoint }, aOptions.timeout);
    if (!answers.empty()) {
      return answers.front();
    }
  }
  throw UnreachableError("no daemon of --daemon gave an answer");
}

std::vector<DaemonStatus>
AskAllDaemons(const Options& aOptions)
{
  auto answers = AskStatus(RequireDaemons(aOptions), aOptions.timeout);
  if (answers.empty()) {
    throw UnreachableError("no daemon of --daemon gave an answer");
  }
  const auto unasked = UnaskedMembers(aOptions, answers);
  for (auto& status : AskStatus(unasked, aOptions.timeout)) {
    answers.push_back(std::move(status));
  }
  return answers;
}

Endpoint
EndpointOf(const Options& aOptions,
           const DaemonStatus& aStatus,
           DaemonId aDaemon)
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
  return OperatorsPort(aOptions, *member);
}

Endpoint
FindDaemon(const Options& aOptions, const std::string& aDaemon)
{
  if (aDaemon.find(':') != std::string::npos) {
    return ParseEndpoint(aDaemon);
  }
  const DaemonId daemon(ParseWholeNumber("DAEMON", aDaemon));
  return EndpointOf(aOptions, AskOneDaemon(aOptions), daemon);
}

}
