#include "src/HostDaemon/RangeRouter.h"

#include <algorithm>

namespace pistachioshift {

RangeRouter::RangeRouter(const Clock& aClock,
                         RandomEngine& aRandom,
                         StateTaskBase& aState,
                         RangeServerTask& aServer,
                         PeersTask& aPeers)
  : m_clock(aClock)
  , m_random(aRandom)
  , m_state(aState)
  , m_server(aServer)
  , m_peers(aPeers)
{
}

DaemonId
RangeRouter::IdOf(const HostName& aHost)
{
  const auto next = DaemonId(static_cast<int64_t>(m_ids.size()) + 1);
  const auto [found, added] = m_ids.try_emplace(aHost, next);
  if (added) {
    m_names.emplace(next, aHost);
  }
  return found->second;
}

std::string
RangeRouter::NameOf(DaemonId aDaemon) const
{
  const auto found = m_names.find(aDaemon);
  return found == m_names.end() ? std::string() : found->second.Value();
}

std::optional<Destination>
RangeRouter::DestinationOf(const HostName& aHost)
{
  const auto* host = m_state.State().FindHost(aHost);
  if (host == nullptr) {
    return std::nullopt;
  }
  return Destination{ IdOf(aHost), host->inner, aHost == m_state.Self() };
}

std::optional<Destination>
RangeRouter::Choose(const ServicePolicy& aPolicy,
                    const std::string& aKey,
                    const AttemptHistory& aHistory)
{
  if (aPolicy.division == Division::kKeyed && !aKey.empty()) {
    return ChooseHolder(aPolicy, aKey);
  }
  return ChooseInstance(aPolicy, aHistory);
}

std::optional<Destination>
RangeRouter::ChooseHolder(const ServicePolicy& aPolicy, const std::string& aKey)
{
  const auto key = ParseShardKey(aKey);
  if (!key) {
    return std::nullopt;
  }
  const auto* row = m_state.State().Table().Find(aPolicy.name, *key);
  if (row == nullptr || m_state.State().HolderOf(*row) == nullptr) {
    return std::nullopt;
  }
  return DestinationOf(row->holder.host);
}

void
RangeRouter::OnStateChanged()
{
  const auto version = m_state.State().HostsVersion();
  if (m_hostsVersion == version) {
    return;
  }
  m_hostsVersion = version;
  for (auto& [service, budget] : m_budgets) {
    UpdateBudget(budget);
  }
  const auto& zone = m_state.OwnRecord().zone;
  std::map<ServiceName, InstanceSet> usable;
  std::map<ServiceName, InstanceSet> draining;
  for (const auto& [name, host] : m_state.State().Hosts()) {
    if (!host.server || m_state.State().Suspected(name) ||
        m_evacuatedZones.contains(host.zone)) {
      continue;
    }
    const bool isDraining = host.server->state == ServerState::kDraining;
    auto& set = (isDraining ? draining : usable)[host.service];
    set.all.push_back(IdOf(name));
    if (host.zone == zone) {
      set.nearby.push_back(IdOf(name));
    }
  }
  // If all instances of a service are draining, they stay in use until they
  // stop.
  for (auto& [service, set] : draining) {
    usable.try_emplace(service, std::move(set));
  }
  for (auto& [service, instances] : m_instances) {
    usable.try_emplace(service);
  }
  for (auto& [service, set] : usable) {
    auto& instances = m_instances[service];
    if (instances.set != set) {
      instances.balancer.SetInstances(set.all, m_clock.Now(), set.nearby);
      instances.set = set;
    }
  }
}

void
RangeRouter::SetColdPaces(const std::map<ServiceName, ColdPace>& aPaces)
{
  for (const auto& [service, pace] : aPaces) {
    const bool stated = pace.perSecond > 0.0 && pace.coldTime > Duration{};
    m_instances[service].balancer.SetSlowStart(
      stated ? pace.coldTime : BalancerSettings{}.slowStart);
  }
}

void
RangeRouter::SetEvacuatedZones(std::set<ZoneName> aZones)
{
  m_evacuatedZones = std::move(aZones);
  m_hostsVersion.reset();
  OnStateChanged();
}

std::optional<Destination>
RangeRouter::ChooseInstance(const ServicePolicy& aPolicy,
                            const AttemptHistory& aHistory)
{
  auto& instances = m_instances[aPolicy.name];
  std::optional<DaemonId> preferred;
  if (aHistory.last != IdOf(m_state.Self()) && m_server.HasFreeSlot()) {
    preferred = IdOf(m_state.Self());
  }
  const auto kind =
    aHistory.upload ? BalancedKind::kUpload : BalancedKind::kOther;
  const auto chosen = instances.balancer.Choose(
    m_random, m_clock.Now(), aHistory.last, preferred, kind);
  if (!chosen) {
    return std::nullopt;
  }
  auto destination = DestinationOf(HostName(NameOf(*chosen)));
  if (destination) {
    instances.balancer.OnStart(*chosen);
  }
  return destination;
}

std::shared_ptr<Call>
RangeRouter::Start(const Destination& aDestination,
                   CallRequest aRequest,
                   std::shared_ptr<CallListener> aListener)
{
  aRequest.known = KnownPosition(aDestination);
  if (aDestination.local) {
    return m_server.Start(std::move(aRequest), std::move(aListener));
  }
  return m_peers.Start(aDestination.inner, aRequest, std::move(aListener));
}

void
RangeRouter::QueryOutcome(const Destination& aDestination,
                          const RequestId& aRequest,
                          TablePosition aKnown,
                          PeersTask::OutcomeCallback aCallback)
{
  m_peers.QueryOutcome(
    aDestination.inner, aRequest, aKnown, std::move(aCallback));
}

TablePosition
RangeRouter::KnownPosition(const Destination& aDestination) const
{
  return aDestination.local ? m_server.Position()
                            : m_peers.KnownPosition(aDestination.inner);
}

void
RangeRouter::OnEnd(const ServicePolicy& aPolicy,
                   const Destination& aDestination,
                   InstanceResult aResult,
                   Duration aLatency)
{
  if (aPolicy.division == Division::kAnyInstance) {
    m_instances[aPolicy.name].balancer.OnEnd(
      aDestination.daemon, aResult, aLatency, m_clock.Now());
  }
}

void
RangeRouter::OnUploadGranted(const ServicePolicy& aPolicy,
                             const Destination& aDestination,
                             Duration aWait)
{
  if (aPolicy.division == Division::kAnyInstance) {
    m_instances[aPolicy.name].balancer.OnUploadGranted(
      aDestination.daemon, aWait, m_clock.Now());
  }
}

void
RangeRouter::OnUploadRefused(const ServicePolicy& aPolicy,
                             const Destination& aDestination,
                             Duration aRetryAfter)
{
  if (aPolicy.division == Division::kAnyInstance) {
    m_instances[aPolicy.name].balancer.OnUploadRefused(
      aDestination.daemon, aRetryAfter, m_clock.Now());
  }
}

RetryBudget&
RangeRouter::BudgetOf(const ServicePolicy& aPolicy)
{
  const auto [found, added] =
    m_budgets.try_emplace(aPolicy.name, RetryBudget(aPolicy.retryShare));
  if (added) {
    UpdateBudget(found->second);
  }
  return found->second;
}

void
RangeRouter::UpdateBudget(RetryBudget& aBudget) const
{
  if (m_retrySlack > 0.0) {
    const auto hosts = std::max<size_t>(m_state.State().Hosts().size(), 1);
    aBudget.SetMaxTokens(m_retrySlack / static_cast<double>(hosts));
  }
}

}
