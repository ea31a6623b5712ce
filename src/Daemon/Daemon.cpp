#include "src/Daemon/Daemon.h"

#include <algorithm>
#include <charconv>

#include <event2/event.h>

#include "src/Base/Hash.h"

namespace pistachioshift {

namespace {

/** Unlimited: the settings don't contain the rate of the host's link. */
constexpr double kUnlimitedBulkRate = 0.0;

/** Time after which a leaving daemon accepts no new work (rule R7). */
constexpr Duration kLeaveGracePeriod = std::chrono::seconds(2);
constexpr Duration kLeaveCheckInterval = std::chrono::milliseconds(50);
/**
 * Time without work and connections before the exit. Callers that were just
 * redirected to this daemon connect within it.
 */
constexpr Duration kIdleTimeBeforeExit = std::chrono::milliseconds(300);

/** Time in which other daemons take their last answers and close their
 * connections. */
constexpr Duration kMaxCloseTime = std::chrono::seconds(2);

constexpr int kStatusBadRequest = 400;
constexpr int kStatusConflict = 409;

HttpLimits
CallerLimits(const Settings& aSettings)
{
  HttpLimits limits;
  limits.maxConnections = aSettings.limits.callerConnections;
  return limits;
}

std::optional<int64_t>
ParseNumber(const std::string& aText)
{
  int64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, number);
  const bool complete = result.ec == std::errc() && result.ptr == end;
  return complete ? std::optional(number) : std::nullopt;
}

}

Daemon::Daemon(event_base* aBase, const Settings& aSettings)
  : m_base(aBase)
  , m_settings(aSettings)
  , m_random(MakeRandomEngine(ReadSeedSources()))
  , m_boot(m_random())
  , m_logger("pistachiod", aSettings.logLevel)
  , m_logService(aBase, HttpLogOptions{ aSettings.log.endpoint })
  , m_mesh(aBase,
           m_clock,
           m_random,
           m_logService,
           m_settings,
           m_boot,
           m_logger,
           m_metrics)
  , m_document(aBase,
               m_clock,
               m_random,
               m_logService,
               m_settings,
               m_boot,
               m_logger,
               m_metrics)
  , m_backend(aBase, m_clock, m_settings, m_mesh, m_logger, m_metrics)
  , m_peers(aBase, m_clock, m_boot, m_logger, m_metrics)
  , m_router(m_clock, m_random, m_mesh, m_backend, m_peers)
  , m_relay(aBase, m_random, m_mesh, m_document, m_peers, m_settings)
  , m_planner(aBase, m_clock, m_mesh, m_backend, m_logger)
  , m_rebalance(aBase, m_clock, m_mesh, m_backend, m_peers, m_planner, m_logger)
  , m_bulk(aBase, m_clock, kUnlimitedBulkRate)
  , m_inner(aBase,
            m_clock,
            m_settings.place.inner,
            m_boot,
            m_backend,
            MakeInnerServices(),
            m_metrics,
            m_bulk)
  , m_dialect(m_clock, m_mesh, m_backend)
  , m_ingress(IngressContext{ aBase,
                              m_clock,
                              m_random,
                              m_dialect,
                              m_router,
                              m_metrics,
                              m_bulk },
              m_settings.place.callers,
              CallerLimits(m_settings))
  , m_operator(aBase, m_settings.place.operators)
  , m_status{ m_settings, m_boot, m_mesh, m_document, m_backend }
  , m_leaveTimer(aBase, [this] { OnLeaveTick(); })
{
  AddOperatorHandlers();
}

InnerServices
Daemon::MakeInnerServices()
{
  InnerServices services;
  services.records = [this](const RecordsQuery& aQuery) {
    return m_relay.Answer(aQuery);
  };
  services.self = [this] { return m_mesh.Self(); };
  services.load = [this](const LoadReport& aReport) {
    m_rebalance.OnLoadReport(aReport);
  };
  // These messages are used only by HostDaemon, where key ranges are kept in a
  // store instead of the ownership stream.
  services.report = [](const HostReport&) { return HostOrders(); };
  services.state = [](const StateQuery&) -> std::optional<StateReply> {
    return std::nullopt;
  };
  services.update = [](const StateReply&) {};
  return services;
}

void
Daemon::Start()
{
  m_logger.Info("start",
                "host={} zone={} inner={} callers={} operators={}",
                m_settings.place.host.Value(),
                m_settings.place.zone.Value(),
                m_settings.place.inner.port,
                m_settings.place.callers.port,
                m_settings.place.operators.port);
  m_mesh.Start(m_backend);
  m_document.Start([this](const DocumentState& aState) { OnDocument(aState); });
  m_backend.Probe().Start([this](bool aReady) { OnServerReady(aReady); });
  m_relay.Start();
  m_planner.Start();
  m_rebalance.Start();
}

void
Daemon::OnDocument(const DocumentState& aState)
{
  std::map<ServiceName, Duration> waits;
  for (const auto& [name, policy] : aState.Policies()) {
    if (policy.fencing == Fencing::kUnchecked) {
      waits[name] = policy.LongestDeadline();
    }
  }
  m_mesh.SetFenceWaits(std::move(waits));
  m_mesh.SetDocumentApplied(aState.Applied());
  m_backend.SetPolicies(aState.Policies());
}

void
Daemon::OnServerReady(bool aReady)
{
  m_logger.Info("server", "ready={}", aReady);
  if (!aReady) {
    return;
  }
  m_mesh.SetServerReady();
  if (m_serverWasReady) {
    m_backend.OnServerRestarted();
  }
  m_serverWasReady = true;
}

