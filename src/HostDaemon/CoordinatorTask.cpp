#include "src/HostDaemon/CoordinatorTask.h"

#include <algorithm>
#include <utility>

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(100);

/** Ticks between reports to the coordinator. */
constexpr uint64_t kReportTicks = 5;

/** Ticks between plans of moves; each host reports twice in that time. */
constexpr uint64_t kPlanTicks = 10;

/** Ticks between reports to a host that does not answer. */
constexpr uint64_t kProbeTicks = 20;

/** Time in which records that another host has read usually arrive with a
 * broadcast. */
constexpr Duration kCatchUpDelay = milliseconds(150);

/** A host that left two reports unanswered is not the coordinator any more. */
constexpr Duration kAnswerTimeout = milliseconds(1200);

/** A host whose state is older cannot reach the store, and does not coordinate
 * if a standby can. Standbys read the store at a lower age. */
constexpr Duration kMaxCoordinatorAge = milliseconds(2600);

/** Hosts that each host reports to: the coordinator and the two that would
 * succeed it. */
constexpr size_t kReportTargets = 3;

/** The first assignment of a service waits until the number of hosts that can
 * take its keys has been the same for one heartbeat interval. */
constexpr Duration kSettleTime = milliseconds(1000);

/** Delay of a tick after which this process counts as stalled. */
constexpr Duration kStallTime = milliseconds(600);

/** Load that is spread evenly over all keys, as a share of the measured load,
 * so that ranges without measured load count by their size. */
constexpr double kUniformLoadShare = 0.1;

/** The load by key is collected anew after the time in which each host reports
 * once. */
constexpr Duration kLoadInterval = milliseconds(500);

/** Bounds of the buckets in all reports together, and in one report. */
constexpr size_t kMaxMeshBuckets = 8192;
constexpr size_t kMaxReportBuckets = 128;
constexpr size_t kMinReportBuckets = 24;

size_t
MaxBuckets(size_t aHosts)
{
  return std::clamp(kMaxMeshBuckets / std::max<size_t>(aHosts, 1),
                    kMinReportBuckets,
                    kMaxReportBuckets);
}

}

CoordinatorTask::CoordinatorTask(event_base* aBase,
                                 const Clock& aClock,
                                 StateTaskBase& aState,
                                 RangeServerTask& aServer,
                                 PeersTask& aPeers,
                                 const Logger& aLogger)
  : m_clock(aClock)
  , m_state(aState)
  , m_server(aServer)
  , m_peers(aPeers)
  , m_logger(aLogger)
  , m_tick(aBase, [this] { OnTick(); })
  , m_catchUpTimer(aBase, [this] { CatchUp(); })
{
}

void
CoordinatorTask::Start()
{
  m_watchingSince = m_clock.Now();
  m_lastTickAt = m_watchingSince;
  m_tick.StartEvery(kTickInterval);
}

void
CoordinatorTask::SetShardedServices(std::set<ServiceName> aServices)
{
  m_sharded = std::move(aServices);
}

void
CoordinatorTask::OnStateChanged()
{
  RecordFirstSights();
  if (m_active) {
    ConfirmRows();
    AssignFreeRanges();
  }
}

void
CoordinatorTask::RecordFirstSights()
{
  const auto version = m_state.State().HostsVersion();
  if (m_seenVersion == version) {
    return;
  }
  m_seenVersion = version;
  const auto now = m_clock.Now();
  for (const auto& [name, host] : m_state.State().Hosts()) {
    m_hostFirstSeenAt.try_emplace(name, now);
  }
  std::erase_if(m_hostFirstSeenAt, [&](const auto& aItem) {
    return m_state.State().FindHost(aItem.first) == nullptr;
  });
  const auto& suspicions = m_state.State().Table().suspicions;
  for (const auto& suspicion : suspicions) {
    m_suspicionFirstSeenAt.try_emplace(suspicion.number, now);
  }
  std::erase_if(m_suspicionFirstSeenAt, [&](const auto& aItem) {
    return std::none_of(
      suspicions.begin(), suspicions.end(), [&](const Suspicion& aOne) {
        return aOne.number == aItem.first;
      });
  });
}

bool
CoordinatorTask::IsResponsive(const HostName& aHost) const
{
  const auto found = m_unansweredSince.find(aHost);
  return found == m_unansweredSince.end() ||
         m_clock.Now() - found->second < kAnswerTimeout;
}

