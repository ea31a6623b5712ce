#include "src/Daemon/IngressSession.h"

#include <algorithm>

#include "src/Daemon/Fingerprint.h"

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Request bodies up to this size are received whole before the first attempt,
 * so that they can be sent again. */
constexpr size_t kReplayBytes = size_t{ 64 } * 1024;
/** Time after the deadline in which the owner may still report the outcome. */
constexpr Duration kOutcomeGrace = milliseconds(100);

}

IngressSession::IngressSession(const IngressContext& aContext,
                               std::shared_ptr<ServerExchange> aExchange)
  : m_context(aContext)
  , m_exchange(std::move(aExchange))
  , m_arrived(aContext.clock.Now())
  , m_timer(aContext.base, [this] { OnTimer(); })
  , m_deadlineTimer(aContext.base, [this] { OnDeadline(); })
{
}

void
IngressSession::Start()
{
  m_head = m_exchange->Head();
  StripHopByHop(m_head.headers);
  // Resumed as soon as the kind of the request is known: a caller that waits
  // for `100 Continue` is not asked for a body that has no credit yet.
  m_exchange->PauseBody();
  m_exchange->SetListener(shared_from_this());
  auto read = m_context.dialect.Read(m_head);
  const auto* resolved = std::get_if<ResolvedRequest>(&read);
  if (resolved == nullptr || !resolved->upload) {
    m_exchange->ResumeBody();
  }
  if (const auto* reason = std::get_if<RefusalReason>(&read)) {
    Refuse(Outcome::kNotRun, *reason);
    return;
  }
  m_resolved = std::move(std::get<ResolvedRequest>(read));
  m_isResolved = true;
  m_deadline = m_arrived + m_resolved.timeLimit;
  m_deadlineTimer.StartOnce(m_resolved.timeLimit + kOutcomeGrace);
  m_context.router.BudgetOf(m_resolved.policy).OnFirstAttempt();
  m_history.upload = m_resolved.upload;
  if (AwaitsCredit()) {
    ReadOnCredit();
    return;
  }
  if (m_resolved.upload) {
    m_exchange->ResumeBody();
  }
  if (!m_head.HasBody()) {
    m_bodyEnded = true;
    BeginAttempt();
  }
}

void
IngressSession::OnBody(std::string_view aData)
{
  if (m_ended) {
    return;
  }
  if (!m_streaming && m_body.size() + aData.size() <= kReplayBytes) {
    m_body.append(aData);
    return;
  }
  if (!m_call && !m_streaming) {
    m_streaming = true;
    m_body.append(aData);
    m_exchange->PauseBody();
    BeginAttempt();
    return;
  }
  // These bytes aren't buffered, so the request can't be sent again.
  m_replayable = false;
  if (m_call && !m_call->SendBody(aData)) {
    m_exchange->PauseBody();
  }
}

void
IngressSession::OnBodyEnd()
{
  if (m_ended) {
    return;
  }
  m_bodyEnded = true;
  if (m_call) {
    m_bodySent = true;
    m_call->Finish();
  } else if (!m_streaming) {
    m_awaitsCredit = AwaitsCredit();
    BeginAttempt();
  }
}

void
IngressSession::OnDrained()
{
  m_callerWritable = true;
  UpdateFlow();
}

void
IngressSession::OnAborted(AbortReason aReason)
{
  const auto self = shared_from_this();
  m_cut = ToString(aReason);
  if (m_call) {
    m_call->Cancel();
  }
  m_context.metrics.CountRefusal(RefusalReason::kCancelled);
  m_reason = RefusalReason::kCancelled;
  Done(Outcome::kUnknown);
}

CallRequest
IngressSession::MakeRequest() const
{
  CallRequest request;
  request.id = m_requestId;
  request.service = m_resolved.policy.name;
  request.key = m_resolved.key;
  request.head = m_head;
  request.deadline = m_deadline;
  request.hasBody = m_head.HasBody();
  request.idempotencyKey = m_resolved.idempotencyKey;
  request.repeat = m_resolved.repeat;
  request.priority = m_resolved.priority;
  request.goal = m_resolved.goal;
  request.nested = m_resolved.nested;
  request.fingerprint = FingerprintOf(m_head, m_resolved.key, m_body);
  request.awaitsCredit = m_awaitsCredit;
  if (m_awaitsCredit && m_bodyEnded) {
    request.head.contentLength = m_body.size();
    request.head.chunked = false;
  }
  if (m_resuming) {
    m_resume.RequestRemainder(request.head);
  }
  return request;
}

