#include "src/Daemon/OwnerCall.h"

#include "src/Daemon/AnswerCodec.h"
#include "src/Daemon/FlowWindow.h"

namespace pistachioshift {

namespace {

/** Largest response body that is kept for the outcome table. */
constexpr size_t kMaxCachedBodyBytes = 3072;
constexpr Duration kRetryAfterShed = std::chrono::milliseconds(50);

/** Ignores all events; replaces the listener of a disconnected requester. */
class NullListener : public CallListener
{
public:
  void OnHead(const ResponseHead&, const FenceToken&) override {}
  void OnBody(std::string_view) override {}
  void OnEnd() override {}
  void OnDrained() override {}
  void OnRefused(const CallRefusal&) override {}
  void OnLost(CallLoss) override {}
};

RefusalReason
ReasonOf(ClientFailure aFailure)
{
  switch (aFailure) {
    case ClientFailure::kNotWritten:
      return RefusalReason::kLeaseNotHeld;
    case ClientFailure::kPoolExhausted:
      return RefusalReason::kQueueFull;
    default:
      return RefusalReason::kBackendDown;
  }
}

}

OwnerCall::OwnerCall(event_base* aBase,
                     CallDelegate& aDelegate,
                     CallRequest aRequest,
                     std::shared_ptr<CallListener> aListener)
  : m_delegate(aDelegate)
  , m_request(std::move(aRequest))
  , m_listener(std::move(aListener))
  , m_deadlineTimer(aBase, [this] { OnDeadline(); })
  , m_bodyTimer(aBase, [this] { OnBodyTimer(); })
  , m_holdTimer(aBase, [this] { OnHoldExpired(); })
{
}

bool
OwnerCall::SendBody(std::string_view aData)
{
  if (m_state == State::kEnded) {
    return true;
  }
  if (m_state == State::kUploading) {
    ReceiveUpload(aData);
    return true;
  }
  m_delegate.OnRequestBytes(aData.size());
  bool open = true;
  if (m_exchange) {
    open = m_exchange->SendBody(aData);
  } else {
    m_bufferedBody.append(aData);
    open = m_bufferedBody.size() < static_cast<size_t>(kStreamWindow);
  }
  m_bodyBlocked = !open;
  return open;
}

void
OwnerCall::Finish()
{
  if (m_state == State::kEnded || m_finished) {
    return;
  }
  if (m_state == State::kUploading) {
    FinishUpload();
    return;
  }
  m_finished = true;
  if (m_exchange) {
    m_exchange->Finish();
  }
}

/** The length in the head bounds the bytes that are kept, whatever the sender
 * does. */
void
OwnerCall::ReceiveUpload(std::string_view aData)
{
  const auto length = m_request.head.contentLength.value_or(0);
  if (m_bufferedBody.size() + aData.size() > length) {
    Refuse(RefusalReason::kBodyTooLarge, Duration::zero());
    return;
  }
  m_bufferedBody.append(aData);
  m_delegate.OnUploadBytes(*this, aData.size());
}

void
OwnerCall::FinishUpload()
{
  if (m_bufferedBody.size() != m_request.head.contentLength) {
    // The body was cut short, so the request must not run.
    Refuse(RefusalReason::kCancelled, Duration::zero());
    return;
  }
  m_finished = true;
  m_delegate.OnUploadReceived(*this);
}

void
OwnerCall::PauseBody()
{
  m_paused = true;
  m_bodyLimit.Pause(m_delegate.m_clock.Now());
  m_bodyTimer.Stop();
  if (m_exchange) {
    m_exchange->PauseBody();
  }
}

void
OwnerCall::ResumeBody()
{
  m_paused = false;
  if (m_headSeen) {
    m_bodyLimit.Resume(m_delegate.m_clock.Now());
    StartBodyTimer();
  }
  if (m_exchange) {
    m_exchange->ResumeBody();
  }
}

void
OwnerCall::Cancel()
{
  if (m_state == State::kEnded) {
    return;
  }
  const auto self = shared_from_this();
  m_listener.reset();
  EndWith(ServiceResult::kCancelled);
}

void
OwnerCall::Abandon()
{
  // A response in progress can't be delivered, and a request without its whole
  // body can't complete.
  if (m_state != State::kRunning || m_headSeen || !m_finished) {
    Cancel();
    return;
  }
  m_listener = std::make_shared<NullListener>();
}

void
OwnerCall::StartDeadlineTimer()
{
  m_deadlineTimer.StartOnce(m_request.deadline - m_delegate.m_clock.Now());
}

void
OwnerCall::StartHoldTimer(Duration aMaxHold)
{
  m_holdTimer.StartOnce(aMaxHold);
}

void
OwnerCall::OnDeadline()
{
  if (m_state == State::kEnded || m_headSeen) {
    return;
  }
  CallRefusal refusal;
  refusal.reason = RefusalReason::kDeadlineExpired;
  refusal.outcome =
    m_state == State::kRunning ? Outcome::kUnknown : Outcome::kNotRun;
  Refuse(refusal);
}

void
OwnerCall::StartBodyTimer()
{
  if (m_state == State::kRunning) {
    m_bodyTimer.StartOnce(m_bodyLimit.Left(m_delegate.m_clock.Now()));
  }
}

void
OwnerCall::OnBodyTimer()
{
  // Bytes that came meanwhile have moved the limit, but not the timer.
  if (m_bodyLimit.Left(m_delegate.m_clock.Now()) > Duration::zero()) {
    StartBodyTimer();
    return;
  }
  OnFailed(ClientFailure::kTimeout);
}

void
OwnerCall::OnHoldExpired()
{
  if (m_state == State::kHeld) {
    Refuse(m_holdRefusal, Duration::zero());
  }
}

void
OwnerCall::Start(HttpClientPool& aPool)
{
  m_state = State::kRunning;
  m_startedAt = m_delegate.m_clock.Now();
  const auto self = shared_from_this();
  m_exchange = aPool.Start(m_delegate.ServerHead(*this), self, [this] {
    return m_state == State::kRunning && m_delegate.MayStart(*this);
  });
  if (!m_bufferedBody.empty()) {
    const bool open = m_exchange->SendBody(m_bufferedBody);
    m_bufferedBody = std::string(); // An upload's is large.
    if (open && m_bodyBlocked) {
      m_bodyBlocked = false;
      m_listener->OnDrained();
    }
  }
  if (m_finished) {
    m_exchange->Finish();
  }
  if (m_paused) {
    m_exchange->PauseBody();
  }
}

void
OwnerCall::Refuse(RefusalReason aReason, Duration aRetryAfter)
{
  CallRefusal refusal;
  refusal.outcome = OutcomeOf(aReason);
  refusal.reason = aReason;
  refusal.retryAfter = aRetryAfter;
  Refuse(refusal);
}

/** After the first byte of the request only the backend server can say that it
 * has not run the request. */
bool
OwnerCall::IsWithdrawnAfterStart(const CallRefusal& aRefusal) const
{
  return aRefusal.outcome == Outcome::kNotRun &&
         aRefusal.reason != RefusalReason::kShed && m_exchange &&
         m_exchange->Written();
}

void
OwnerCall::Refuse(const CallRefusal& aRefusal)
{
  if (m_state == State::kEnded) {
    return;
  }
  const auto self = shared_from_this();
  const auto listener = std::move(m_listener);
  auto refusal = aRefusal;
  if (refusal.reason == RefusalReason::kNotOwner) {
    refusal.holder = m_delegate.HolderHint(*this);
  }
  if (IsWithdrawnAfterStart(refusal)) {
    m_delegate.m_metrics.CountWithdrawnAfterStart();
    m_delegate.OnWithdrawnAfterStart(*this, refusal.reason);
    refusal.outcome = Outcome::kUnknown;
  }
  m_delegate.m_metrics.CountAdmissionRefusal(refusal.reason);
  m_delegate.OnRefusing(*this, refusal);
  const bool ran = refusal.outcome != Outcome::kNotRun;
  const bool shed = refusal.reason == RefusalReason::kShed;
  const auto result =
    ran || !shed ? ServiceResult::kFailed : ServiceResult::kShed;
  if (m_inOutcomeTable && !ran) {
    m_delegate.m_outcomes.Withdraw(m_request.id);
    m_inOutcomeTable = false;
  }
  EndWith(result);
  if (listener) {
    listener->OnRefused(refusal);
  }
}

void
OwnerCall::ReplayResponse(const CachedResponse& aAnswer)
{
  const auto self = shared_from_this();
  const auto listener = std::move(m_listener);
  const auto answer = DecodeCachedResponse(aAnswer);
  EndWith(ServiceResult::kDone);
  listener->OnHead(answer.head, m_token.value_or(FenceToken()));
  if (!answer.body.empty()) {
    listener->OnBody(answer.body);
  }
  listener->OnEnd();
}

void
OwnerCall::EndWith(ServiceResult aResult)
{
  m_deadlineTimer.Stop();
  m_bodyTimer.Stop();
  m_holdTimer.Stop();
  const auto exchange = std::move(m_exchange);
  m_exchange = nullptr;
  const bool written = m_state == State::kRunning;
  if (exchange && !exchange->Ended()) {
    // Closes the connection, also after a refusal by the backend server: a
    // second copy of it would be taken for the answer to the next send of the
    // same request, which runs.
    exchange->Cancel();
  }
  if (m_inOutcomeTable) {
    // A request that was cancelled before it was sent did not run.
    if (aResult == ServiceResult::kCancelled && !written) {
      m_delegate.m_outcomes.Withdraw(m_request.id);
    } else {
      m_delegate.m_outcomes.Finish(m_request.id, MakeCachedResponse());
    }
    m_inOutcomeTable = false;
  }
  m_delegate.OnEnded(*this, aResult);
  m_state = State::kEnded;
}

void
OwnerCall::OnHead(const ResponseHead& aHead)
{
  if (m_state == State::kEnded) {
    return;
  }
  const auto kind = m_delegate.Classify(*this, aHead);
  if (kind == AnswerKind::kInvalid) {
    OnFailed(ClientFailure::kMalformedAnswer);
    return;
  }
  m_delegate.OnAnswerHead(*this, aHead);
  if (kind == AnswerKind::kNotRun) {
    m_delegate.m_metrics.CountServerFailure("shed");
    Refuse(RefusalReason::kShed, kRetryAfterShed);
    return;
  }
  m_headSeen = true;
  m_deadlineTimer.Stop();
  m_bodyLimit.Begin(m_delegate.m_clock.Now(), m_request.deadline);
  StartBodyTimer();
  m_answerHead = aHead;
  StripHopByHop(m_answerHead.headers);
  m_listener->OnHead(m_answerHead, m_token.value_or(FenceToken()));
}

void
OwnerCall::CacheAnswerBytes(std::string_view aData)
{
  if (m_answerTooLarge) {
    return;
  }
  if (m_answerBody.size() + aData.size() > kMaxCachedBodyBytes) {
    m_answerTooLarge = true;
    m_answerBody.clear();
    return;
  }
  m_answerBody.append(aData);
}

std::optional<CachedResponse>
OwnerCall::MakeCachedResponse() const
{
  if (!m_answerComplete || m_answerTooLarge) {
    return std::nullopt;
  }
  return EncodeCachedResponse(m_answerHead, m_answerBody);
}

void
OwnerCall::OnBody(std::string_view aData)
{
  if (m_state == State::kEnded) {
    return;
  }
  m_answerBytes += aData.size();
  m_bodyLimit.OnBytes(m_delegate.m_clock.Now(), aData.size());
  CacheAnswerBytes(aData);
  m_listener->OnBody(aData);
}

void
OwnerCall::OnEnd()
{
  if (m_state == State::kEnded) {
    return;
  }
  const auto self = shared_from_this();
  const auto listener = std::move(m_listener);
  m_answerComplete = true;
  EndWith(ServiceResult::kDone);
  listener->OnEnd();
}

void
OwnerCall::OnDrained()
{
  m_bodyBlocked = false;
  if (m_state != State::kEnded) {
    m_listener->OnDrained();
  }
}

void
OwnerCall::OnFailed(ClientFailure aFailure)
{
  if (m_state == State::kEnded) {
    return;
  }
  m_delegate.m_metrics.CountServerFailure(ToString(aFailure));
  m_delegate.OnServerFailed(*this, aFailure);
  if (m_headSeen) {
    const auto self = shared_from_this();
    const auto listener = std::move(m_listener);
    EndWith(ServiceResult::kFailed);
    listener->OnLost(CallLoss::kTruncated);
    return;
  }
  CallRefusal refusal;
  refusal.reason = ReasonOf(aFailure);
  refusal.outcome = MayHaveRun(aFailure) ? Outcome::kUnknown : Outcome::kNotRun;
  refusal.retryAfter = kRetryAfterShed;
  Refuse(refusal);
}

}
