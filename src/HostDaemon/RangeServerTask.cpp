#include "src/HostDaemon/RangeServerTask.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "src/HostDaemon/GateClasses.h"

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxHeldCalls = 2048;

/** Interval of checks for expired holds and for queued requests that must be
 * refused. */
constexpr Duration kTickInterval = milliseconds(100);

/** Connections beyond the slots, to allow for those that are closing. */
constexpr size_t kClosingConnections = 8;

constexpr size_t kMaxSlots = 256;

/** After a restart of this daemon, the backend server may have stated a limit
 * that is not known here. Until its first answer, at most this many requests
 * run at once, but not for longer than a usual service time. */
constexpr uint32_t kRateProbeSlots = 2;
constexpr Duration kMaxRateProbe = milliseconds(1000);

/** Limit on the time that a request spends at the gate and at the backend
 * server, in multiples of its latency goal. */
constexpr int kGoalMultiple = 1;

/** The same limit in mean service times; the larger of the two applies. */
constexpr int kServiceTimeMultiple = 3;

HttpClientLimits
PoolLimits()
{
  HttpClientLimits limits;
  limits.maxConnections = kMaxSlots + kClosingConnections;
  limits.connectTimeout = milliseconds(1000);
  // Backend servers close connections that are idle for ten seconds.
  limits.idleTimeout = milliseconds(4000);
  return limits;
}

RefusalReason
RefusalOf(BeginVerdict aVerdict)
{
  switch (aVerdict) {
    case BeginVerdict::kPoisoned:
    case BeginVerdict::kOutdated:
      return RefusalReason::kPoisoned;
    case BeginVerdict::kFull:
      return RefusalReason::kTableFull;
    default:
      return RefusalReason::kDuplicate;
  }
}

}

RangeServerTask::RangeServerTask(event_base* aBase,
                                 const Clock& aClock,
                                 const RangeServerSettings& aSettings,
                                 StateTaskBase& aState,
                                 const ServerDialect& aDialect,
                                 const Logger& aLogger,
                                 Metrics& aMetrics)
  : CallDelegate(aClock, aMetrics)
  , m_base(aBase)
  , m_settings(aSettings)
  , m_state(aState)
  , m_dialect(aDialect)
  , m_logger(aLogger)
  , m_grants(GrantSettings{}, aClock.Now())
  , m_presence(
      PresenceSettings{ aSettings.drainTime, aSettings.maxHeartbeatDelay })
  , m_evacuation(aSettings.evacuateLimit)
  , m_pool(aBase, aSettings.endpoint, PoolLimits())
  , m_evidenceTimer(aBase, [this] { WriteCrashEvidence(); })
  , m_healthTimer(aBase, [this] { OnHealthTimer(); })
  , m_pace(aClock.Now())
  , m_coldCheckTimer(aBase, [this] { OnColdCheckTimer(); })
  , m_lastHeartbeat(aClock.Now())
  , m_uploads(UploadSettings{}, aClock.Now())
  , m_acceptTimer(aBase, [this] { AcceptNewCalls(); })
  , m_gateTimer(aBase,
                [this] { ApplyGateActions(m_gate->Expire(m_clock.Now())); })
  , m_uploadTimer(aBase, [this] { AdvanceUploads(); })
  , m_rateProbeTimer(aBase, [this] { EndRateProbe(); })
  , m_tick(aBase, [this] { OnTick(); })
{
  m_pool.SetErrorHandler([this](std::string_view aProblem) {
    m_logger.Error("server-answer-failed", "problem=\"{}\"", aProblem);
  });
  m_tick.StartEvery(kTickInterval);
  m_state.SetClaimSource([this] {
    const auto& server = m_grants.Incarnation();
    return server ? m_grants.Claims(RowsOf(*server))
                  : std::vector<ClaimedRange>{};
  });
}

RangeServerTask::~RangeServerTask() = default;

std::shared_ptr<Call>
RangeServerTask::Start(CallRequest aRequest,
                       std::shared_ptr<CallListener> aListener)
{
  const auto call = std::make_shared<OwnerCall>(
    m_base, *this, std::move(aRequest), std::move(aListener));
  m_newCalls.push_back(call);
  if (!m_acceptTimer.Running()) {
    m_acceptTimer.StartOnce(Duration::zero());
  }
  return call;
}