void
IngressSession::BeginAttempt()
{
  if (m_ended) {
    return;
  }
  m_destination =
    m_context.router.Choose(m_resolved.policy, m_resolved.key, m_history);
  ++m_history.attempts;
  if (!m_destination) {
    const bool keyed = m_resolved.policy.division == Division::kKeyed;
    CallRefusal refusal;
    refusal.reason =
      keyed ? RefusalReason::kNoOwner : RefusalReason::kNoInstance;
    OnRefused(refusal);
    return;
  }
  m_awaitsEnd = true;
  m_history.last = m_destination->daemon;
  m_requestId = DrawRequestId(m_context.random);
  m_known = m_context.router.KnownPosition(*m_destination);
  m_attemptStarted = m_context.clock.Now();
  m_attempt = std::make_shared<IngressAttempt>(shared_from_this());
  m_answerFlowing = true;
  m_hasCredit = !m_awaitsCredit;
  m_bodySent = false;
  m_call = m_context.router.Start(*m_destination, MakeRequest(), m_attempt);
  if (m_hasCredit) {
    SendBuffered();
  }
}

void
IngressSession::SendBuffered()
{
  bool open = true;
  if (!m_body.empty()) {
    open = m_call->SendBody(m_body);
  }
  if (m_bodyEnded) {
    m_bodySent = true;
    m_call->Finish();
  } else if (open) {
    m_exchange->ResumeBody();
  }
}

void
IngressSession::CloseAttempt()
{
  if (m_attempt) {
    m_attempt->Close();
    m_attempt.reset();
  }
  if (m_call) {
    m_call->Cancel();
    m_call.reset();
  }
  if (m_streaming) {
    // No attempt accepts body bytes until the next one begins.
    m_exchange->PauseBody();
  }
}

void
IngressSession::ReportToBalancer(InstanceResult aResult)
{
  m_awaitsEnd = false;
  if (m_destination) {
    const auto latency = m_context.clock.Now() - m_attemptStarted;
    m_context.router.OnEnd(m_resolved.policy, *m_destination, aResult, latency);
  }
}

AttemptReport
IngressSession::MakeReport() const
{
  AttemptReport report;
  report.idempotent = m_resolved.requestClass.idempotent;
  report.replayable = m_replayable;
  report.answerBegun = m_answerBegun;
  report.attempts = m_history.attempts;
  const auto now = m_context.clock.Now();
  report.left = m_deadline - now;
  report.elapsed = now - m_arrived;
  report.runs = m_possibleRuns;
  report.sheds = m_sheds;
  return report;
}

void
IngressSession::FailOnShutdown()
{
  const auto self = shared_from_this();
  if (m_sender) {
    m_sender->Flush();
  }
  GiveUp(RefusalReason::kDraining);
}

void
IngressSession::OnAttemptDrained()
{
  if (!m_bodyEnded && m_hasCredit) {
    m_exchange->ResumeBody();
  }
}

void
IngressSession::OnRefused(const CallRefusal& aRefusal)
{
  const auto self = shared_from_this();
  CloseAttempt();
  ReportRefusal(aRefusal);
  m_history.hint = aRefusal.holder;
  if (aRefusal.reason == RefusalReason::kNotOwner && m_history.last) {
    m_history.refused.push_back(*m_history.last);
  }
  const bool notRun = aRefusal.outcome == Outcome::kNotRun;
  m_retryAfter = notRun ? aRefusal.retryAfter : Duration{};
  m_sheds += aRefusal.reason == RefusalReason::kShed ? 1 : 0;
  if (m_resuming) {
    TryResume();
    return;
  }
  m_possibleRuns += notRun ? 0 : 1;
  auto report = MakeReport();
  report.end = notRun ? AttemptEnd::kNotRun : AttemptEnd::kUnknown;
  report.refusal = aRefusal.reason;
  // The time until there is room there doesn't delay a try elsewhere.
  const bool elsewhere =
    m_awaitsCredit && m_resolved.policy.division == Division::kAnyInstance;
  report.retryAfter = elsewhere ? Duration{} : aRefusal.retryAfter;
  Decide(report);
}

void
IngressSession::OnLost(CallLoss aLoss)
{
  const auto self = shared_from_this();
  if (!MayHaveRun() && aLoss != CallLoss::kTruncated) {
    aLoss = CallLoss::kNotSent;
  }
  CloseAttempt();
  ReportToBalancer(InstanceResult::kFailed);
  m_history.hint.reset();
  if (m_resuming || aLoss == CallLoss::kTruncated) {
    OnTruncated();
    return;
  }
  if (aLoss != CallLoss::kNotSent) {
    ++m_possibleRuns;
    m_retryAfter = Duration{};
  }
  auto report = MakeReport();
  if (aLoss == CallLoss::kNotSent) {
    report.end = AttemptEnd::kNotRun;
    report.refusal = RefusalReason::kOwnerUnreachable;
  } else if (aLoss == CallLoss::kSilent) {
    report.end = AttemptEnd::kConnectionSilent;
  } else {
    report.end = AttemptEnd::kConnectionLost;
  }
  Decide(report);
}

