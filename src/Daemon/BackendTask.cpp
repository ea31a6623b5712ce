#include "src/Daemon/BackendTask.h"

#include <algorithm>

#include <fmt/format.h>

#include "Pistachioshift/Base"
#include "src/Daemon/Target.h"

namespace pistachioshift {

namespace {

/** Time for which a request is held until this daemon, the owner by rank, may
 * serve the entry. */
constexpr Duration kMaxOwnerHold = std::chrono::milliseconds(1500);

/** Same on a successor. Shorter: the sender may just not know of a move yet. */
constexpr Duration kMaxSuccessorHold = std::chrono::milliseconds(100);

constexpr size_t kMaxHeldRequests = 4096; // requests

std::string
IdText(const RequestId& aId)
{
  return fmt::format("{:016x}{:016x}", aId.high, aId.low);
}

std::string
RangeName(const EntryKey& aKey)
{
  if (aKey.pinnedKey.empty()) {
    return fmt::format("{}/{}", aKey.service.Value(), aKey.range.Value());
  }
  return fmt::format("{}/{}", aKey.service.Value(), aKey.pinnedKey);
}

HttpClientLimits
PoolLimits(const Settings& aSettings)
{
  HttpClientLimits limits;
  limits.maxConnections = aSettings.limits.serverConnections;
  limits.connectTimeout = std::chrono::milliseconds(500);
  return limits;
}

}

BackendTask::BackendTask(event_base* aBase,
                         const Clock& aClock,
                         const Settings& aSettings,
                         MeshTask& aMesh,
                         const Logger& aLogger,
                         Metrics& aMetrics)
  : CallDelegate(aClock, aMetrics)
  , m_base(aBase)
  , m_settings(aSettings)
  , m_mesh(aMesh)
  , m_logger(aLogger)
  , m_admission(aBase,
                aClock,
                aSettings.server.slots,
                [this](const AdmissionActions& aActions) { Apply(aActions); })
  , m_pool(aBase, aSettings.server.endpoint, PoolLimits(aSettings))
  , m_probe(aBase, aClock, aSettings.server)
  , m_newCallsTimer(aBase, [this] { ProcessNewCalls(); })
{
}

BackendTask::~BackendTask() = default;

std::shared_ptr<Call>
BackendTask::Start(CallRequest aRequest,
                   std::shared_ptr<CallListener> aListener)
{
  const auto call = std::make_shared<OwnerCall>(
    m_base, *this, std::move(aRequest), std::move(aListener));
  m_newCalls.push_back(call);
  if (!m_newCallsTimer.Running()) {
    m_newCallsTimer.StartOnce(Duration::zero());
  }
  return call;
}

void
BackendTask::ProcessNewCalls()
{
  const auto calls = std::move(m_newCalls);
  m_newCalls.clear();
  for (const auto& call : calls) {
    if (call->m_state == OwnerCall::State::kNew) {
      ProcessCall(call);
    }
  }
}

OutcomeQueryResult
BackendTask::QueryOutcome(const RequestId& aId, TablePosition aKnown)
{
  return m_outcomes.Query(aId, aKnown);
}

const ServicePolicy*
BackendTask::FindPolicy(const ServiceName& aService) const
{
  const auto found = m_policies.find(aService);
  return found == m_policies.end() ? nullptr : &found->second;
}

std::shared_ptr<OwnerCall>
BackendTask::Find(const RequestId& aId) const
{
  const auto found = m_calls.find(aId);
  return found == m_calls.end() ? nullptr : found->second;
}

std::optional<DaemonId>
BackendTask::HolderHint(const OwnerCall& aCall) const
{
  if (!aCall.m_entry) {
    return std::nullopt;
  }
  if (const auto next = m_entries.NextHolder(*aCall.m_entry)) {
    return next;
  }
  for (const auto& candidate : m_mesh.Route(*aCall.m_entry)) {
    if (candidate.daemon != m_mesh.Self()) {
      return candidate.daemon;
    }
  }
  return std::nullopt;
}

void
BackendTask::ProcessCall(const std::shared_ptr<OwnerCall>& aCall)
{
  const auto& request = aCall->Request();
  const auto* policy = FindPolicy(request.service);
  const auto target = ParseTarget(request.head);
  if (policy == nullptr || !target) {
    aCall->Refuse(RefusalReason::kNoService, Duration::zero());
    return;
  }
  if (m_draining) {
    aCall->Refuse(RefusalReason::kDraining, Duration::zero());
    return;
  }
  const auto* found = FindClass(*policy, request.head.method, target->path);
  const auto index = found == nullptr ? 0 : found - policy->classes.data();
  aCall->m_class = ClassIndex(static_cast<uint32_t>(index));
  if (policy->division == Division::kAnyInstance) {
    Admit(aCall, *policy);
    return;
  }
  const auto range = RangeOfKey(request.key, policy->ranges);
  aCall->m_entry = m_mesh.View().Resolve(request.service, range, request.key);
  AdmitOrHold(aCall, *policy);
}

void
BackendTask::AdmitOrHold(const std::shared_ptr<OwnerCall>& aCall,
                         const ServicePolicy& aPolicy)
{
  const auto& key = *aCall->m_entry;
  aCall->m_token = m_mesh.MayServe(key);
  if (aCall->m_token && MayStart(*aCall)) {
    Admit(aCall, aPolicy);
    return;
  }
  const bool leftOrLeaving =
    m_entries.IsStoppingOrHandedOver(key, m_clock.Now());
  if (!leftOrLeaving && m_mesh.RankOf(key) &&
      m_held.size() < kMaxHeldRequests) {
    Hold(aCall);
    return;
  }
  aCall->Refuse(RefusalReason::kNotOwner, Duration::zero());
}

void
BackendTask::Hold(const std::shared_ptr<OwnerCall>& aCall)
{
  aCall->m_state = OwnerCall::State::kHeld;
  m_calls[aCall->Request().id] = aCall;
  m_held.emplace(*aCall->m_entry, aCall->Request().id);
  const auto now = m_clock.Now();
  const bool owner = m_mesh.RankOf(*aCall->m_entry) == Rank();
  auto maxHold = owner ? kMaxOwnerHold : kMaxSuccessorHold;
  const auto notBefore = m_entries.ServableFrom(*aCall->m_entry, now);
  maxHold += std::max(notBefore - now, Duration::zero());
  aCall->StartHoldTimer(maxHold);
  aCall->StartDeadlineTimer();
}

void
BackendTask::Admit(const std::shared_ptr<OwnerCall>& aCall,
                   const ServicePolicy& aPolicy)
{
  const auto& request = aCall->Request();
  const auto known = m_calls.find(request.id);
  if (known != m_calls.end() && known->second != aCall) {
    aCall->Refuse(RefusalReason::kDuplicate, Duration::zero());
    return;
  }
  if (!BeginOutcome(aCall)) {
    return;
  }
  m_calls[request.id] = aCall;
  aCall->m_state = OwnerCall::State::kQueued;
  aCall->StartDeadlineTimer();
  const AdmissionRequest wanted{ request.id, aCall->m_class, request.deadline };
  m_admission.Admit(aPolicy.name, wanted);
}

bool
BackendTask::BeginOutcome(const std::shared_ptr<OwnerCall>& aCall)
{
  const auto& request = aCall->Request();
  BeginResult result;
  if (request.idempotencyKey.empty() || !aCall->m_token) {
    result = m_outcomes.Begin(request.id, request.known);
  } else {
    IdempotencyKey key;
    key.value = request.idempotencyKey;
    key.repeat = request.repeat;
    result = m_outcomes.Begin(request.id, request.known, *aCall->m_token, key);
  }
  switch (result.verdict) {
    case BeginVerdict::kStarted:
      aCall->m_inOutcomeTable = true;
      return true;
    case BeginVerdict::kDone:
      if (result.answer) {
        aCall->ReplayResponse(*result.answer);
        return false;
      }
      aCall->Refuse(RefusalReason::kDuplicate, Duration::zero());
      return false;
    case BeginVerdict::kRunning:
      aCall->Refuse(RefusalReason::kDuplicate, Duration::zero());
      return false;
    case BeginVerdict::kPoisoned:
    case BeginVerdict::kOutdated:
      aCall->Refuse(RefusalReason::kPoisoned, Duration::zero());
      return false;
    case BeginVerdict::kUndecided:
      aCall->Refuse(RefusalReason::kUndecided, Duration::zero());
      return false;
    case BeginVerdict::kFull:
      aCall->Refuse(RefusalReason::kTableFull, Duration::zero());
      return false;
  }
  return false;
}

void
BackendTask::Apply(const AdmissionActions& aActions)
{
  for (const auto& id : aActions.starts) {
    const auto call = Find(id);
    if (call) {
      StartCall(call);
    }
  }
  for (const auto& refusal : aActions.refusals) {
    const auto call = Find(refusal.id);
    if (call) {
      call->Refuse(refusal.reason, refusal.retryAfter);
    }
  }
}

void
BackendTask::StartCall(const std::shared_ptr<OwnerCall>& aCall)
{
  if (!MayStart(*aCall)) {
    aCall->Refuse(RefusalReason::kLeaseNotHeld, Duration::zero());
    return;
  }
  if (aCall->m_entry) {
    m_entries.RequestStarted(*aCall->m_entry);
    aCall->m_countedAsRunning = true;
  }
  aCall->Start(m_pool);
}

bool
BackendTask::MayStart(const OwnerCall& aCall) const
{
  const auto now = m_clock.Now();
  if (now >= aCall.Request().deadline) {
    return false;
  }
  if (!aCall.m_entry) {
    return true;
  }
  if (!m_entries.MayStart(*aCall.m_entry, now)) {
    return false;
  }
  return aCall.m_token && m_mesh.MayServe(*aCall.m_entry) == aCall.m_token;
}

RequestHead
BackendTask::ServerHead(const OwnerCall& aCall) const
{
  auto head = aCall.m_request.head;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aCall.m_request.deadline - m_clock.Now());
  const auto deadline = m_clock.WallNow() + left;
  head.headers.Set(fields::kDeadline,
                   std::to_string(deadline.time_since_epoch().count()));
  head.headers.Set(fields::kRequest, IdText(aCall.m_request.id));
  if (!aCall.m_request.key.empty()) {
    head.headers.Set(fields::kKey, aCall.m_request.key);
  }
  if (aCall.m_entry) {
    head.headers.Set(fields::kRange, RangeName(*aCall.m_entry));
  }
  if (aCall.m_token) {
    head.headers.Set(fields::kFence,
                     fmt::format("{}.{}",
                                 aCall.m_token->entry.Value(),
                                 aCall.m_token->rank.Value()));
  }
  return head;
}

