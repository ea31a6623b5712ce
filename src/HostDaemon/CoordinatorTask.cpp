#include "src/HostDaemon/CoordinatorTask.h"

#include <algorithm>
#include <utility>

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(100);

/** Ticks between two reports to the coordinator. */
constexpr uint64_t kReportTicks = 5;

/** Ticks between two plans of moves: two reports. */
constexpr uint64_t kPlanTicks = 10;

/** Ticks between two reports to a host that didn't answer. */
constexpr uint64_t kProbeTicks = 20;

/** Two reports without an answer: the next host coordinates. */
constexpr Duration kAnswerTimeout = milliseconds(1200);

/** Three reports missed: the host is suspected. */
constexpr Duration kSilence = milliseconds(1700);

/** Hosts that each host reports to: the coordinator and the next in line. */
constexpr size_t kReportedHosts = 3;

/** The first assignment waits until no host joined for a heartbeat. */
constexpr Duration kSettleTime = milliseconds(1000);

/** A coordinator that hears fewer hosts is itself cut off. */
constexpr double kLeastHeard = 0.3;

/** Part of the load that counts by the number of keys. */
constexpr double kEvenShare = 0.1;

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
{
}

void
CoordinatorTask::Start()
{
  m_startedAt = m_clock.Now();
  m_tick.StartEvery(kTick);
}

void
CoordinatorTask::SetShardedServices(std::set<ServiceName> aServices)
{
  m_sharded = std::move(aServices);
}

void
CoordinatorTask::OnStateChanged()
{
  const auto now = m_clock.Now();
  for (const auto& [name, host] : m_state.State().Hosts()) {
    m_seenAt.try_emplace(name, now);
  }
  std::erase_if(m_seenAt, [&](const auto& aItem) {
    return m_state.State().FindHost(aItem.first) == nullptr;
  });
  const auto& suspicions = m_state.State().Table().suspicions;
  for (const auto& suspicion : suspicions) {
    m_suspectedAt.try_emplace(suspicion.number, now);
  }
  std::erase_if(m_suspectedAt, [&](const auto& aItem) {
    return std::none_of(
      suspicions.begin(), suspicions.end(), [&](const Suspicion& aOne) {
        return aOne.number == aItem.first;
      });
  });
  if (m_active) {
    AssignFree();
  }
}

bool
CoordinatorTask::Answers(const HostName& aHost) const
{
  const auto found = m_unanswered.find(aHost);
  return found == m_unanswered.end() ||
         m_clock.Now() - found->second < kAnswerTimeout;
}

std::vector<HostName>
CoordinatorTask::ReportOrder() const
{
  std::vector<HostName> order;
  for (const auto& [name, host] : m_state.State().Hosts()) {
    if (!m_state.State().Suspected(name)) {
      order.push_back(name);
    }
  }
  return order;
}

void
CoordinatorTask::ReportTo(const HostName& aHost, const HostReport& aReport)
{
  const auto* host = m_state.State().FindHost(aHost);
  if (host == nullptr) {
    return;
  }
  m_unanswered.try_emplace(aHost, m_clock.Now());
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
    return; // Another host has the address now.
  }
  m_unanswered.erase(aHost);
  m_server.ApplyMoveOrders(aOrders.moves);
  if (m_onPeerConfiguration) {
    m_onPeerConfiguration(aOrders.configuration);
  }
  if (aOrders.next <= m_state.End()) {
    m_state.RenewLeaseFromPeer(aSentAt - aOrders.age, aOrders.next);
    return;
  }
  m_peers.AskState(host->inner,
                   StateQuery{ m_state.End() },
                   [this, sentAt = m_clock.Now()](const StateReply& aReply) {
                     m_state.ApplyPeerUpdate(aReply.entries, aReply.next);
                     m_state.RenewLeaseFromPeer(sentAt - aReply.age, aReply.next);
                   });
}

