#include "src/Daemon/BulkQueue.h"

#include <utility>

namespace pistachioshift {

namespace {

/** Bytes sent per piece: 4 ms on a link of 17 Mbit/s. */
constexpr size_t kPieceBytes = size_t{ 8 } * 1024;

/** Bytes of one source that are sent before it is the next one's turn. Most
 * answers are smaller and are sent in one go. */
constexpr size_t kTurnBytes = size_t{ 1024 } * 1024;

/** Bytes that may be sent in one burst after an idle period. */
constexpr double kBurstBytes = 64.0 * 1024.0;

}

BulkQueue::BulkQueue(event_base* aBase,
                     const Clock& aClock,
                     double aBytesPerSecond)
  : m_clock(aClock)
  , m_rate(aBytesPerSecond)
  , m_budget(aBytesPerSecond, kBurstBytes, aClock.Now())
  , m_timer(aBase, [this] { SendPending(); })
{
}

void
BulkQueue::Add(std::weak_ptr<BulkSource> aSource)
{
  m_sources.push_back(std::move(aSource));
  if (!m_timer.Running()) {
    SendPending();
  }
}

Duration
BulkQueue::Backlog() const
{
  size_t bytes = 0;
  for (const auto& item : m_sources) {
    const auto source = item.lock();
    bytes += source ? source->PendingBytes() : 0;
  }
  if (bytes == 0) {
    return Duration::zero();
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(static_cast<double>(bytes) / m_rate));
}

void
BulkQueue::StopLimiting()
{
  m_budget = LinkBudget(0.0, kBurstBytes, m_clock.Now());
  SendPending();
}

void
BulkQueue::SendPending()
{
  while (!m_sources.empty() && m_budget.CanSend(m_clock.Now())) {
    const auto source = m_sources.front().lock();
    const auto sent = source ? source->SendPiece(kPieceBytes) : 0;
    m_budget.Consume(sent);
    m_turnBytes += sent;
    if (sent == 0) {
      m_sources.pop_front();
      m_turnBytes = 0;
    } else if (m_turnBytes >= kTurnBytes) {
      m_sources.push_back(std::move(m_sources.front()));
      m_sources.pop_front();
      m_turnBytes = 0;
    }
  }
  if (!m_sources.empty()) {
    m_timer.StartOnce(m_budget.TimeUntilSend(m_clock.Now()));
  }
}

}