AnswerKind
BackendTask::Classify(const OwnerCall&, const ResponseHead& aHead) const
{
  const auto* outcome = aHead.headers.Find(fields::kOutcome);
  const bool notRun =
    outcome != nullptr && *outcome == ToString(Outcome::kNotRun);
  return notRun ? AnswerKind::kNotRun : AnswerKind::kAnswer;
}

void
BackendTask::OnWithdrawnAfterStart(const OwnerCall& aCall,
                                   RefusalReason aReason)
{
  m_logger.Error("withdrawn-after-start",
                 "id={} reason={}",
                 IdText(aCall.Request().id),
                 ToString(aReason));
}

void
BackendTask::OnEnded(OwnerCall& aCall, ServiceResult aResult)
{
  const auto id = aCall.Request().id;
  const auto known = m_calls.find(id);
  if (known == m_calls.end() || known->second.get() != &aCall) {
    return;
  }
  m_calls.erase(known);
  RemoveHeld(aCall);
  m_admission.End(aCall.Request().service, id, aResult);
  if (aCall.m_countedAsRunning) {
    if (aResult == ServiceResult::kDone) {
      CountLoad(aCall);
    }
    aCall.m_countedAsRunning = false;
    m_entries.RequestEnded(*aCall.m_entry);
    ReleaseIfIdle(*aCall.m_entry);
  }
}