void
CoordinatorTask::SendReport()
{
  const auto report = m_server.MakeReport();
  const auto order = ReportOrder();
  // The next in line hear everyone, too, and can take over at once.
  size_t told = 0;
  bool earlier = false; // A host before this one answers.
  bool active = false;
  for (const auto& name : order) {
    if (name == m_state.Self()) {
      active = !earlier;
      auto orders = OnReport(report);
      if (active) {
        m_server.ApplyMoveOrders(orders.moves);
      }
      ++told;
    } else if (Answers(name)) {
      earlier = true;
      ReportTo(name, report);
      ++told;
    } else if (m_ticks % kProbeTicks == 0) {
      ReportTo(name, report);
    }
    if (told >= kReportedHosts) {
      break;
    }
  }
  if (active != m_active) {
    m_active = active;
    m_state.SetAlwaysPolls(active);
    m_logger.Info(active ? "coordinator-begin" : "coordinator-end",
                  "hosts={} end={}",
                  m_state.State().Hosts().size(),
                  m_state.End());
  }
}

HostOrders
CoordinatorTask::OnReport(const HostReport& aReport)
{
  const auto now = m_clock.Now();
  m_reports[aReport.host] = Reported{ aReport, now };
  if (aReport.host != m_state.Self()) {
    m_heardOtherAt = now;
  }
  auto orders = std::exchange(m_orders[aReport.host], {});
  orders.host = m_state.Self();
  orders.next = m_state.End();
  orders.age = m_clock.Now() - m_state.LastSyncedAt();
  orders.configuration = m_configuration;
  return orders;
}

bool
CoordinatorTask::ReceivesPeerReports() const
{
  return m_clock.Now() - m_heardOtherAt < kSilence;
}

void
CoordinatorTask::OnTick()
{
  ++m_ticks;
  if (!m_state.Joined()) {
    return;
  }
  if (m_ticks % kReportTicks == 0) {
    SendReport();
  }
  if (!m_active || m_state.LeaseLeft() <= Duration{}) {
    return;
  }
  TakeFromSuspects();
  AssignFree();
  if (m_ticks % kReportTicks == 0) {
    SuspectSilent();
  }
  if (m_ticks % kPlanTicks == 0) {
    PlanMoves();
  }
}

bool
CoordinatorTask::Heard(const HostName& aHost) const
{
  const auto found = m_reports.find(aHost);
  return found != m_reports.end() &&
         m_clock.Now() - found->second.at < kSilence;
}

std::vector<Taker>
CoordinatorTask::TakersOf(const ServiceName& aService) const
{
  std::vector<Taker> takers;
  for (const auto& [name, host] : m_state.State().Hosts()) {
    const bool usable =
      host.service == aService && m_state.State().CanTake(host) && Heard(name);
    if (!usable) {
      continue;
    }
    const auto capacity = m_reports.at(name).report.capacity;
    takers.push_back(Taker{ RangeHolder{ name, host.server->life },
                            capacity > 0.0 ? capacity : 1.0 });
  }
  return takers;
}

LoadMap
CoordinatorTask::LoadOf(const ServiceName& aService) const
{
  double total = 0.0;
  std::vector<LoadBucket> buckets;
  for (const auto& [name, reported] : m_reports) {
    const auto* host = m_state.State().FindHost(name);
    if (host == nullptr || host->service != aService) {
      continue;
    }
    for (const auto& bucket : reported.report.buckets) {
      total += bucket.load;
      buckets.push_back(bucket);
    }
  }
  LoadMap load(std::max(1.0, total * kEvenShare));
  load.Add(buckets);
  return load;
}

bool
CoordinatorTask::Settled(const std::vector<Taker>& aTakers)
{
  const auto now = m_clock.Now();
  if (aTakers.size() != m_takers) {
    m_takers = aTakers.size();
    m_newcomerAt = now;
  }
  return !aTakers.empty() && now - m_newcomerAt >= kSettleTime;
}

void
CoordinatorTask::AssignFree()
{
  for (const auto& service : m_sharded) {
    AssignFree(service);
  }
}

