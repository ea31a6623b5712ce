#include "src/Daemon/Router.h"

#include <algorithm>

namespace pistachioshift {

Router::Router(const Clock& aClock,
               RandomEngine& aRandom,
               MeshTask& aMesh,
               BackendTask& aBackend,
               PeersTask& aPeers)
  : m_clock(aClock)
  , m_random(aRandom)
  , m_mesh(aMesh)
  , m_backend(aBackend)
  , m_peers(aPeers)
{
}

std::optional<Destination>
Router::Choose(const ServicePolicy& aPolicy,
               const std::string& aKey,
               const AttemptHistory& aHistory)
{
  if (aPolicy.division == Division::kAnyInstance) {
    return ChooseInstance(aPolicy, aHistory);
  }
  return ChooseHolder(aPolicy, aKey, aHistory);
}

Destination
Router::MakeDestination(const Candidate& aCandidate) const
{
  const bool local = aCandidate.daemon == m_mesh.Self();
  return Destination{ aCandidate.daemon, aCandidate.inner, local };
}

std::optional<Destination>
Router::ChooseHolder(const ServicePolicy& aPolicy,
                     const std::string& aKey,
                     const AttemptHistory& aHistory) const
{
  const auto range = RangeOfKey(aKey, aPolicy.ranges);
  const auto entry = m_mesh.View().Resolve(aPolicy.name, range, aKey);
  const auto candidates = m_mesh.Route(entry);
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::vector<Candidate> reachable;
  std::vector<Candidate> untried;
  for (const auto& candidate : candidates) {
    const bool self = candidate.daemon == m_mesh.Self();
    if (!self && m_peers.HasRecentFailure(candidate.inner)) {
      continue;
    }
    reachable.push_back(candidate);
    if (!aHistory.Refused(candidate.daemon)) {
      untried.push_back(candidate);
    }
  }
  for (const auto& candidate : untried) {
    if (candidate.daemon == aHistory.hint) {
      return MakeDestination(candidate);
    }
  }
  if (!untried.empty()) {
    return MakeDestination(untried.front());
  }
  // Every reachable candidate has refused, or none is reachable: try them in
  // turn.
  const auto& rest = reachable.empty() ? candidates : reachable;
  return MakeDestination(rest[aHistory.attempts % rest.size()]);
}

std::optional<Destination>
Router::ChooseInstance(const ServicePolicy& aPolicy,
                       const AttemptHistory& aHistory)
{
  auto& [balancer, candidates, applied] = m_instances[aPolicy.name];
  const auto now = m_clock.Now();
  if (applied != m_mesh.View().Applied()) {
    applied = m_mesh.View().Applied();
    candidates = m_mesh.Instances(aPolicy.name);
    std::vector<DaemonId> ids;
    ids.reserve(candidates.size());
    for (const auto& candidate : candidates) {
      ids.push_back(candidate.daemon);
    }
    balancer.SetInstances(ids, now);
  }
  const auto chosen = balancer.Choose(m_random, now, aHistory.last);
  const auto found =
    std::find_if(candidates.begin(), candidates.end(), [&](const auto& aItem) {
      return aItem.daemon == chosen;
    });
  if (found == candidates.end()) {
    return std::nullopt;
  }
  balancer.OnStart(found->daemon);
  return MakeDestination(*found);
}

TablePosition
Router::KnownPosition(const Destination& aDestination) const
{
  return aDestination.local ? m_backend.Position()
                            : m_peers.KnownPosition(aDestination.inner);
}

std::shared_ptr<Call>
Router::Start(const Destination& aDestination,
              CallRequest aRequest,
              std::shared_ptr<CallListener> aListener)
{
  aRequest.known = KnownPosition(aDestination);
  if (aDestination.local) {
    return m_backend.Start(std::move(aRequest), std::move(aListener));
  }
  return m_peers.Start(aDestination.inner, aRequest, std::move(aListener));
}

void
Router::QueryOutcome(const Destination& aDestination,
                     const RequestId& aRequest,
                     TablePosition aKnown,
                     PeersTask::OutcomeCallback aCallback)
{
  m_peers.QueryOutcome(
    aDestination.inner, aRequest, aKnown, std::move(aCallback));
}

void
Router::OnEnd(const ServicePolicy& aPolicy,
              const Destination& aDestination,
              InstanceResult aResult,
              Duration aLatency)
{
  if (aPolicy.division == Division::kAnyInstance) {
    m_instances[aPolicy.name].balancer.OnEnd(
      aDestination.daemon, aResult, aLatency, m_clock.Now());
  }
}

RetryBudget&
Router::BudgetOf(const ServicePolicy& aPolicy)
{
  const auto found =
    m_budgets.try_emplace(aPolicy.name, RetryBudget(aPolicy.retryShare));
  return found.first->second;
}

}
