#include "src/HostDaemon/HostDaemon.h"

#include <algorithm>

#include <event2/event.h>

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Interval of checks whether all requests have ended. */
constexpr Duration kLeaveInterval = milliseconds(50);

/** Share of the link's bandwidth for answers; the rest is left for headers,
 * requests and heartbeats. */
constexpr double kAnswerLinkShare = 0.93;

/** Share of the link's bandwidth for bodies of uploads, so that heartbeats and
 * small requests don't queue behind them. */
constexpr double kUploadLinkShare = 0.8;

/** Number of peers queried for the state while the store does not answer. */
constexpr size_t kQueriedPeers = 2;

/** Allows up to one second (four heartbeats) without an answer. On a 10 Mbit/s
 * link that is busy with downloads, the answer to a heartbeat can take most of
 * a second. After that, opening a new connection costs no more than waiting. */
ConnectionSettings
PeerConnectionSettings()
{
  ConnectionSettings settings;
  settings.heartbeatInterval = milliseconds(250);
  settings.missedHeartbeatLimit = 4;
  settings.pingsAtOnce = false;
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
  , m_releases(aBase, aClock, aState, m_coordinator, m_peers)
  , m_broadcaster(aBase, aClock, aState, m_coordinator, m_peers, aRandom)
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
  aState.AddListener(m_broadcaster);
  aState.SetOnAppended(
    [this](const StateUpdate& aUpdate) { m_broadcaster.OnAppended(aUpdate); });
  m_peers.SetCompression(
    [this](const Endpoint& aPeer) { return IsInOtherZone(aPeer); },
    m_byteTotals);
  m_server.SetOnReleased(
    [this](RangeRelease aRelease) { m_releases.Send(std::move(aRelease)); });
  aState.SetOnUnavailable([this] { QueryPeers(); });
  m_server.SetLink(aSettings.linkBytesPerSecond * kAnswerLinkShare,
                   [this] { return m_bulk.Backlog(); });
  m_server.SetUploadRate(aSettings.linkBytesPerSecond * kUploadLinkShare);
  m_operator.OnGet("/metrics",
                   [this](const OperatorRequest&) { return RenderMetrics(); });
}

InnerServices
HostDaemon::MakeInnerServices()
{
  InnerServices services;
  services.self = [] { return DaemonId(); };
  services.error = [this](std::string_view aProblem) {
    m_logger.Error("session-frame-failed", "problem=\"{}\"", aProblem);
  };
  services.report = [this](const HostReport& aReport) {
    return m_coordinator.OnReport(aReport);
  };
  services.state = [this](const StateQuery& aQuery) {
    return AnswerState(aQuery);
  };
  services.update = [this](const StateReply& aUpdate) {
    m_broadcaster.Relay(aUpdate);
    m_state.ApplyPeerUpdate(aUpdate.entries, aUpdate.next);
  };
  services.configuration = [this](const ConfigurationUpdate& aUpdate) {
    const auto& records = aUpdate.records;
    m_broadcaster.OnConfigurationReceived(records.next);
    if (!records.relayTo.empty() ||
        records.next > m_coordinator.Configuration().position) {
      m_broadcaster.Relay(aUpdate);
    }
    if (m_onPeerRecords) {
      m_onPeerRecords(RecordsOf(aUpdate));
    }
  };
  services.release = [this](const RangeRelease& aRelease) {
    m_coordinator.OnRelease(aRelease);
  };
  // Log streams and load reports of hashed entries are only used by daemons
  // that assign entries by hash.
  services.records = [](const RecordsQuery& aQuery) {
    return RecordsReply{ aQuery.stream, {} };
  };
  services.load = [](const LoadReport&) {};
  services.compression = m_byteTotals;
  return services;
}

std::optional<StateReply>
HostDaemon::AnswerState(const StateQuery& aQuery) const
{
  const bool snapshot = aQuery.from.era < m_state.End().era;
  auto update = snapshot ? m_state.Snapshot() : m_state.UpdateFrom(aQuery.from);
  if (!update) {
    return std::nullopt;
  }
  StateReply reply;
  reply.age = m_clock.Now() - m_state.LastSyncedAt();
  reply.next = update->next;
  reply.entries = std::move(update->entries);
  reply.snapshot = snapshot;
  return reply;
}

bool
HostDaemon::IsInOtherZone(const Endpoint& aPeer) const
{
  const auto& hosts = m_state.State().Hosts();
  const auto found =
    std::find_if(hosts.begin(), hosts.end(), [&](const auto& aItem) {
      return aItem.second.inner == aPeer;
    });
  return found != hosts.end() && found->second.zone != m_settings.zone;
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
        if (aReply.snapshot) {
          m_state.ApplyPeerSnapshot(aReply.entries, aReply.next);
        } else {
          m_state.ApplyPeerUpdate(aReply.entries, aReply.next);
        }
        m_state.RenewLeaseFromPeer(sentAt - aReply.age, aReply.next);
      });
  }
}

void
HostDaemon::Start(IngressDialect& aDialect, const HttpLimits& aLimits)
{
  const IngressContext context{ m_base,
                                m_clock,
                                m_random,
                                aDialect,
                                m_router,
                                m_metrics,
                                m_bulk,
                                [this](const IngressRecord& aRecord) {
                                  m_server.OnNestedEnd(aRecord);
                                } };
  m_ingress =
    std::make_unique<IngressTask>(context, m_settings.callers, aLimits);
  m_dialect = &aDialect;
  m_coordinator.Start();
}

void
HostDaemon::SetConfigurationInForce(std::function<StoreRecords()> aSource)
{
  m_coordinator.SetOnPeerOutdated(
    [this, source = std::move(aSource)](const HostName& aHost) {
      m_logger.Info("config-sent", "to={}", aHost.Value());
      m_broadcaster.SendConfiguration(aHost, source());
    });
}