void
Daemon::BeginLeave()
{
  if (m_leaving) {
    return;
  }
  m_leaving = true;
  m_leaveStartedAt = m_clock.Now();
  m_logger.Info("leave-begin", "in_flight={}", m_backend.InFlight());
  m_mesh.BeginLeave();
  m_ingress.BeginClosing();
  m_leaveTimer.StartEvery(kLeaveCheckInterval);
}

void
Daemon::OnLeaveTick()
{
  const auto now = m_clock.Now();
  const bool inGracePeriod = now - m_leaveStartedAt < kLeaveGracePeriod;
  if (!inGracePeriod) {
    m_backend.BeginDrain();
  }
  // Requests that still arrive are forwarded to the daemons that took over, so
  // the process runs on until the callers' connections have ended.
  const bool hasOwnWork =
    inGracePeriod || !m_mesh.Left() || m_backend.InFlight() > 0;
  if (!hasOwnWork && !m_acceptStopped) {
    m_acceptStopped = true;
    m_ingress.StopAccepting();
  }
  if (hasOwnWork || m_ingress.Connections() > 0) {
    m_lastBusyAt = now;
    return;
  }
  if (now - m_lastBusyAt >= kIdleTimeBeforeExit) {
    FinishLeave(now);
  }
}

void
Daemon::FinishLeave(MonoTime aNow)
{
  if (!m_goodbyeAt) {
    m_goodbyeAt = aNow;
    m_inner.SayGoodbye();
    return;
  }
  m_inner.FinishSending();
  if (m_inner.Sessions() > 0 && aNow - *m_goodbyeAt < kMaxCloseTime) {
    return;
  }
  m_logger.Info(
    "leave-end", "in_flight=0 peers_unsent={}", m_inner.HasUnsent());
  event_base_loopbreak(m_base);
}

std::string
Daemon::RenderMetrics()
{
  const auto& control = m_mesh.Control();
  const auto set = [this](const char* aName, auto aValue) {
    m_metrics.SetGauge(aName, static_cast<double>(aValue));
  };
  set("pistachio_in_flight", m_backend.InFlight());
  set("pistachio_gate_running", m_backend.Running());
  set("pistachio_gate_queued", m_backend.Queued());
  set("pistachio_inner_connections", m_peers.Connections());
  set("pistachio_inner_sessions", m_inner.Sessions());
  set("pistachio_control_sent_datagrams", control.sent);
  set("pistachio_control_sent_bytes", control.sentBytes);
  set("pistachio_control_received_datagrams", control.received);
  set("pistachio_control_received_bytes", control.receivedBytes);
  set("pistachio_control_malformed", control.malformed);
  set("pistachio_entries", m_mesh.View().Entries().size());
  set("pistachio_members", m_mesh.View().Members().size());
  set("pistachio_ownership_applied", m_mesh.Log().Applied().Value());
  set("pistachio_document_applied", m_document.Log().Applied().Value());
  set("pistachio_ownership_malformed", m_mesh.Log().Counters().malformed);
  set("pistachio_document_malformed", m_document.Log().Counters().malformed);
  set("pistachio_log_connected", m_mesh.Log().Connected() ? 1 : 0);
  return m_metrics.Render();
}

void
Daemon::AddOperatorHandlers()
{
  m_operator.OnGet("/metrics", [this](const OperatorRequest&) {
    return OperatorAnswer{ 200, "text/plain; version=0.0.4", RenderMetrics() };
  });
  m_operator.OnGet("/status", [this](const OperatorRequest&) {
    return OperatorAnswer{ 200, "application/json", RenderStatus(m_status) };
  });
  m_operator.OnGet("/explain", [this](const OperatorRequest& aRequest) {
    const ServiceName service(aRequest.Field("service"));
    return OperatorAnswer{ 200,
                           "application/json",
                           RenderExplanation(
                             m_status, service, aRequest.Field("key")) };
  });
  m_operator.OnPost("/drain", [this](const OperatorRequest&) {
    BeginLeave();
    return OperatorAnswer{ 200, "application/json", "{\"draining\":true}" };
  });
  m_operator.OnPost("/undrain", [](const OperatorRequest&) {
    return OperatorAnswer{
      kStatusConflict,
      "application/json",
      "{\"error\":\"a planned leave cannot be cancelled; restart the daemon\"}"
    };
  });
  m_operator.OnPost("/move", [this](const OperatorRequest& aRequest) {
    return HandleMove(aRequest);
  });
}

OperatorAnswer
Daemon::HandleMove(const OperatorRequest& aRequest)
{
  const ServiceName service(aRequest.Field("service"));
  const auto to = ParseNumber(aRequest.Field("to"));
  const auto& policies = m_backend.Policies();
  const auto policy = policies.find(service);
  if (!to || policy == policies.end() ||
      policy->second.division != Division::kKeyed) {
    return { kStatusBadRequest,
             "application/json",
             "{\"error\":\"expected fields: service (divided by key), key or "
             "range, to\"}" };
  }
  const auto key = aRequest.Field("key");
  const auto number = ParseNumber(aRequest.Field("range"));
  const auto range = number ? RangeIndex(static_cast<uint32_t>(*number))
                            : RangeOfKey(key, policy->second.ranges);
  const auto entry = number ? EntryKey{ service, range, {} }
                            : m_mesh.View().Resolve(service, range, key);
  if (!m_planner.Move(entry, DaemonId(*to))) {
    return { kStatusConflict,
             "application/json",
             fmt::format(
               "{{\"error\":\"this daemon is not the planner, or the entry "
               "or the target daemon is unknown\",\"planner\":{}}}",
               m_mesh.View().Term().planner.Value()) };
  }
  return { 200, "application/json", "{\"asked\":true}" };
}

}