const std::vector<HostName>&
CoordinatorTask::CoordinatorCandidates() const
{
  const auto version = m_state.State().HostsVersion();
  if (m_candidatesVersion != version) {
    m_candidates = CoordinationOrder(m_state.State());
    m_candidatesVersion = version;
  }
  return m_candidates;
}

bool
CoordinatorTask::IsCurrent(const HostName& aHost) const
{
  if (aHost == m_state.Self()) {
    return m_clock.Now() - m_state.LastSyncedAt() < kMaxCoordinatorAge;
  }
  const auto found = m_ageInReply.find(aHost);
  return found == m_ageInReply.end() || found->second < kMaxCoordinatorAge;
}

std::vector<HostName>
CoordinatorTask::ReportTargets() const
{
  std::vector<HostName> targets;
  for (const auto& name : CoordinatorCandidates()) {
    if (name == m_state.Self() || IsResponsive(name)) {
      targets.push_back(name);
    }
    if (targets.size() >= kReportTargets) {
      break;
    }
  }
  return targets;
}

HostName
CoordinatorTask::ChooseCoordinator(const std::vector<HostName>& aTargets) const
{
  const auto current =
    std::find_if(aTargets.begin(), aTargets.end(), [&](const HostName& aName) {
      return IsCurrent(aName);
    });
  if (current != aTargets.end()) {
    return *current;
  }
  return aTargets.empty() ? HostName() : aTargets.front();
}

const HostRecord*
CoordinatorTask::Coordinator() const
{
  const auto name = ChooseCoordinator(ReportTargets());
  return name == m_state.Self() ? nullptr : m_state.State().FindHost(name);
}

void
CoordinatorTask::ReportTo(const HostName& aHost, const HostReport& aReport)
{
  const auto* host = m_state.State().FindHost(aHost);
  if (host == nullptr) {
    return;
  }
  m_unansweredSince.try_emplace(aHost, m_clock.Now());
  m_peers.Report(
    host->inner,
    aReport,
    [this, aHost, sentAt = m_clock.Now()](const HostOrders& aOrders) {
      OnOrders(aHost, sentAt, aOrders);
    });
}

void
CoordinatorTask::OnOrders(const HostName& aHost,
                          MonoTime aSentAt,
                          const HostOrders& aOrders)
{
  const auto* host = m_state.State().FindHost(aHost);
  if (aOrders.host != aHost || host == nullptr) {
    return; // The address belongs to another host now.
  }
  m_unansweredSince.erase(aHost);
  m_ageInReply[aHost] = aOrders.age;
  m_server.ApplyMoveOrders(aOrders.moves);
  if (m_onPeerConfiguration) {
    ConfigurationReading reading{ aOrders.configuration,
                                  {},
                                  aOrders.configurationVersion };
    if (aOrders.configurationAge) {
      reading.confirmedAt = aSentAt - *aOrders.configurationAge;
    }
    m_onPeerConfiguration(reading);
  }
  if (ReceivesPeerReports()) { // One of the few that are to tell others.
    CompareConfiguration(
      aHost, aOrders.configuration, aOrders.configurationVersion);
  }
  m_state.RenewLeaseFromPeer(aSentAt - aOrders.age, aOrders.end);
  if (aOrders.end.era > m_state.End().era) {
    m_state.ApplyPeerUpdate({}, aOrders.end); // Its records are read anew.
    return;
  }
  if (aOrders.end > m_state.End() && !m_catchUpTimer.Running()) {
    m_ahead = PeerAhead{ aHost, aOrders.end };
    m_catchUpTimer.StartOnce(kCatchUpDelay);
  }
}

void
CoordinatorTask::CatchUp()
{
  const auto* host = m_state.State().FindHost(m_ahead.host);
  if (host == nullptr || m_ahead.end <= m_state.End()) {
    return;
  }
  m_peers.QueryState(host->inner,
                     StateQuery{ m_state.End() },
                     [this, sentAt = m_clock.Now()](const StateReply& aReply) {
                       m_state.ApplyPeerUpdate(aReply.entries, aReply.next);
                       m_state.RenewLeaseFromPeer(sentAt - aReply.age,
                                                  aReply.next);
                     });
}