void
HostDaemon::SetShardedServices(const std::set<ServiceName>& aServices)
{
  m_configured = true;
  m_server.SetSharded(aServices.contains(m_settings.server.service));
  m_coordinator.SetShardedServices(aServices);
}

void
HostDaemon::SetHealthPaths(const std::map<ServiceName, std::string>& aPaths)
{
  const auto found = aPaths.find(m_settings.server.service);
  m_server.SetHealthPath(found == aPaths.end() ? "" : found->second);
}

void
HostDaemon::SetColdPaces(const std::map<ServiceName, ColdPace>& aPaces)
{
  const auto found = aPaces.find(m_settings.server.service);
  m_server.SetColdPace(found == aPaces.end() ? ColdPace{} : found->second);
  m_router.SetColdPaces(aPaces);
}

void
HostDaemon::SetEvacuatedZones(const std::set<ZoneName>& aZones,
                              std::optional<MonoTime> aUnchangedAt)
{
  m_router.SetEvacuatedZones(aZones);
  m_coordinator.SetEvacuatedZones(aZones);
  m_server.SetEvacuatedZones(aZones, aUnchangedAt);
  m_metrics.SetGauge("pistachio_evacuated_zones",
                     static_cast<double>(aZones.size()));
}

void
HostDaemon::BeginLeave()
{
  if (m_leave) {
    return;
  }
  m_leave.emplace(m_clock.Now(), m_settings.grace);
  m_logger.Info("leave-begin", "in_flight={}", m_server.InFlight());
  m_ingress->BeginClosing();
  m_server.BeginLeave(m_leave->ForcedAt());
  m_leaveTimer.StartEvery(kLeaveInterval);
}

void
HostDaemon::OnLeaveTick()
{
  const LeaveWork work{ .calls = m_server.InFlight(),
                        .callers = m_ingress->Active(),
                        .unsentBytes = m_ingress->UnsentBytes(),
                        .peersHaveUnsent = m_inner.HasUnsent(),
                        .connections =
                          m_inner.Sessions() + m_ingress->Connections() };
  const auto steps = m_leave->Next(m_clock.Now(), work);
  if (steps.refuseCallers) {
    m_dialect->BeginClosing();
  }
  if (steps.drainPeers) {
    m_server.BeginDrain();
  }
  if (steps.force) {
    m_logger.Warning("leave-forced",
                     "in_flight={} callers={} unsent={}",
                     work.calls,
                     work.callers,
                     work.unsentBytes);
    m_bulk.StopLimiting();
    m_ingress->FailPendingRequests();
    m_inner.FailRunning();
  }
  if (steps.sayGoodbye) {
    m_ingress->StopAccepting();
    m_inner.SayGoodbye();
  }
  if (steps.finishSending) {
    m_inner.FinishSending();
  }
  if (steps.exit) {
    LogLeaveEnd(work);
    event_base_loopbreak(m_base);
  }
}

void
HostDaemon::LogLeaveEnd(const LeaveWork& aWork) const
{
  m_logger.Info("leave-end",
                "in_flight={} callers={} unsent={} peers_unsent={} "
                "connections={}",
                aWork.calls,
                aWork.callers,
                aWork.unsentBytes,
                aWork.peersHaveUnsent,
                aWork.connections);
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
  set("pistachio_gate_reserved", m_server.ReservedSlots());
  set("pistachio_callee_refused_share", m_server.CalleeRefusedShare());
  set("pistachio_inner_connections", m_peers.Connections());
  set("pistachio_inner_sessions", m_inner.Sessions());
  // -1: the backend server has stated no limit.
  set("pistachio_server_limit_per_second",
      m_server.RequestLimit().value_or(-1.0));
  set("pistachio_uploads_waiting", m_server.Uploads().Waiting());
  set("pistachio_uploads_in_transfer", m_server.Uploads().Transfers());
  set("pistachio_upload_bytes_held", m_server.Uploads().HeldBytes());
  // -1: the backend server is not paced.
  set("pistachio_server_pace_per_second",
      m_server.Pace().perSecond.value_or(-1.0));
  set("pistachio_server_pace_limit",
      m_server.Pace().slots ? *m_server.Pace().slots : -1.0);
  set("pistachio_server_evacuated", m_server.Evacuated() ? 1 : 0);
  set("pistachio_crash_suspects", m_server.Suspects());
  set("pistachio_hosts", m_state.State().Hosts().size());
  set("pistachio_store_end", m_state.End().offset);
  set("pistachio_store_era", m_state.End().era.Value());
  set("pistachio_store_returns", m_state.Returns());
  m_metrics.SetInnerBytes("sent", "frames", m_byteTotals->sentFrames);
  m_metrics.SetInnerBytes("sent", "wire", m_byteTotals->sentWire);
  m_metrics.SetInnerBytes("received", "frames", m_byteTotals->receivedFrames);
  m_metrics.SetInnerBytes("received", "wire", m_byteTotals->receivedWire);
  set("pistachio_coordinator", m_coordinator.Active() ? 1 : 0);
  const auto configuration = m_coordinator.Configuration();
  set("pistachio_config_position", configuration.position.offset);
  set("pistachio_config_era", configuration.position.era.Value());
  if (configuration.confirmedAt) {
    const std::chrono::duration<double> age =
      m_clock.Now() - *configuration.confirmedAt;
    set("pistachio_config_age_seconds", age.count());
  }
  return OperatorAnswer{ 200, "text/plain; version=0.0.4", m_metrics.Render() };
}

}
