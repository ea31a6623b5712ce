#include "src/Daemon/BulkSender.h"

namespace pistachioshift {

bool
BulkSender::MustQueue(size_t aBytes)
{
  if (!m_queue.IsLimited()) {
    return m_queued; // Bytes that were queued before go first.
  }
  m_acceptedBytes += aBytes;
  return m_queued || m_acceptedBytes > kDirectBytes;
}

void
BulkSender::Send(std::string_view aData)
{
  if (!MustQueue(aData.size())) {
    m_queue.Consume(aData.size());
    if (const auto sink = m_sink.lock()) {
      sink->SendNow(aData);
    }
    return;
  }
  m_buffer.append(aData);
  if (!m_queued) {
    m_queued = true;
    m_queue.Add(weak_from_this());
  }
}

size_t
BulkSender::SendPiece(size_t aMaxBytes)
{
  const auto self = shared_from_this();
  const auto sink = m_sink.lock();
  const auto piece = m_buffer.substr(m_sent, aMaxBytes);
  m_sent += piece.size();
  // While more is added all the time, nothing pending may never come.
  if (m_sent >= PendingBytes()) {
    m_buffer.erase(0, m_sent);
    m_sent = 0;
  }
  if (piece.empty()) {
    m_queued = false;
    return 0;
  }
  if (sink) {
    sink->SendNow(piece);
  }
  FinishIfDone();
  return piece.size();
}

void
BulkSender::Finish()
{
  m_complete = true;
  FinishIfDone();
}

void
BulkSender::Flush()
{
  const auto self = shared_from_this();
  while (PendingBytes() > 0 && SendPiece(PendingBytes()) > 0) {
  }
}

void
BulkSender::FinishIfDone()
{
  if (!m_complete || PendingBytes() > 0) {
    return;
  }
  m_complete = false;
  if (const auto sink = m_sink.lock()) {
    sink->FinishNow();
  }
}

}
