#include "src/HostDaemon/HostDaemon.h"

#include <algorithm>

#include <event2/event.h>

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Time in which callers notice that the daemon is not ready: two of their
 * checks, which come once a second. */
constexpr Duration kReadinessNoticeTime = milliseconds(2300);

/** Interval of checks whether all requests have ended. */
constexpr Duration kLeaveInterval = milliseconds(50);

/** Share of the link's bandwidth for answers; the rest is left for headers,
 * requests and heartbeats. */
constexpr double kAnswerLinkShare = 0.93;

/** Time for sending the last answers before a forced exit. */
constexpr Duration kFlushTime = milliseconds(200);

/** Time for peers' requests that are still running when no new ones are
 * accepted. */
constexpr Duration kPeerDrainTime = milliseconds(1200);

/** Time without any request in progress before the process exits. */
constexpr Duration kIdleBeforeExit = milliseconds(150);

/** Number of peers queried for the state while the store does not answer. */
constexpr size_t kQueriedPeers = 2;

/** The process exits by itself this long before it would be killed. */
constexpr Duration kGraceMargin = milliseconds(500);

/** Allows up to one second (four heartbeats) without an answer. On a 10 Mbit/s
 * link that is busy with downloads, the answer to a heartbeat can take most of
 * a second. After that, opening a new connection costs no more than waiting. */
ConnectionSettings
PeerConnectionSettings()
{
  ConnectionSettings settings;
  settings.heartbeatInterval = milliseconds(250);
  settings.missedHeartbeatLimit = 4;
  return settings;
}

}

HostDaemon::HostDaemon(event_base* aBase,
                       const Clock& aClock,
                       const HostSettings& aSettings,
                       StateTaskBase& aState,
                       const ServerDialect& aServerDialect,
                       const Logger& aLogger,
                       Metrics& aMetrics,
                       RandomEngine& aRandom)
  : m_base(aBase)
  , m_clock(aClock)
  , m_settings(aSettings)
  , m_state(aState)
  , m_logger(aLogger)
  , m_metrics(aMetrics)
  , m_random(aRandom)
  , m_boot(aRandom())
  , m_server(aBase,
             aClock,
             aSettings.server,
             aState,
             aServerDialect,
             aLogger,
             aMetrics)
  , m_peers(aBase, aClock, m_boot, aLogger, aMetrics, PeerConnectionSettings())
  , m_router(aClock, aRandom, aState, m_server, m_peers)
  , m_coordinator(aBase, aClock, aState, m_server, m_peers, aLogger)
  , m_bulk(aBase, aClock, aSettings.linkBytesPerSecond * kAnswerLinkShare)
  , m_inner(aBase,
            aClock,
            aSettings.inner,
            m_boot,
            m_server,
            MakeInnerServices(),
            aMetrics,
            m_bulk)
  , m_operator(aBase, aSettings.metrics)
  , m_leaveTimer(aBase, [this] { OnLeaveTick(); })
{
  aState.AddListener(m_router);
  aState.AddListener(m_server);
  aState.AddListener(m_coordinator);
  aState.SetOnAppended(
    [this](const StateUpdate& aUpdate) { BroadcastUpdate(aUpdate); });
  aState.SetOnUnavailable([this] { QueryPeers(); });
  m_server.SetLink(aSettings.linkBytesPerSecond * kAnswerLinkShare,
                   [this] { return m_bulk.Backlog(); });
  m_operator.OnGet("/metrics",
                   [this](const OperatorRequest&) { return RenderMetrics(); });
}

InnerServices
HostDaemon::MakeInnerServices()
{
  InnerServices services;
  services.self = [] { return DaemonId(); };
  services.report = [this](const HostReport& aReport) {
    return m_coordinator.OnReport(aReport);
  };
  services.state = [this](const StateQuery& aQuery) {
    return AnswerState(aQuery);
  };
  services.update = [this](const StateReply& aUpdate) {
    m_state.ApplyPeerUpdate(aUpdate.entries, aUpdate.nextOffset);
  };
  // Log streams and load reports of hashed entries are only used by daemons
  // that assign entries by hash.
  services.records = [](const RecordsQuery& aQuery) {
    return RecordsReply{ aQuery.stream, {} };
  };
  services.load = [](const LoadReport&) {};
  return services;
}

std::optional<StateReply>
HostDaemon::AnswerState(const StateQuery& aQuery) const
{
  auto update = m_state.UpdateFrom(aQuery.from);
  if (!update) {
    return std::nullopt;
  }
  StateReply reply;
  reply.age = m_clock.Now() - m_state.LastSyncedAt();
  reply.nextOffset = update->next;
  reply.entries = std::move(update->entries);
  return reply;
}

void
HostDaemon::BroadcastUpdate(const StateUpdate& aUpdate)
{
  StateReply update;
  update.nextOffset = aUpdate.next;
  update.entries = aUpdate.entries;
  for (const auto& [name, host] : m_state.State().Hosts()) {
    if (name != m_state.Self() && !m_state.State().Suspected(name)) {
      m_peers.SendUpdate(host.inner, update);
    }
  }
}

