// IngressSession: uploads, whose bodies are read from the caller only once the
// daemon of the backend server has granted credit.

#include "src/Daemon/IngressSession.h"

namespace pistachioshift {

/** A body of unknown length takes part once all of it has been read. */
bool
IngressSession::AwaitsCredit() const
{
  if (!m_resolved.upload || !m_head.HasBody()) {
    return false;
  }
  if (m_head.contentLength) {
    return *m_head.contentLength <= kMaxUploadBytes;
  }
  return m_bodyEnded && !m_body.empty();
}

void
IngressSession::ReadOnCredit()
{
  m_awaitsCredit = true;
  m_streaming = true;
  BeginAttempt();
}

void
IngressSession::OnAttemptCredit()
{
  if (m_ended || !m_call || m_hasCredit) {
    return;
  }
  m_hasCredit = true;
  // From now on the body is on its way, so no other instance is asked.
  m_replayable = false;
  m_context.router.OnUploadGranted(m_resolved.policy,
                                   *m_destination,
                                   m_context.clock.Now() - m_attemptStarted);
  SendBuffered();
}

/** A request that awaited credit runs only once its body is complete. */
bool
IngressSession::MayHaveRun() const
{
  return !m_awaitsCredit || m_bodySent;
}

void
IngressSession::ReportRefusal(const CallRefusal& aRefusal)
{
  const bool noRoom = aRefusal.reason == RefusalReason::kOverloaded ||
                      aRefusal.reason == RefusalReason::kCannotFinish;
  if (!m_awaitsCredit || m_bodySent || !noRoom || !m_destination) {
    ReportToBalancer(InstanceResult::kShed);
    return;
  }
  // Says nothing about requests that are not uploads.
  ReportToBalancer(InstanceResult::kCancelled);
  m_context.router.OnUploadRefused(
    m_resolved.policy, *m_destination, aRefusal.retryAfter);
}

}