void
CoordinatorTask::SendReport()
{
  auto report = m_server.MakeReport(MaxBuckets(m_state.State().Hosts().size()));
  const auto reading = Configuration();
  report.configuration = reading.position;
  report.configurationVersion = reading.version;
  auto summary = report;
  summary.buckets.clear();
  // The hosts that would succeed the coordinator also get all reports, so that
  // one of them can take over immediately. Only the coordinator needs the load
  // of each bucket.
  const auto targets = ReportTargets();
  const auto coordinator = ChooseCoordinator(targets);
  const bool active = coordinator == m_state.Self();
  for (const auto& name : targets) {
    if (name != m_state.Self()) {
      ReportTo(name, name == coordinator ? report : summary);
      continue;
    }
    const auto orders = OnReport(report);
    if (active) {
      m_server.ApplyMoveOrders(orders.moves);
    }
  }
  if (m_ticks % kProbeTicks == 0) {
    ProbeUnresponsive(targets, summary);
  }
  m_state.SetRole(active                  ? StateRole::kCoordinator
                  : ReceivesPeerReports() ? StateRole::kStandby
                                          : StateRole::kFollower);
  if (active != m_active) {
    m_active = active;
    // Hosts need not have reported here while another one coordinated.
    m_watchingSince = m_clock.Now();
    m_trends.clear();
    m_logger.Info(active ? "coordinator-begin" : "coordinator-end",
                  "hosts={} end={}",
                  m_state.State().Hosts().size(),
                  m_state.End().offset);
  }
}

void
CoordinatorTask::ProbeUnresponsive(const std::vector<HostName>& aTargets,
                                   const HostReport& aSummary)
{
  // A host before the last target becomes one as soon as it answers.
  for (const auto& name : CoordinatorCandidates()) {
    if (!aTargets.empty() && name == aTargets.back()) {
      return;
    }
    if (name != m_state.Self() && !IsResponsive(name)) {
      ReportTo(name, aSummary);
    }
  }
}

void
CoordinatorTask::CompareConfiguration(const HostName& aPeer,
                                      const StorePosition& aPosition,
                                      uint64_t aVersion)
{
  const auto own = Configuration();
  if (aPosition.offset <= 0) {
    return; // It has read nothing yet.
  }
  const bool outdated = aPosition == own.position && aVersion < own.version;
  const bool lags =
    m_lagging.OnReport(aPeer, aPosition, own.position, m_clock.Now());
  if ((outdated || lags) && m_onPeerOutdated) {
    m_onPeerOutdated(aPeer);
  }
}

HostOrders
CoordinatorTask::OnReport(const HostReport& aReport)
{
  const auto now = m_clock.Now();
  m_reports[aReport.host] = ReceivedReport{ aReport, now };
  if (aReport.host != m_state.Self()) {
    m_lastPeerReportAt = now;
    CompareConfiguration(
      aReport.host, aReport.configuration, aReport.configurationVersion);
  }
  auto orders = std::exchange(m_pendingOrders[aReport.host], {});
  if (!m_state.Connected()) {
    orders.moves.clear();
  }
  orders.host = m_state.Self();
  orders.end = m_state.End();
  orders.age = m_clock.Now() - m_state.LastSyncedAt();
  const auto reading = Configuration();
  orders.configuration = reading.position;
  orders.configurationVersion = reading.version;
  if (reading.confirmedAt) {
    orders.configurationAge = std::max(now - *reading.confirmedAt, Duration{});
  }
  return orders;
}

bool
CoordinatorTask::ReceivesPeerReports() const
{
  return m_clock.Now() - m_lastPeerReportAt < kReportTimeout;
}

void
CoordinatorTask::OnTick()
{
  ++m_ticks;
  const auto now = m_clock.Now();
  if (now - m_lastTickAt >= kStallTime) {
    // Reports that arrived during a stall of this process have not been read.
    m_watchingSince = now;
  }
  m_lastTickAt = now;
  if (!m_state.Joined()) {
    return;
  }
  if (m_ticks % kReportTicks == 0) {
    SendReport();
  }
  if (!m_active || m_state.RemainingLease() <= Duration{}) {
    return;
  }
  ConfirmRows();
  if (m_state.Returning()) {
    return;
  }
  RemoveSuspectedHosts();
  AssignFreeRanges();
  if (m_ticks % kReportTicks == 0) {
    SuspectSilentHosts();
  }
  if (m_ticks % kPlanTicks == 0) {
    PlanMoves();
  }
}

bool
CoordinatorTask::HasRecentReport(const HostName& aHost) const
{
  const auto found = m_reports.find(aHost);
  return found != m_reports.end() &&
         m_clock.Now() - found->second.receivedAt < kReportTimeout;
}