OutcomeQueryResult
RangeServerTask::QueryOutcome(const RequestId& aId, TablePosition aKnown)
{
  return m_outcomes.Query(aId, aKnown);
}

void
RangeServerTask::AcceptNewCalls()
{
  for (const auto& call : std::exchange(m_newCalls, {})) {
    if (call->m_state == OwnerCall::State::kNew) {
      Accept(call);
    }
  }
  if (std::exchange(m_retriesHeld, false)) {
    RetryHeldCalls();
  }
}

bool
RangeServerTask::RefusesNewCalls(MonoTime aNow) const
{
  return m_draining || m_presence.Drained(aNow) ||
         m_evacuation.RefusesStarts(aNow);
}

bool
RangeServerTask::OutlastsProcess(const OwnerCall& aCall) const
{
  return m_exitAt && aCall.Request().deadline > *m_exitAt;
}

void
RangeServerTask::Accept(const CallPtr& aCall)
{
  const auto& request = aCall->Request();
  const auto now = m_clock.Now();
  if (request.service != m_settings.service) {
    // The sender does not know yet that this host now runs another service.
    aCall->Refuse(RefusalReason::kNotOwner, Duration::zero());
    return;
  }
  if (RefusesNewCalls(now) || OutlastsProcess(*aCall)) {
    aCall->Refuse(RefusalReason::kDraining, Duration::zero());
    return;
  }
  if (IsExcluded(*aCall)) {
    RefuseFatal(aCall);
    return;
  }
  const auto key = ParseShardKey(request.key);
  const bool divided = m_sharded && key;
  if (!m_gate || !m_serverId || (!divided && !m_presence.Proven())) {
    aCall->Refuse(RefusalReason::kCold, Duration::zero());
    return;
  }
  if (!divided || MayServe(*key, now)) {
    if (AwaitsSuspect(*aCall) && m_heldCalls.size() < kMaxHeldCalls) {
      HoldCall(aCall, RefusalReason::kOverloaded);
      return;
    }
    Admit(aCall);
    return;
  }
  // The key is granted with a later heartbeat, or goes to another host as soon
  // as the backend server has released it.
  if (AssignedHere(*key) && m_heldCalls.size() < kMaxHeldCalls) {
    HoldCall(aCall, RefusalReason::kNotOwner);
    return;
  }
  aCall->Refuse(RefusalReason::kNotOwner, Duration::zero());
}

void
RangeServerTask::Admit(const CallPtr& aCall)
{
  const auto& request = aCall->Request();
  const auto known = m_calls.find(request.id);
  if (known != m_calls.end() && known->second != aCall) {
    aCall->Refuse(RefusalReason::kDuplicate, Duration::zero());
    return;
  }
  if (RefuseForCallees(aCall)) {
    return;
  }
  aCall->m_class = GateClassOf(request);
  const auto wait = LinkWait(*aCall);
  if (!m_link.Admits(request.head.target, wait, request.goal)) {
    aCall->Refuse(RefusalReason::kCannotFinish, wait);
    return;
  }
  if (!aCall->m_inOutcomeTable) { // Else it is an upload that is complete.
    const auto result = m_outcomes.Begin(request.id, request.known);
    if (result.verdict != BeginVerdict::kStarted) {
      aCall->Refuse(RefusalOf(result.verdict), Duration::zero());
      return;
    }
    aCall->m_inOutcomeTable = true;
  }
  m_calls[request.id] = aCall;
  if (AwaitsBody(*aCall)) {
    AdmitUpload(aCall);
    return;
  }
  GrantUnplanned(*aCall);
  aCall->m_state = OwnerCall::State::kQueued;
  ReserveSuspect(*aCall);
  aCall->StartDeadlineTimer();
  aCall->m_reservedLinkBytes = m_link.ExpectedLinkBytes(request.head.target);
  m_link.Reserve(aCall->m_reservedLinkBytes);
  const auto now = m_clock.Now();
  const auto key = ParseShardKey(request.key);
  if (key) {
    m_loadMeter.Count(*key, 1.0);
  }
  const auto due = std::min(request.deadline, now + MaxTimeInSystem(*aCall));
  ApplyGateActions(m_gate->Admit(
    AdmissionRequest{ request.id,
                      aCall->m_class,
                      due,
                      key ? std::optional(key->Value()) : std::nullopt },
    now));
}