void
BackendTask::CountLoad(const OwnerCall& aCall)
{
  const auto* policy = FindPolicy(aCall.Request().service);
  const auto index = aCall.m_class.Value();
  if (policy != nullptr && index < policy->classes.size()) {
    m_load.Add(
      *aCall.m_entry, aCall.Request().key, policy->classes[index].weight);
  }
}

std::vector<LoadReport>
BackendTask::EndLoadInterval(Duration aElapsed)
{
  return m_load.EndInterval(m_mesh.Self(), aElapsed);
}

void
BackendTask::RemoveHeld(const OwnerCall& aCall)
{
  if (aCall.m_state != OwnerCall::State::kHeld) {
    return;
  }
  const auto [first, last] = m_held.equal_range(*aCall.m_entry);
  for (auto held = first; held != last; ++held) {
    if (held->second == aCall.Request().id) {
      m_held.erase(held);
      return;
    }
  }
}

void
BackendTask::ReleaseIfIdle(const EntryKey& aKey)
{
  const auto token = m_entries.RemoveIfIdle(aKey, m_clock.Now());
  if (token) {
    m_outcomes.EndGrant(*token);
    m_retryTimers.erase(aKey);
    m_mesh.OnEntryIdle(aKey);
  }
}

void
BackendTask::OnEntryStarted(const EntryStarted& aStarted)
{
  m_entries.Started(aStarted);
  const auto key = aStarted.key;
  if (!key.pinnedKey.empty()) {
    MoveCallsToPin(key);
  }
  auto& timer = m_retryTimers[key];
  timer = std::make_unique<Timer>(m_base, [this, key] { RetryHeld(key); });
  timer->StartOnce(aStarted.notBefore - m_clock.Now());
}

