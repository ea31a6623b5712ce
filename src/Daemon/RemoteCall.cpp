#include <algorithm>
#include <utility>

#include "src/Daemon/Peer.h"

namespace pistachioshift {

RemoteCall::RemoteCall(std::weak_ptr<PeerLink> aLink,
                       std::shared_ptr<CallListener> aListener)
  : m_link(std::move(aLink))
  , m_listener(std::move(aListener))
{
}

void
RemoteCall::Open(const CallRequest& aRequest, MonoTime aNow)
{
  const auto link = m_link.lock();
  m_stream = link->Add(shared_from_this());
  m_request = aRequest.id;
  m_openedAt = aNow;
  RequestOpen open;
  open.stream = m_stream;
  open.request = aRequest.id;
  open.service = aRequest.service;
  open.key = aRequest.key;
  open.head = aRequest.head;
  open.remaining = aRequest.deadline - aNow;
  open.hasBody = aRequest.hasBody;
  open.idempotencyKey = aRequest.idempotencyKey;
  open.repeat = aRequest.repeat;
  open.known = aRequest.known;
  open.priority = aRequest.priority;
  open.goal = aRequest.goal;
  open.fingerprint = aRequest.fingerprint;
  open.nested = aRequest.nested;
  open.awaitsCredit = aRequest.awaitsCredit;
  m_finished = !aRequest.hasBody;
  m_awaitsCredit = aRequest.awaitsCredit;
  if (m_awaitsCredit) {
    m_send = SendWindow(0);
  }
  link->Send(open);
}

bool
RemoteCall::SendBody(std::string_view aData)
{
  const auto link = m_link.lock();
  if (!link || !m_listener || m_finished) {
    return true;
  }
  m_send.Consume(aData.size());
  while (!aData.empty()) {
    const auto piece = aData.substr(0, kBodyPieceBytes);
    link->Send(BodyChunk{ m_stream, std::string(piece), false });
    aData.remove_prefix(piece.size());
  }
  return m_send.IsOpen();
}

void
RemoteCall::Finish()
{
  const auto link = m_link.lock();
  if (link && m_listener && !m_finished) {
    m_finished = true;
    link->Send(BodyChunk{ m_stream, {}, true });
  }
}

void
RemoteCall::PauseBody()
{
  m_paused = true;
  m_receive.Pause();
}

void
RemoteCall::ResumeBody()
{
  if (!m_paused) {
    return;
  }
  m_paused = false;
  const auto self = shared_from_this();
  Flush();
  if (!m_paused) {
    Grant(m_receive.Resume());
  }
}

void
RemoteCall::Flush()
{
  if (!m_pausedBody.empty() && m_listener) {
    const auto body = std::move(m_pausedBody);
    m_pausedBody.clear();
    const auto listener = m_listener;
    listener->OnBody(body);
  }
  if (m_bodyComplete && !m_paused && m_listener) {
    End()->OnEnd();
  }
}

void
RemoteCall::Cancel()
{
  const auto link = m_link.lock();
  if (!m_listener) {
    return;
  }
  const auto self = shared_from_this();
  End();
  if (link) {
    link->Send(CancelStream{ m_stream });
  }
}

std::shared_ptr<CallListener>
RemoteCall::End()
{
  const auto link = m_link.lock();
  if (link) {
    link->Remove(m_stream);
  }
  return std::move(m_listener);
}

void
RemoteCall::Grant(int64_t aBytes)
{
  const auto link = m_link.lock();
  if (aBytes > 0 && link && m_listener) {
    link->Send(Credit{ m_stream, aBytes });
  }
}

void
RemoteCall::OnFrame(const ResponseOpen& aOpen)
{
  if (m_listener && !m_headSeen) {
    m_headSeen = true;
    const auto listener = m_listener;
    listener->OnHead(aOpen.head, aOpen.token);
  }
}

void
RemoteCall::OnFrame(const BodyChunk& aPiece)
{
  if (!m_listener || !m_headSeen) {
    return;
  }
  const auto listener = m_listener;
  if (m_paused) {
    m_pausedBody.append(aPiece.data);
  } else if (!aPiece.data.empty()) {
    listener->OnBody(aPiece.data);
  }
  if (!m_listener) {
    return;
  }
  if (aPiece.last) {
    m_bodyComplete = true;
    if (!m_paused) {
      End()->OnEnd();
    }
    return;
  }
  Grant(m_receive.OnReceived(aPiece.data.size()));
}

void
RemoteCall::OnFrame(const Credit& aCredit)
{
  const bool opened = m_send.AddCredit(aCredit.bytes);
  const auto listener = m_listener;
  if (!listener) {
    return;
  }
  if (std::exchange(m_awaitsCredit, false)) {
    listener->OnCredit(aCredit.bytes);
  } else if (opened) {
    listener->OnDrained();
  }
}

void
RemoteCall::OnFrame(const Refused& aRefused)
{
  if (!m_listener) {
    return;
  }
  CallRefusal refusal;
  refusal.outcome = aRefused.outcome;
  refusal.reason = aRefused.reason;
  refusal.retryAfter = aRefused.retryAfter;
  refusal.holder = aRefused.holder;
  const auto listener = End();
  if (m_headSeen) {
    listener->OnLost(CallLoss::kTruncated);
  } else {
    listener->OnRefused(refusal);
  }
}

void
RemoteCall::OnGoodbye()
{
  if (m_bodyComplete) {
    return;
  }
  const auto listener = std::move(m_listener);
  m_listener.reset();
  if (listener) {
    listener->OnLost(m_headSeen ? CallLoss::kTruncated : CallLoss::kNotSent);
  }
}

void
RemoteCall::OnLinkEnded(CloseReason aEnd)
{
  if (m_bodyComplete) {
    return;
  }
  const auto listener = std::move(m_listener);
  m_listener.reset();
  if (!listener) {
    return;
  }
  if (m_headSeen) {
    listener->OnLost(CallLoss::kTruncated);
  } else if (aEnd == CloseReason::kConnectFailed) {
    listener->OnLost(CallLoss::kNotSent);
  } else if (aEnd == CloseReason::kHeartbeatTimeout) {
    listener->OnLost(CallLoss::kSilent);
  } else {
    listener->OnLost(CallLoss::kClosed);
  }
}

}