Duration
RangeServerTask::MaxTimeInSystem(const OwnerCall& aCall) const
{
  const auto goal = aCall.Request().goal;
  if (goal <= Duration{}) {
    return Duration::max() / 2;
  }
  // Waiting longer does not let a slot serve more requests. Requests that would
  // miss their goal are refused to make room for those that can meet it.
  const auto service = m_gate->ExpectedService(aCall.m_class);
  return std::max(kGoalMultiple * goal, kServiceTimeMultiple * service);
}

void
RangeServerTask::ApplyGateActions(const AdmissionActions& aActions)
{
  for (const auto& id : aActions.starts) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
      continue;
    }
    const auto call = found->second;
    if (MayStart(*call)) {
      if (m_probesRate && !m_rateProbeTimer.Running()) {
        m_rateProbeTimer.StartOnce(kMaxRateProbe);
      }
      ReserveSuspect(*call);
      NoteRunning(*call);
      m_pace.OnStarted(id, call->m_class, call->Request().goal, m_clock.Now());
      call->Start(m_pool);
    } else {
      const auto reason = StartRefusal(*call);
      if (reason == RefusalReason::kFatalRequest) {
        RefuseFatal(call);
      } else {
        call->Refuse(reason, Duration::zero());
      }
    }
  }
  for (const auto& refusal : aActions.refusals) {
    const auto found = m_calls.find(refusal.id);
    if (found != m_calls.end()) {
      const auto call = found->second;
      call->Refuse(refusal.reason, refusal.retryAfter);
    }
  }
  ArmGateTimer();
}

void
RangeServerTask::ArmGateTimer()
{
  const auto wakeup = m_gate->NextWakeup(m_clock.Now());
  if (!wakeup) {
    m_gateTimer.Stop();
    return;
  }
  m_gateTimer.StartOnce(
    std::max(*wakeup - m_clock.Now(), Duration(milliseconds(1))));
}

bool
RangeServerTask::MayStart(const OwnerCall& aCall) const
{
  const auto now = m_clock.Now();
  if (now >= aCall.Request().deadline || RefusesNewCalls(now) ||
      OutlastsProcess(aCall) || IsExcluded(aCall) || AwaitsSuspect(aCall)) {
    return false;
  }
  const auto key = ParseShardKey(aCall.Request().key);
  return m_sharded && key ? MayServe(*key, now) : m_presence.Proven();
}

RefusalReason
RangeServerTask::StartRefusal(const OwnerCall& aCall) const
{
  if (RefusesNewCalls(m_clock.Now()) || OutlastsProcess(aCall)) {
    return RefusalReason::kDraining;
  }
  if (IsExcluded(aCall)) {
    return RefusalReason::kFatalRequest;
  }
  if (!m_presence.Proven()) {
    return RefusalReason::kCold;
  }
  return AwaitsSuspect(aCall) ? RefusalReason::kOverloaded
                              : RefusalReason::kLeaseNotHeld;
}

RequestHead
RangeServerTask::ServerHead(const OwnerCall& aCall) const
{
  auto head = aCall.Request().head;
  m_dialect.PrepareHead(
    head, *m_serverId, aCall.Request().deadline - m_clock.Now());
  return head;
}

AnswerKind
RangeServerTask::Classify(const OwnerCall& aCall,
                          const ResponseHead& aHead) const
{
  return m_dialect.Classify(aCall.Request().head, aHead);
}

void
RangeServerTask::OnWithdrawnAfterStart(const OwnerCall& aCall,
                                       RefusalReason aReason)
{
  m_logger.Error("withdrawn-after-start",
                 "id={} reason={}",
                 m_dialect.RequestLabel(aCall.Request().head),
                 ToString(aReason));
}