void
BackendTask::MoveCallsToPin(const EntryKey& aPin)
{
  const EntryKey range{ aPin.service, aPin.range, {} };
  for (const auto& [id, call] : m_calls) {
    const bool same =
      call->m_entry == range && call->Request().key == aPin.pinnedKey;
    if (!same || call->m_state == OwnerCall::State::kHeld) {
      continue;
    }
    if (call->m_countedAsRunning) {
      m_entries.RequestEnded(range);
      m_entries.RequestStarted(aPin);
    }
    call->m_entry = aPin;
  }
}

void
BackendTask::RetryHeld(const EntryKey& aKey)
{
  std::vector<RequestId> held;
  const auto [first, last] = m_held.equal_range(aKey);
  for (auto item = first; item != last; ++item) {
    held.push_back(item->second);
  }
  m_held.erase(first, last);
  for (const auto& id : held) {
    const auto call = Find(id);
    if (call) {
      call->m_holdTimer.Stop();
      call->m_state = OwnerCall::State::kNew;
      ProcessCall(call);
    }
  }
}

void
BackendTask::OnEntryStopping(const EntryStopping& aStopping)
{
  m_entries.Stopping(aStopping);
  RefuseWaiting(aStopping.key, RefusalReason::kNotOwner);
  ReleaseIfIdle(aStopping.key);
}

void
BackendTask::RefuseWaiting(const EntryKey& aKey, RefusalReason aReason)
{
  std::vector<std::shared_ptr<OwnerCall>> waiting;
  for (const auto& [id, call] : m_calls) {
    const bool running = call->m_state == OwnerCall::State::kRunning;
    if (call->m_entry == aKey && !running) {
      waiting.push_back(call);
    }
  }
  for (const auto& call : waiting) {
    call->Refuse(aReason, Duration::zero());
  }
}

void
BackendTask::OnIncarnationEnded()
{
  std::vector<std::shared_ptr<OwnerCall>> waiting;
  for (const auto& [id, call] : m_calls) {
    const bool running = call->m_state == OwnerCall::State::kRunning;
    if (call->m_entry && !running) {
      waiting.push_back(call);
    }
  }
  m_entries.Clear();
  m_retryTimers.clear();
  for (const auto& call : waiting) {
    call->Refuse(RefusalReason::kLeaseNotHeld, Duration::zero());
  }
}

bool
BackendTask::EntriesIdle() const
{
  return std::none_of(m_calls.begin(), m_calls.end(), [](const auto& aItem) {
    return aItem.second->m_countedAsRunning;
  });
}

void
BackendTask::SetPolicies(const ServicePolicies& aPolicies)
{
  m_policies = aPolicies;
  for (const auto& [name, policy] : aPolicies) {
    m_admission.SetPolicy(policy);
  }
}

void
BackendTask::OnServerRestarted()
{
  m_admission.OnServerRestarted();
}

void
BackendTask::BeginDrain()
{
  m_draining = true;
}

size_t
BackendTask::Running() const
{
  return m_admission.Running();
}

size_t
BackendTask::Queued() const
{
  return m_held.size() + m_admission.Queued();
}

}