void
HostDaemon::QueryPeers()
{
  std::vector<Endpoint> peers;
  for (const auto& [name, host] : m_state.State().Hosts()) {
    if (name != m_state.Self() && !m_state.State().Suspected(name)) {
      peers.push_back(host.inner);
    }
  }
  std::shuffle(peers.begin(), peers.end(), m_random);
  peers.resize(std::min(peers.size(), kQueriedPeers));
  const auto sentAt = m_clock.Now();
  for (const auto& peer : peers) {
    m_peers.QueryState(
      peer,
      StateQuery{ m_state.End() },
      [this, sentAt](const StateReply& aReply) {
        m_state.ApplyPeerUpdate(aReply.entries, aReply.nextOffset);
        m_state.RenewLeaseFromPeer(sentAt - aReply.age, aReply.nextOffset);
      });
  }
}

void
HostDaemon::Start(IngressDialect& aDialect, const HttpLimits& aLimits)
{
  const IngressContext context{ m_base,   m_clock,   m_random, aDialect,
                                m_router, m_metrics, m_bulk };
  m_ingress =
    std::make_unique<IngressTask>(context, m_settings.callers, aLimits);
  m_dialect = &aDialect;
  m_coordinator.Start();
}

void
HostDaemon::SetShardedServices(const std::set<ServiceName>& aServices)
{
  m_configured = true;
  m_server.SetSharded(aServices.contains(m_settings.server.service));
  m_coordinator.SetShardedServices(aServices);
}

void
HostDaemon::BeginLeave()
{
  if (m_leaving) {
    return;
  }
  m_leaving = true;
  m_leaveStartedAt = m_clock.Now();
  m_idleSince = m_leaveStartedAt;
  m_logger.Info("leave-begin", "in_flight={}", m_server.InFlight());
  m_ingress->BeginClosing();
  m_server.BeginLeave();
  m_leaveTimer.StartEvery(kLeaveInterval);
}

void
HostDaemon::OnLeaveTick()
{
  const auto now = m_clock.Now();
  const auto elapsed = now - m_leaveStartedAt;
  if (elapsed >= m_settings.grace - kGraceMargin) {
    if (!m_forced) {
      m_forced = true;
      m_logger.Warning("leave-forced",
                       "in_flight={} callers={}",
                       m_server.InFlight(),
                       m_ingress->Active());
      m_ingress->FailPendingRequests();
    }
    if (elapsed >= m_settings.grace - kGraceMargin + kFlushTime) {
      LogLeaveEnd(now);
      event_base_loopbreak(m_base);
    }
    return;
  }
  if (elapsed < kReadinessNoticeTime) {
    m_idleSince = now;
    return;
  }
  if (!m_dialectClosing) {
    m_dialectClosing = true;
    m_dialect->BeginClosing();
  }
  // Requests from peers are accepted as long as requests of this daemon's own
  // callers keep the process running, or until the grace period nearly ends.
  const bool endIsNear =
    elapsed >= m_settings.grace - kGraceMargin - kPeerDrainTime;
  if (!m_draining && (m_ingress->Active() == 0 || endIsNear)) {
    m_draining = true;
    m_server.BeginDrain();
  }
  if (m_server.InFlight() > 0 || m_ingress->Active() > 0 ||
      m_inner.HasUnsent()) {
    m_idleSince = now;
    return;
  }
  if (now - m_idleSince >= kIdleBeforeExit) {
    LogLeaveEnd(now);
    event_base_loopbreak(m_base);
  }
}

void
HostDaemon::LogLeaveEnd(MonoTime aNow) const
{
  m_logger.Info(
    "leave-end",
    "in_flight={} callers={} connections={} unsent={} "
    "peers_unsent={} ms={}",
    m_server.InFlight(),
    m_ingress->Active(),
    m_ingress->Connections(),
    m_ingress->UnsentBytes(),
    m_inner.HasUnsent(),
    std::chrono::duration_cast<milliseconds>(aNow - m_leaveStartedAt).count());
}

OperatorAnswer
HostDaemon::RenderMetrics()
{
  const auto set = [this](const char* aName, auto aValue) {
    m_metrics.SetGauge(aName, static_cast<double>(aValue));
  };
  set("pistachio_in_flight", m_server.InFlight());
  set("pistachio_gate_running", m_server.Running());
  set("pistachio_gate_queued", m_server.Queued());
  set("pistachio_inner_connections", m_peers.Connections());
  set("pistachio_inner_sessions", m_inner.Sessions());
  set("pistachio_hosts", m_state.State().Hosts().size());
  set("pistachio_store_end", m_state.End());
  set("pistachio_coordinator", m_coordinator.Active() ? 1 : 0);
  return OperatorAnswer{ 200, "text/plain; version=0.0.4", m_metrics.Render() };
}

}
