#include "src/Daemon/BulkSender.h"

namespace pistachioshift {

bool
BulkSender::MustWait(size_t aBytes)
{
  if (!m_queue.Limited()) {
    return false;
  }
  m_direct += aBytes;
  return m_queued || m_direct > kDirectBytes;
}

void
BulkSender::Send(std::string_view aData)
{
  if (!MustWait(aData.size())) {
    m_queue.Spend(aData.size());
    if (const auto sink = m_sink.lock()) {
      sink->SendNow(aData);
    }
    return;
  }
  m_bulk.append(aData);
  if (!m_queued) {
    m_queued = true;
    m_queue.Add(weak_from_this());
  }
}

size_t
BulkSender::SendPiece(size_t aMost)
{
  const auto self = shared_from_this();
  const auto sink = m_sink.lock();
  const auto piece = m_bulk.substr(m_sent, aMost);
  m_sent += piece.size();
  if (Waiting() == 0) {
    m_bulk.clear();
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
  while (Waiting() > 0 && SendPiece(Waiting()) > 0) {
  }
}

void
BulkSender::FinishIfDone()
{
  if (!m_complete || Waiting() > 0) {
    return;
  }
  m_complete = false;
  if (const auto sink = m_sink.lock()) {
    sink->FinishNow();
  }
}

}
