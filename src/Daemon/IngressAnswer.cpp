#include <utility>

#include "src/Daemon/IngressSession.h"
#include "src/Inner/InnerError.h"

namespace pistachioshift {

namespace {

constexpr int kFirstServerErrorStatus = 500;

/** Bytes of one response that may wait for the host's link before the backend
 * server is paused. Most downloads are smaller, so their backend server is
 * free at once, however busy the link. */
constexpr size_t kMaxQueuedBytes = size_t{ 256 } * 1024;

constexpr std::string_view kTruncated = "truncated";

}

void
IngressSession::OnHead(const ResponseHead& aHead, const FenceToken& aToken)
{
  if (m_resuming) {
    if (!m_resume.IsRemainder(aHead)) {
      OnTruncated();
    }
    return;
  }
  m_resume.OnHead(m_head, aHead);
  auto head = aHead;
  m_context.dialect.CompleteAnswer(head, *m_destination, aToken);
  m_pendingHead = std::move(head);
}

void
IngressSession::SendPendingHead()
{
  if (!m_pendingHead) {
    return;
  }
  m_answerBegun = true;
  m_deadlineTimer.Stop();
  m_answerLength = m_pendingHead->contentLength;
  m_status = m_pendingHead->status;
  const bool failed = m_status >= kFirstServerErrorStatus;
  ReportToBalancer(failed ? InstanceResult::kFailed : InstanceResult::kDone);
  m_exchange->SendHead(*std::move(m_pendingHead));
  m_pendingHead.reset();
  m_sender = std::make_shared<BulkSender>(m_context.bulk, weak_from_this());
  if (!m_heldBody.empty()) {
    SendAnswerBody(std::exchange(m_heldBody, {}));
  }
}

void
IngressSession::OnAnswerBody(std::string_view aData)
{
  if (!m_resume.Expects(aData.size())) {
    // More than the head of the first attempt has promised.
    CloseAttempt();
    OnTruncated();
    return;
  }
  // A short answer is sent when it is whole: until then another attempt can
  // take the place of one that ends in the middle.
  if (m_pendingHead &&
      m_pendingHead->contentLength.value_or(SIZE_MAX) <= kDirectBytes) {
    m_heldBody.append(aData);
    if (m_heldBody.size() >= *m_pendingHead->contentLength) {
      SendPendingHead();
    }
    return;
  }
  SendPendingHead();
  SendAnswerBody(aData);
}

void
IngressSession::SendAnswerBody(std::string_view aData)
{
  m_resume.OnBytes(aData.size());
  m_sender->Send(aData);
  UpdateFlow();
}

void
IngressSession::OnAnswerEnd()
{
  const auto self = shared_from_this();
  SendPendingHead();
  CloseAttempt();
  m_sender->Finish();
}

void
IngressSession::SendNow(std::string_view aData)
{
  if (!m_ended) {
    m_answerBytes += aData.size();
    m_callerWritable = m_exchange->SendBody(aData);
    UpdateFlow();
  }
}

void
IngressSession::FinishNow()
{
  const auto self = shared_from_this();
  if (!m_ended) {
    m_exchange->Finish();
    Done(Outcome::kDone);
  }
}

void
IngressSession::UpdateFlow()
{
  const bool room = !m_sender || m_sender->PendingBytes() <= kMaxQueuedBytes;
  const bool open = m_callerWritable && room;
  if (!m_call || open == m_answerFlowing) {
    return;
  }
  m_answerFlowing = open;
  if (open) {
    m_call->ResumeBody();
  } else {
    m_call->PauseBody();
  }
}

void
IngressSession::OnTruncated()
{
  if (m_answerBegun) {
    if (m_answerLength == m_resume.Sent()) {
      m_sender->Finish(); // Only the end is missing.
    } else {
      TryResume();
    }
    return;
  }
  // Nothing has been sent to the caller yet, so the request can be retried.
  m_pendingHead.reset();
  m_heldBody.clear();
  ++m_possibleRuns;
  m_retryAfter = Duration{};
  auto report = MakeReport();
  report.end = AttemptEnd::kConnectionLost;
  report.answerSeen = true;
  Decide(report);
}

void
IngressSession::TryResume()
{
  CloseAttempt();
  auto& budget = m_context.router.BudgetOf(m_resolved.policy);
  const bool allowed = m_resolved.requestClass.idempotent &&
                       m_resume.CanResume() &&
                       m_history.attempts < kMaxRequestAttempts &&
                       m_possibleRuns + 1 < m_resolved.retry.maxRuns;
  if (!allowed || !budget.TrySpend()) {
    m_cut = kTruncated;
    m_exchange->Abort();
    Done(Outcome::kUnknown);
    return;
  }
  m_resuming = true;
  ++m_possibleRuns;
  // The deadline applies to the head of the response, which has been sent; the
  // next attempt gets a new one.
  m_deadline = m_context.clock.Now() + m_resolved.requestClass.deadline;
  m_context.metrics.CountRetry(RetryReason::kConnectionLost);
  m_timer.StartOnce(kRedirectDelay);
}

std::optional<DecodedResponse>
IngressSession::TryDecode(const CachedResponse& aAnswer) const
{
  try {
    return DecodeCachedResponse(aAnswer);
  } catch (const InnerError& error) {
    m_context.dialect.OnError(error.what(), &m_head);
    return std::nullopt;
  }
}

void
IngressSession::SendStoredAnswer(const DecodedResponse& aAnswer)
{
  OnHead(aAnswer.head, FenceToken());
  if (!aAnswer.body.empty()) {
    OnAnswerBody(aAnswer.body);
  }
  OnAnswerEnd();
}

}
