#include "src/HostDaemon/RangeServerTask.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Priorities told apart at the gate; less urgent ones share the last class. */
constexpr uint32_t kPriorities = 8;

/** Ratio of the gate's shares of neighbouring priorities. */
constexpr double kPriorityRatio = 4.0;

/** Requests of a class that may wait; the gate refuses long waits anyway. */
constexpr uint32_t kQueueBound = 256;

/** Service time before the first answer: the classes' stated work. */
constexpr Duration kInitialService = milliseconds(150);

/** Time that a request waits for keys that are on their way here: two
 * heartbeats of the backend server. */
constexpr Duration kArrivalHold = milliseconds(1800);

constexpr size_t kMostHeld = 2048; // requests

/** Between checks of expired holds and of the gate. */
constexpr Duration kTick = milliseconds(100);

/** Connections beyond the slots, for those that are being closed. */
constexpr size_t kSpareConnections = 8;

constexpr size_t kMostSlots = 256;

/** A request stays at the gate and at the backend server for this many times
 * its goal at most. */
constexpr int kGoalsToWait = 1;

/** Same in mean service times, where the goal is shorter. */
constexpr int kServicesToWait = 3;

/** Weight of the newest service time: some hundred requests, a few seconds. */
constexpr double kServiceSmoothing = 0.02;

HttpClientLimits
PoolLimits()
{
  HttpClientLimits limits;
  limits.maxConnections = kMostSlots + kSpareConnections;
  limits.connectTimeout = milliseconds(1000);
  // Backend servers close idle connections from ten seconds on.
  limits.idleTimeout = milliseconds(4000);
  return limits;
}

AdmissionSettings
GateSettingsFor(uint32_t aSlots)
{
  AdmissionSettings settings;
  settings.slots = aSlots;
  settings.initialService = kInitialService;
  double weight = 1.0;
  for (uint32_t priority = 0; priority < kPriorities; ++priority) {
    settings.classes.push_back(AdmissionClass{ weight, kQueueBound });
    weight /= kPriorityRatio;
  }
  return settings;
}

}

RangeServerTask::RangeServerTask(event_base* aBase,
                                 const Clock& aClock,
                                 const RangeServerSettings& aSettings,
                                 StateTaskBase& aState,
                                 const ServerDialect& aDialect,
                                 const Logger& aLogger,
                                 Metrics& aMetrics)
  : CallHost(aClock, aMetrics)
  , m_base(aBase)
  , m_settings(aSettings)
  , m_state(aState)
  , m_dialect(aDialect)
  , m_logger(aLogger)
  , m_keeper(HoldSettings{}, aClock.Now())
  , m_pool(aBase, aSettings.endpoint, PoolLimits())
  , m_lastHeartbeat(aClock.Now())
  , m_entering(aBase, [this] { EnterAll(); })
  , m_gateTimer(aBase, [this] { Apply(m_gate->Expire(m_clock.Now())); })
  , m_tick(aBase, [this] { OnTick(); })
{
  m_tick.StartEvery(kTick);
}

RangeServerTask::~RangeServerTask() = default;

std::shared_ptr<Call>
RangeServerTask::Start(CallRequest aRequest,
                       std::shared_ptr<CallListener> aListener)
{
  const auto call = std::make_shared<OwnerCall>(
    m_base, *this, std::move(aRequest), std::move(aListener));
  m_new.push_back(call);
  if (!m_entering.Running()) {
    m_entering.StartOnce(Duration::zero());
  }
  return call;
}

OutcomeQueryResult
RangeServerTask::Ask(const RequestId& aId, TablePosition aKnown)
{
  return m_outcomes.Query(aId, aKnown);
}

void
RangeServerTask::EnterAll()
{
  for (const auto& call : std::exchange(m_new, {})) {
    if (call->m_state == OwnerCall::State::kNew) {
      Enter(call);
    }
  }
}

bool
RangeServerTask::Leaves(MonoTime aNow) const
{
  return m_draining || (m_leavesAt && aNow >= *m_leavesAt);
}

