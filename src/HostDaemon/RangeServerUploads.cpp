// RangeServerTask: uploads, whose bodies are received before their requests
// queue for a slot.

#include <algorithm>
#include <utility>

#include "src/Daemon/Fingerprint.h"
#include "src/Daemon/FlowWindow.h"
#include "src/HostDaemon/RangeServerTask.h"

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Time without a refusal after which the log states that uploads are admitted
 * again; above the pauses between refusals during an overload. */
constexpr Duration kRefusalPause = milliseconds(2000);

}

void
RangeServerTask::SetUploadRate(double aBytesPerSecond)
{
  UploadSettings settings;
  settings.bytesPerSecond = aBytesPerSecond;
  m_uploads = UploadAdmission(settings, m_clock.Now());
}

bool
RangeServerTask::AwaitsBody(const OwnerCall& aCall)
{
  const auto& request = aCall.Request();
  const auto length = request.head.contentLength.value_or(0);
  return request.awaitsCredit && request.hasBody && !aCall.m_finished &&
         length > 0 && length <= kMaxUploadBytes;
}

/** A sender of another version may wait for credit for a body that isn't
 * received in advance. */
void
RangeServerTask::GrantUnplanned(const OwnerCall& aCall)
{
  if (aCall.Request().awaitsCredit && !aCall.m_finished) {
    aCall.m_listener->OnCredit(kStreamWindow);
  }
}

ServerBacklog
RangeServerTask::BacklogOf(const OwnerCall& aCall) const
{
  ServerBacklog backlog;
  backlog.running = m_gate->RunningCount();
  backlog.queued = m_gate->QueuedCount();
  backlog.slots = m_gate->Limit();
  backlog.rate = m_gate->Rate();
  backlog.service = m_gate->ExpectedService(aCall.m_class);
  return backlog;
}

void
RangeServerTask::AdmitUpload(const CallPtr& aCall)
{
  const auto& request = aCall->Request();
  const auto now = m_clock.Now();
  UploadRequest upload;
  upload.id = request.id;
  upload.bytes = request.head.contentLength.value_or(0);
  upload.deadline = request.deadline;
  upload.due =
    request.goal > Duration{} ? now + request.goal : request.deadline;
  aCall->m_state = OwnerCall::State::kUploading;
  const auto refusal = m_uploads.Submit(upload, BacklogOf(*aCall), now);
  LogUploadRefusals(refusal.has_value());
  if (refusal) {
    m_metrics.CountUpload("refused");
    aCall->Refuse(refusal->reason, refusal->retryAfter);
    return;
  }
  m_metrics.CountUpload("admitted");
  aCall->StartDeadlineTimer();
  AdvanceUploads();
}

void
RangeServerTask::AdvanceUploads()
{
  const auto actions = m_uploads.Advance(m_clock.Now());
  const auto find = [this](const RequestId& aId) -> CallPtr {
    const auto found = m_calls.find(aId);
    return found == m_calls.end() ? nullptr : found->second;
  };
  for (const auto& id : actions.stalled) {
    m_metrics.CountUpload("stalled");
    if (const auto call = find(id)) {
      m_logger.Info("upload-stalled",
                    "id={} bytes={} received={}",
                    m_dialect.RequestLabel(call->Request().head),
                    call->Request().head.contentLength.value_or(0),
                    call->m_bufferedBody.size());
    }
  }
  for (const auto& refusal : actions.refusals) {
    m_metrics.CountUpload("expired");
    if (const auto call = find(refusal.id)) {
      call->Refuse(refusal.reason, refusal.retryAfter);
    }
  }
  for (const auto& id : actions.grants) {
    const auto call = find(id);
    if (call && call->m_state == OwnerCall::State::kUploading) {
      m_metrics.CountUpload("granted");
      // With one byte more than the body the sender's window stays open, and
      // the end of the body is sent too.
      const auto bytes = call->Request().head.contentLength.value_or(0) + 1;
      call->m_listener->OnCredit(static_cast<int64_t>(bytes));
    }
  }
  ArmUploadTimer();
}

void
RangeServerTask::ArmUploadTimer()
{
  const auto now = m_clock.Now();
  const auto wakeup = m_uploads.NextWakeup(now);
  if (!wakeup) {
    m_uploadTimer.Stop();
    return;
  }
  m_uploadTimer.StartOnce(std::max(*wakeup - now, Duration(milliseconds(1))));
}

void
RangeServerTask::OnRequestBytes(size_t aBytes)
{
  m_uploads.OnOtherBytes(aBytes, m_clock.Now());
}

void
RangeServerTask::OnUploadBytes(OwnerCall& aCall, size_t aBytes)
{
  m_uploads.OnBytes(aCall.Request().id, aBytes, m_clock.Now());
}

void
RangeServerTask::OnUploadReceived(OwnerCall& aCall)
{
  const auto found = m_calls.find(aCall.Request().id);
  if (found == m_calls.end() || found->second.get() != &aCall) {
    return;
  }
  m_metrics.CountUpload("received");
  m_uploads.OnReceived(aCall.Request().id, m_clock.Now());
  // The sender had none of the body when it stated the fingerprint.
  aCall.m_request.fingerprint = FingerprintOf(
    aCall.Request().head, aCall.Request().key, aCall.m_bufferedBody);
  // Keys and the state of the backend server may have changed meanwhile.
  aCall.m_state = OwnerCall::State::kNew;
  m_newCalls.push_back(found->second);
  m_acceptTimer.StartOnce(Duration::zero());
  ArmUploadTimer();
}

void
RangeServerTask::RefuseUploads(RefusalReason aReason)
{
  std::vector<CallPtr> uploads;
  for (const auto& [id, call] : m_calls) {
    if (call->m_state == OwnerCall::State::kUploading) {
      uploads.push_back(call);
    }
  }
  for (const auto& call : uploads) {
    call->Refuse(aReason, Duration::zero());
  }
}

void
RangeServerTask::LogUploadRefusals(bool aRefused)
{
  const auto now = m_clock.Now();
  const bool wasRefusing = m_uploadRefusedAt.has_value();
  if (aRefused) {
    m_uploadRefusedAt = now;
  } else if (wasRefusing && now - *m_uploadRefusedAt >= kRefusalPause) {
    m_uploadRefusedAt.reset();
  }
  if (wasRefusing != m_uploadRefusedAt.has_value()) {
    m_logger.Info(aRefused ? "uploads-refused" : "uploads-admitted",
                  "waiting={} transfers={} held_bytes={} running={} queued={}",
                  m_uploads.Waiting(),
                  m_uploads.Transfers(),
                  m_uploads.HeldBytes(),
                  Running(),
                  Queued());
  }
}

Duration
RangeServerTask::LinkWait(const OwnerCall& aCall) const
{
  const auto backlog = m_backlog ? m_backlog() : Duration::zero();
  return m_link.ExpectedWait(backlog, m_gate->ExpectedService(aCall.m_class));
}

}