void
CoordinatorTask::AssignFree(const ServiceName& aService)
{
  const auto& state = m_state.State();
  const auto& rows = state.Table().RowsOf(aService);
  const bool free =
    std::any_of(rows.begin(), rows.end(), [&](const RangeRow& aRow) {
      return state.HolderOf(aRow) == nullptr;
    });
  if (!free) {
    return;
  }
  const auto takers = TakersOf(aService);
  const bool first = !state.Table().services.contains(aService);
  if (takers.empty() || (first && !Settled(takers))) {
    return;
  }
  m_state.SubmitOrReplaceEdit(
    "assign/" + aService.Value(),
    [aService, takers, load = LoadOf(aService)](TableDraft& aDraft,
                                                const MeshState& aState) {
      std::vector<Taker> able;
      for (const auto& taker : takers) {
        const auto* host = aState.FindHost(taker.holder.host);
        if (host != nullptr && aState.CanTake(*host) &&
            host->server->life == taker.holder.life) {
          able.push_back(taker);
        }
      }
      return AssignFreeRows(aDraft.table, aState, aService, able, load);
    });
}

void
CoordinatorTask::PlanMoves()
{
  for (const auto& service : m_sharded) {
    const auto& rows = m_state.State().Table().RowsOf(service);
    const auto moves = m_rebalancers[service].Plan(
      rows, TakersOf(service), LoadOf(service), m_clock.Now());
    for (const auto& move : moves) {
      m_logger.Info("move-planned",
                    "range={}-{} from={} to={}",
                    move.range.first,
                    move.range.last,
                    move.from.Value(),
                    move.to.Value());
      m_orders[move.from].moves.push_back(MoveOrder{ move.range, move.to });
    }
  }
}

void
CoordinatorTask::SuspectSilent()
{
  const auto now = m_clock.Now();
  const auto& hosts = m_state.State().Hosts();
  std::vector<HostName> silent;
  size_t heard = 0;
  for (const auto& [name, host] : hosts) {
    heard += Heard(name) ? 1 : 0;
    const auto since = std::max(m_startedAt, m_seenAt[name]);
    const bool late = !Heard(name) && now - since >= kSilence;
    if (late && !m_state.State().Suspected(name)) {
      silent.push_back(name);
    }
  }
  if (silent.empty() || static_cast<double>(heard) <
                          kLeastHeard * static_cast<double>(hosts.size())) {
    return;
  }
  for (const auto& name : silent) {
    m_logger.Warning("host-silent", "host={}", name.Value());
  }
  m_state.SubmitOrReplaceEdit(
    "suspect", [silent](TableDraft& aDraft, const MeshState& aState) {
      bool changed = false;
      for (const auto& name : silent) {
        if (aState.FindHost(name) == nullptr || aState.Suspected(name)) {
          continue;
        }
        aDraft.table.DropSuspicion(name); // One that was refuted.
        aDraft.table.Suspect(name);
        changed = true;
      }
      return changed;
    });
}

void
CoordinatorTask::TakeFromSuspects()
{
  const auto now = m_clock.Now();
  for (const auto& suspicion : m_state.State().Table().suspicions) {
    const auto seen = m_suspectedAt.find(suspicion.number);
    const bool due =
      seen != m_suspectedAt.end() && now - seen->second >= kTakeoverWait;
    if (!due || !m_state.State().Suspected(suspicion.host)) {
      continue;
    }
    m_logger.Warning("host-given-up",
                     "host={} suspicion={}",
                     suspicion.host.Value(),
                     suspicion.number);
    m_state.SubmitOrReplaceEdit(
      "takeover/" + suspicion.host.Value(),
      [suspicion](TableDraft& aDraft, const MeshState& aState) {
        const auto* standing = aState.Table().FindSuspicion(suspicion.host);
        if (standing == nullptr || standing->number != suspicion.number ||
            !aState.Suspected(suspicion.host)) {
          return false;
        }
        for (const auto& [service, rows] : aState.Table().services) {
          for (const auto& row : rows) {
            if (row.holder.host == suspicion.host) {
              aDraft.table.Free(service, row.range, {});
            }
          }
        }
        aDraft.table.DropSuspicion(suspicion.host);
        aDraft.dropped.push_back(suspicion.host);
        return true;
      });
  }
}

}