void
RangeServerTask::OnRefusing(const OwnerCall& aCall, const CallRefusal& aRefusal)
{
  const auto& request = aCall.Request();
  if (aRefusal.reason == RefusalReason::kDeadlineExpired &&
      aRefusal.outcome == Outcome::kUnknown) {
    m_endMonitor.OnUnanswered(request.fingerprint, m_clock.Now());
  }
  const auto left = request.deadline - m_clock.Now();
  m_logger.Info("call-refused",
                "id={} key={} reason={} outcome={} left_ms={} running={} "
                "queued={} held={} service_ms={:.0f} end={}",
                m_dialect.RequestLabel(request.head),
                request.key.empty() ? "-" : request.key,
                ToString(aRefusal.reason),
                ToString(aRefusal.outcome),
                std::chrono::duration_cast<milliseconds>(left).count(),
                Running(),
                Queued(),
                m_heldCalls.size(),
                m_serviceTime.Seconds() * 1000.0,
                m_state.End().offset);
}

void
RangeServerTask::OnEnded(OwnerCall& aCall, ServiceResult aResult)
{
  NoteRunEnded(aCall);
  const auto id = aCall.Request().id;
  NotePaceEnd(aCall, aResult);
  const auto known = m_calls.find(id);
  if (known == m_calls.end() || known->second.get() != &aCall) {
    return;
  }
  m_calls.erase(known);
  if (aResult == ServiceResult::kFailed && aCall.m_headSeen) {
    m_logger.Info("answer-truncated",
                  "id={} bytes={}",
                  m_dialect.RequestLabel(aCall.Request().head),
                  aCall.m_answerBytes);
  }
  m_link.Release(std::exchange(aCall.m_reservedLinkBytes, 0));
  m_uploads.End(id, m_clock.Now());
  ArmUploadTimer();
  if (aResult == ServiceResult::kDone && aCall.m_answerComplete) {
    m_endMonitor.OnAnswered(aCall.m_startedAt);
    const auto request = aCall.Request().fingerprint;
    OnSuspectAnswered(request, m_suspects.OnCompleted(request));
  }
  if (aResult == ServiceResult::kCancelled &&
      aCall.m_state == OwnerCall::State::kRunning) {
    m_endMonitor.OnUnanswered(aCall.Request().fingerprint, m_clock.Now());
  }
  if (m_runningSuspect == id) {
    m_runningSuspect.reset();
    m_retriesHeld = true;
    m_acceptTimer.StartOnce(Duration::zero());
  }
  if (!m_gate) {
    return;
  }
  if (m_gate->IsQueued(id)) {
    m_gate->Cancel(id);
    ArmGateTimer();
    return;
  }
  const auto now = m_clock.Now();
  if (aResult == ServiceResult::kDone) {
    m_serviceTime.Add(now - aCall.m_startedAt);
    m_link.RecordSize(aCall.Request().head.target, aCall.m_answerBytes);
  }
  // The gate is the only sender and never exceeds the slots, so a refusal or a
  // lost answer says nothing about the capacity of the backend server.
  const auto result = aResult == ServiceResult::kDone
                        ? ServiceResult::kDone
                        : ServiceResult::kCancelled;
  ApplyGateActions(m_gate->Finished(id, result, now));
}

void
RangeServerTask::EnsureGate(uint32_t aSlots)
{
  const auto slots = std::clamp<uint32_t>(aSlots, 1, kMaxSlots);
  if (!m_gate) {
    m_gate = std::make_unique<AdmissionController>(GateSettingsFor(slots));
    m_slots = slots;
    m_probesRate = true;
    m_gate->SetLimit(std::min(slots, kRateProbeSlots), m_clock.Now());
    m_pace.SetSlots(slots, m_clock.Now());
    UpdatePace();
  }
}

void
RangeServerTask::BeginLeave(MonoTime aExitAt)
{
  m_exitAt = aExitAt;
  auto server = m_state.OwnRecord().server;
  if (server && server->state == ServerState::kReady) {
    server->state = ServerState::kDraining;
    m_state.PublishServer(server);
  }
}

void
RangeServerTask::BeginDrain()
{
  m_draining = true;
  AcceptNewCalls(); // They are refused as not run.
  if (m_gate) {
    ApplyGateActions(m_gate->RefuseQueued(RefusalReason::kDraining));
  }
  RefuseUploads(RefusalReason::kDraining);
  RetryHeldCalls();
}

}