void
IngressSession::Decide(const AttemptReport& aReport)
{
  m_report = aReport;
  auto& budget = m_context.router.BudgetOf(m_resolved.policy);
  Execute(DecideRetry(aReport, m_resolved.retry, budget));
}

void
IngressSession::Execute(const RetryDecision& aDecision)
{
  switch (aDecision.step) {
    case RetryStep::kRetryNow:
      m_possibleRuns = aDecision.runs;
      m_context.metrics.CountRetry(aDecision.reason);
      m_context.dialect.OnRetry(m_resolved, aDecision.reason, MakeRecord());
      BeginAttempt();
      return;
    case RetryStep::kRetryAfter:
      m_possibleRuns = aDecision.runs;
      m_context.metrics.CountRetry(aDecision.reason);
      m_context.dialect.OnRetry(m_resolved, aDecision.reason, MakeRecord());
      m_timer.StartOnce(aDecision.delay);
      return;
    case RetryStep::kQueryOwner:
      if (aDecision.delay > Duration::zero()) {
        m_queryPending = true;
        m_timer.StartOnce(aDecision.delay);
        return;
      }
      QueryOwner();
      return;
    case RetryStep::kGiveUp:
      Refuse(aDecision.outcome, aDecision.refusal);
      return;
  }
}

void
IngressSession::OnTimer()
{
  const auto self = shared_from_this();
  if (m_ended) {
    return;
  }
  if (m_queryPending) {
    m_queryPending = false;
    QueryOwner();
    return;
  }
  BeginAttempt();
}

void
IngressSession::QueryOwner()
{
  const std::weak_ptr<IngressSession> weak = weak_from_this();
  m_context.router.QueryOutcome(*m_destination,
                                m_requestId,
                                m_known,
                                [weak](const OutcomeQueryResult& aResult) {
                                  if (const auto session = weak.lock()) {
                                    session->OnOutcome(aResult);
                                  }
                                });
  m_exchange->PauseBody();
}

void
IngressSession::OnOutcome(const OutcomeQueryResult& aResult)
{
  if (m_ended) {
    return;
  }
  auto result = aResult;
  if (result.state == RequestState::kDone && result.answer) {
    if (const auto answer = TryDecode(*result.answer)) {
      SendStoredAnswer(*answer);
      return;
    }
    // The request has run, and its answer is lost.
    result.answer.reset();
  }
  m_report.left = m_deadline - m_context.clock.Now();
  auto& budget = m_context.router.BudgetOf(m_resolved.policy);
  Execute(DecideAfterQuery(result, m_report, m_resolved.retry, budget));
}

void
IngressSession::Refuse(Outcome aOutcome, RefusalReason aReason)
{
  if (m_ended) {
    return;
  }
  m_context.metrics.CountRefusal(aReason);
  const auto left =
    m_isResolved ? m_deadline - m_context.clock.Now() : Duration::zero();
  auto answer = m_context.dialect.Refuse(
    RefusalNotice{ aOutcome, aReason, m_retryAfter, left });
  answer.head.contentLength = answer.body.size();
  m_status = answer.head.status;
  m_reason = aReason;
  m_exchange->SendHead(answer.head);
  m_exchange->SendBody(answer.body);
  m_exchange->Finish();
  Done(aOutcome);
}

void
IngressSession::GiveUp(RefusalReason aReason)
{
  const auto self = shared_from_this();
  if (m_ended || m_answerBegun) {
    return;
  }
  const uint32_t open = m_call && MayHaveRun() ? 1 : 0;
  if (m_call) {
    m_call->Cancel();
  }
  Refuse(OutcomeWithoutAnswer(m_possibleRuns + open), aReason);
}

IngressRecord
IngressSession::MakeRecord() const
{
  IngressRecord record;
  record.resolved = m_isResolved ? &m_resolved : nullptr;
  record.reason = m_reason;
  record.status = m_status;
  record.cut = m_cut;
  record.answerBytes = m_answerBytes;
  record.attempts = m_history.attempts;
  record.daemon = m_history.last;
  record.elapsed = m_context.clock.Now() - m_arrived;
  return record;
}

void
IngressSession::Done(Outcome aOutcome)
{
  if (m_ended) {
    return;
  }
  m_ended = true;
  CloseAttempt();
  if (m_awaitsEnd) {
    ReportToBalancer(InstanceResult::kCancelled);
  }
  m_timer.Stop();
  m_deadlineTimer.Stop();
  m_context.metrics.CountAnswer(aOutcome);
  if (!m_cut.empty()) {
    m_context.metrics.CountCutAnswer(m_cut);
  }
  const auto elapsed = m_context.clock.Now() - m_arrived;
  m_context.metrics.ObserveLatency(elapsed);
  auto record = MakeRecord();
  record.outcome = aOutcome;
  if (m_isResolved && m_resolved.nested && m_context.onNestedEnd) {
    m_context.onNestedEnd(record);
  }
  m_context.dialect.OnDone(record);
}

}