void
RangeServerTask::Enter(const CallPtr& aCall)
{
  const auto& request = aCall->Request();
  const auto now = m_clock.Now();
  if (request.service != m_settings.service) {
    // The sender's view of this host is older than its change of service.
    aCall->Refuse(RefusalReason::kNotOwner, Duration::zero());
    return;
  }
  if (Leaves(now)) {
    aCall->Refuse(RefusalReason::kDraining, Duration::zero());
    return;
  }
  if (!m_gate || !m_server) {
    aCall->Refuse(RefusalReason::kCold, Duration::zero());
    return;
  }
  const auto key = ParseShardKey(request.key);
  if (!m_sharded || !key || m_keeper.MayServe(*key, now)) {
    Admit(aCall);
    return;
  }
  // Granted with a heartbeat to come, or given away as soon as it is released.
  if (IsMine(*key) && m_held.size() < kMostHeld) {
    Hold(aCall);
    return;
  }
  aCall->Refuse(RefusalReason::kNotOwner, Duration::zero());
}

void
RangeServerTask::Hold(const CallPtr& aCall)
{
  aCall->m_state = OwnerCall::State::kHeld;
  m_calls[aCall->Request().id] = aCall;
  m_held.push_back(aCall->Request().id);
  aCall->ArmHold(kArrivalHold);
  aCall->ArmDeadline();
}

void
RangeServerTask::RetryHeld()
{
  for (const auto& id : std::exchange(m_held, {})) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end() ||
        found->second->m_state != OwnerCall::State::kHeld) {
      continue;
    }
    const auto call = found->second;
    const auto key = ParseShardKey(call->Request().key);
    const bool waits =
      key && IsMine(*key) && !m_keeper.MayServe(*key, m_clock.Now());
    if (waits && !Leaves(m_clock.Now())) {
      m_held.push_back(id);
      continue;
    }
    call->m_holdTimer.Stop();
    call->m_state = OwnerCall::State::kNew;
    Enter(call);
  }
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
  aCall->m_class = ClassIndex(std::min(request.priority, kPriorities - 1));
  const auto wait = LinkWait(*aCall);
  if (!m_link.Admits(request.head.target, wait, request.goal)) {
    aCall->Refuse(RefusalReason::kCannotFinish, wait);
    return;
  }
  const auto result = m_outcomes.Begin(request.id, request.known);
  if (result.verdict != BeginVerdict::kStarted) {
    const auto reason =
      result.verdict == BeginVerdict::kPoisoned ? RefusalReason::kPoisoned
      : result.verdict == BeginVerdict::kFull   ? RefusalReason::kTableFull
                                                : RefusalReason::kDuplicate;
    aCall->Refuse(reason, Duration::zero());
    return;
  }
  aCall->m_remembered = true;
  m_calls[request.id] = aCall;
  aCall->m_state = OwnerCall::State::kQueued;
  aCall->ArmDeadline();
  aCall->m_expectedBytes = m_link.ExpectedLinkBytes(request.head.target);
  m_link.Reserve(aCall->m_expectedBytes);
  const auto now = m_clock.Now();
  if (const auto key = ParseShardKey(request.key)) {
    m_load.Count(*key, 1.0);
  }
  const auto due = std::min(request.deadline, now + LongestStay(*aCall));
  Apply(
    m_gate->Admit(AdmissionRequest{ request.id, aCall->m_class, due }, now));
}

Duration
RangeServerTask::LinkWait(const OwnerCall& aCall) const
{
  const auto backlog = m_backlog ? m_backlog() : Duration::zero();
  return m_link.ExpectedWait(backlog, m_gate->ExpectedService(aCall.m_class));
}

Duration
RangeServerTask::LongestStay(const OwnerCall& aCall) const
{
  const auto goal = aCall.Request().goal;
  if (goal <= Duration{}) {
    return Duration::max() / 2;
  }
  // A slot serves as many requests whether they wait long or not: those that
  // would be late make room for others that are not.
  const auto service = m_gate->ExpectedService(aCall.m_class);
  return std::max(kGoalsToWait * goal, kServicesToWait * service);
}