std::vector<PlacementTarget>
CoordinatorTask::PlacementTargetsOf(const ServiceName& aService) const
{
  std::vector<PlacementTarget> targets;
  for (const auto& [name, host] : m_state.State().Hosts()) {
    const bool usable =
      host.service == aService && m_state.State().CanTakeKeys(host) &&
      HasRecentReport(name) && !m_evacuatedZones.contains(host.zone);
    if (!usable) {
      continue;
    }
    const auto capacity = m_reports.at(name).report.capacity;
    targets.push_back(
      PlacementTarget{ RangeHolder{ name, host.server->incarnation },
                       capacity > 0.0 ? capacity : 1.0 });
  }
  return targets;
}

const LoadMap&
CoordinatorTask::LoadOf(const ServiceName& aService)
{
  const auto now = m_clock.Now();
  auto& cached = m_loads[aService];
  if (now - cached.collectedAt >= kLoadInterval) {
    cached = CachedLoad{ CollectLoad(aService), now };
  }
  return cached.load;
}

LoadMap
CoordinatorTask::CollectLoad(const ServiceName& aService)
{
  double total = 0.0;
  size_t hosts = 0; // That reported load.
  std::vector<LoadBucket> buckets;
  for (const auto& [name, reported] : m_reports) {
    const auto* host = m_state.State().FindHost(name);
    if (host == nullptr || host->service != aService) {
      continue;
    }
    hosts += reported.report.buckets.empty() ? 0 : 1;
    for (const auto& bucket : reported.report.buckets) {
      total += bucket.load;
      buckets.push_back(bucket);
    }
  }
  LoadMap load(std::max(1.0, total * kUniformLoadShare));
  load.Add(buckets);
  auto& trend = m_trends[aService];
  trend.Add(total, hosts, m_clock.Now());
  load.Scale(trend.Factor());
  return load;
}

bool
CoordinatorTask::TargetsStable(const ServiceName& aService)
{
  const auto now = m_clock.Now();
  const auto count = PlacementTargetsOf(aService).size();
  auto& known = m_targetCounts[aService];
  if (known.count != count) {
    known = TargetCount{ count, now };
  }
  return count > 0 && now - known.changedAt >= kSettleTime;
}

void
CoordinatorTask::AssignFreeRanges()
{
  if (m_state.Returning()) {
    return;
  }
  for (const auto& service : m_sharded) {
    AssignFreeRanges(service);
  }
}

void
CoordinatorTask::AssignFreeRanges(const ServiceName& aService)
{
  const auto& state = m_state.State();
  const auto& rows = state.Table().RowsOf(aService);
  const bool free =
    std::any_of(rows.begin(), rows.end(), [&](const RangeRow& aRow) {
      return state.MayReassign(aRow);
    });
  if (!free) {
    return;
  }
  const bool first = !state.Table().services.contains(aService);
  if (first && !TargetsStable(aService)) {
    return;
  }
  // The targets are collected when the edit is applied: while a write is in
  // progress, each change of the state replaces the edit.
  m_state.SubmitOrReplaceEdit(
    "assign/" + aService.Value(),
    [this, aService](TableDraft& aDraft, const MeshState&) {
      return AssignFreeRows(aService, aDraft);
    });
}

bool
CoordinatorTask::AssignFreeRows(const ServiceName& aService, TableDraft& aDraft)
{
  return pistachioshift::AssignFreeRows(aDraft.table,
                                        m_state.State(),
                                        aService,
                                        PlacementTargetsOf(aService),
                                        LoadOf(aService));
}

void
CoordinatorTask::OnRelease(const RangeRelease& aRelease)
{
  m_state.SubmitEdit(
    "release/" + aRelease.holder.host.Value(),
    [this, aRelease](TableDraft& aDraft, const MeshState& aState) {
      const bool changed = ReassignRelinquished(aDraft.table, aState, aRelease);
      if (changed && m_active && !m_state.Returning()) {
        AssignFreeRows(aRelease.service, aDraft);
      }
      return changed;
    });
}

void
CoordinatorTask::PlanMoves()
{
  if (!m_state.Connected()) {
    return; // A range that was released could not be assigned.
  }
  for (const auto& service : m_sharded) {
    const auto& rows = m_state.State().Table().RowsOf(service);
    const auto moves = m_rebalancers[service].Plan(
      rows, PlacementTargetsOf(service), LoadOf(service), m_clock.Now());
    for (const auto& move : moves) {
      m_logger.Info("move-planned",
                    "range={}-{} from={} to={}",
                    move.range.first,
                    move.range.last,
                    move.from.Value(),
                    move.to.Value());
      m_pendingOrders[move.from].moves.push_back(
        MoveOrder{ move.range, move.to });
    }
  }
}

}
