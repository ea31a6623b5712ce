#include "src/Daemon/RebalanceTask.h"

#include <algorithm>

namespace pistachioshift {

namespace {

constexpr Duration kReportInterval = std::chrono::seconds(10);
/** A daemon whose last report is older is given no entries. */
constexpr Duration kMaxReportAge = std::chrono::seconds(35);

}

RebalanceTask::RebalanceTask(event_base* aBase,
                             const Clock& aClock,
                             MeshTask& aMesh,
                             BackendTask& aBackend,
                             PeersTask& aPeers,
                             PlannerTask& aPlanner,
                             const Logger& aLogger)
  : m_clock(aClock)
  , m_mesh(aMesh)
  , m_backend(aBackend)
  , m_peers(aPeers)
  , m_planner(aPlanner)
  , m_logger(aLogger)
  , m_timer(aBase, [this] { OnTick(); })
  , m_reportedAt(aClock.Now())
{
}

void
RebalanceTask::Start()
{
  m_timer.StartEvery(kReportInterval);
}

void
RebalanceTask::OnTick()
{
  if (m_mesh.Self() == DaemonId()) {
    return;
  }
  SendReports();
  if (m_planner.IsPlanner()) {
    PlanServices();
  } else {
    m_plans.clear();
  }
}

void
RebalanceTask::SendReports()
{
  const auto now = m_clock.Now();
  const auto elapsed = now - m_reportedAt;
  m_reportedAt = now;
  const auto* planner = m_mesh.View().FindMember(m_mesh.View().Term().planner);
  for (const auto& report : m_backend.EndLoadInterval(elapsed)) {
    if (m_planner.IsPlanner()) {
      OnLoadReport(report);
    } else if (planner != nullptr) {
      m_peers.SendLoad(planner->join.inner, report);
    }
  }
}

void
RebalanceTask::OnLoadReport(const LoadReport& aReport)
{
  m_plans[aReport.service].reports[aReport.daemon] =
    ReceivedReport{ aReport, m_clock.Now() };
}

void
RebalanceTask::PlanServices()
{
  const auto now = m_clock.Now();
  for (const auto& [name, policy] : m_backend.Policies()) {
    if (policy.division != Division::kKeyed) {
      continue;
    }
    auto& plan = m_plans[name];
    RecordMoves(name, plan);
    MovePendingPins(plan);
    const auto load = GatherLoad(policy, plan);
    if (load.servers.empty()) {
      continue;
    }
    const auto proposals = plan.planner.Plan(load, policy.maxMovesPerHour, now);
    for (const auto& proposal : proposals) {
      Execute(name, plan, proposal);
    }
  }
}

void
RebalanceTask::RecordMoves(const ServiceName& aService, ServicePlan& aPlan)
{
  const auto now = m_clock.Now();
  for (const auto& [key, chain] : m_mesh.View().Entries()) {
    if (key.service != aService) {
      continue;
    }
    auto& lastOffset = aPlan.currentOffsets[key];
    if (lastOffset != Offset() && lastOffset != chain.Current().offset) {
      aPlan.movedAt[key] = now;
    }
    lastOffset = chain.Current().offset;
  }
}

void
RebalanceTask::MovePendingPins(ServicePlan& aPlan)
{
  for (auto pin = aPlan.pendingPins.begin(); pin != aPlan.pendingPins.end();) {
    const auto* chain = m_mesh.View().FindChain(pin->first);
    if (chain != nullptr && chain->Current().held) {
      m_planner.Move(pin->first, pin->second);
      pin = aPlan.pendingPins.erase(pin);
    } else {
      ++pin;
    }
  }
}

bool
RebalanceTask::IsResponsive(const ServicePlan& aPlan, DaemonId aDaemon) const
{
  const auto received = aPlan.reports.find(aDaemon);
  // A daemon that has not served any request has nothing to report.
  return received == aPlan.reports.end() ||
         m_clock.Now() - received->second.receivedAt < kMaxReportAge;
}

EntryLoad
RebalanceTask::GatherEntry(const EntryKey& aKey,
                           const EntryChain& aChain,
                           const ServicePlan& aPlan) const
{
  const auto& entry = aChain.Current();
  EntryLoad load;
  load.name = EntryName{ aKey.range, aKey.pinnedKey };
  const auto rank = entry.held.value_or(Rank());
  load.owner = entry.holders[rank.Value()];
  if (!entry.held) {
    load.movingTo = entry.holders.front();
  }
  const auto moved = aPlan.movedAt.find(aKey);
  if (moved != aPlan.movedAt.end()) {
    load.movedAt = moved->second;
  }
  const auto received = aPlan.reports.find(load.owner);
  if (received == aPlan.reports.end()) {
    return load;
  }
  for (const auto& item : received->second.report.entries) {
    if (item.range == aKey.range && item.pinnedKey == aKey.pinnedKey) {
      load.load = item.load;
    }
  }
  return load;
}

ServiceLoad
RebalanceTask::GatherLoad(const ServicePolicy& aPolicy,
                          const ServicePlan& aPlan) const
{
  ServiceLoad load;
  for (const auto& [daemon, member] : m_mesh.View().Members()) {
    const auto& services = member.join.services;
    if (std::find(services.begin(), services.end(), aPolicy.name) ==
        services.end()) {
      continue;
    }
    const bool takesEntries = !member.leaving && IsResponsive(aPlan, daemon);
    const auto slots = std::max(member.join.slots, 1U);
    load.servers.push_back(
      ServerCapacity{ daemon, static_cast<double>(slots), takesEntries });
  }
  for (const auto& [key, chain] : m_mesh.View().Entries()) {
    if (key.service == aPolicy.name) {
      load.entries.push_back(GatherEntry(key, chain, aPlan));
    }
  }
  for (const auto& [daemon, received] : aPlan.reports) {
    for (const auto& item : received.report.hotKeys) {
      const EntryKey pinned{ aPolicy.name, item.range, item.key };
      if (IsResponsive(aPlan, daemon) &&
          m_mesh.View().FindChain(pinned) == nullptr) {
        load.hotKeys.push_back(HotKey{ item.key, item.range, item.load });
      }
    }
  }
  return load;
}

void
RebalanceTask::Execute(const ServiceName& aService,
                       ServicePlan& aPlan,
                       const Proposal& aProposal)
{
  const EntryKey key{ aService,
                      aProposal.entry.range,
                      aProposal.entry.pinnedKey };
  m_logger.Info("plan",
                "service={} range={} pinned={} kind={} from={} to={}",
                aService.Value(),
                key.range.Value(),
                key.pinnedKey,
                static_cast<int>(aProposal.kind),
                aProposal.from.Value(),
                aProposal.to.Value());
  switch (aProposal.kind) {
    case ProposalKind::kMove:
      m_planner.Move(key, aProposal.to);
      return;
    case ProposalKind::kPin:
      aPlan.pendingPins[key] = aProposal.to;
      m_mesh.Append(
        PinRecord{ m_mesh.View().Term().term, m_mesh.Self(), { key } });
      return;
    case ProposalKind::kUnpin:
      Unpin(key);
      return;
  }
}

void
RebalanceTask::Unpin(const EntryKey& aKey)
{
  const EntryKey range{ aKey.service, aKey.range, {} };
  const auto* pinned = m_mesh.View().FindChain(aKey);
  const auto* rangeChain = m_mesh.View().FindChain(range);
  if (pinned == nullptr || rangeChain == nullptr ||
      !rangeChain->Current().held) {
    return;
  }
  if (pinned->Current().holders == rangeChain->Current().holders) {
    m_mesh.Append(
      UnpinRecord{ m_mesh.View().Term().term, m_mesh.Self(), { aKey } });
    return;
  }
  // A key can be unpinned only where its range is: move it there first. A later
  // plan proposes to unpin it again.
  m_planner.AssignSameHolders(aKey, range);
}

}