void
RangeServerTask::Apply(const AdmissionActions& aActions)
{
  for (const auto& id : aActions.starts) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
      continue;
    }
    const auto call = found->second;
    if (MayStart(*call)) {
      call->Start(m_pool);
    } else {
      call->Refuse(Leaves(m_clock.Now()) ? RefusalReason::kDraining
                                         : RefusalReason::kLeaseNotHeld,
                   Duration::zero());
    }
  }
  for (const auto& refusal : aActions.refusals) {
    const auto found = m_calls.find(refusal.id);
    if (found != m_calls.end()) {
      const auto call = found->second;
      call->Refuse(refusal.reason, refusal.retryAfter);
    }
  }
  ArmGate();
}

void
RangeServerTask::ArmGate()
{
  const auto wakeup = m_gate->NextWakeup();
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
  if (now >= aCall.Request().deadline || Leaves(now)) {
    return false;
  }
  const auto key = ParseShardKey(aCall.Request().key);
  return !m_sharded || !key || m_keeper.MayServe(*key, now);
}

RequestHead
RangeServerTask::ServerHead(const OwnerCall& aCall) const
{
  auto head = aCall.Request().head;
  m_dialect.Address(head, *m_server, aCall.Request().deadline - m_clock.Now());
  return head;
}

AnswerKind
RangeServerTask::Classify(const OwnerCall& aCall,
                          const ResponseHead& aHead) const
{
  return m_dialect.Classify(aCall.Request().head, aHead);
}

std::optional<DaemonId>
RangeServerTask::HolderHint(const OwnerCall&) const
{
  return std::nullopt;
}

void
RangeServerTask::OnRefusing(const OwnerCall& aCall, const CallRefusal& aRefusal)
{
  const auto& request = aCall.Request();
  const auto left = request.deadline - m_clock.Now();
  m_logger.Info("call-refused",
                "id={} key={} reason={} outcome={} left_ms={} running={} "
                "queued={} held={} service_ms={:.0f} end={}",
                m_dialect.NameOf(request.head),
                request.key.empty() ? "-" : request.key,
                ToString(aRefusal.reason),
                ToString(aRefusal.outcome),
                std::chrono::duration_cast<milliseconds>(left).count(),
                Running(),
                Queued(),
                m_held.size(),
                m_serviceSeconds * 1000.0,
                m_state.End());
}

void
RangeServerTask::OnEnded(OwnerCall& aCall, ServiceResult aResult)
{
  const auto id = aCall.Request().id;
  const auto known = m_calls.find(id);
  if (known == m_calls.end() || known->second.get() != &aCall) {
    return;
  }
  m_calls.erase(known);
  m_link.Release(std::exchange(aCall.m_expectedBytes, 0));
  if (!m_gate) {
    return;
  }
  if (m_gate->IsQueued(id)) {
    m_gate->Cancel(id);
    ArmGate();
    return;
  }
  const auto now = m_clock.Now();
  if (aResult == ServiceResult::kDone) {
    LearnService(now - aCall.m_startedAt);
    m_link.RecordSize(aCall.Request().head.target, aCall.m_answerBytes);
  }
  // The gate is the only sender and never exceeds the slots: a refusal or a
  // lost answer says nothing about how much the backend server can take.
  const auto result = aResult == ServiceResult::kDone
                        ? ServiceResult::kDone
                        : ServiceResult::kCancelled;
  Apply(m_gate->Finished(id, result, now));
}

void
RangeServerTask::LearnService(Duration aTaken)
{
  const auto seconds = std::chrono::duration<double>(aTaken).count();
  m_serviceSeconds += kServiceSmoothing * (seconds - m_serviceSeconds);
}

void
RangeServerTask::MakeGate(uint32_t aSlots)
{
  const auto slots = std::clamp<uint32_t>(aSlots, 1, kMostSlots);
  if (!m_gate) {
    m_gate = std::make_unique<AdmissionController>(GateSettingsFor(slots));
  }
}

void
RangeServerTask::BeginLeave()
{
  m_leaving = true;
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
  if (m_gate) {
    Apply(m_gate->RefuseQueued(RefusalReason::kDraining));
  }
  RetryHeld();
}

HostReport
RangeServerTask::MakeReport()
{
  HostReport report;
  report.host = m_state.Self();
  const auto slots = static_cast<double>(m_gate ? m_gate->Limit() : 0);
  report.capacity = slots / std::max(m_serviceSeconds, 1e-3);
  report.buckets = m_load.Take(m_clock.Now());
  return report;
}

}
