#ifndef PISTACHIOSHIFT_DAEMON_BULKQUEUE_H
#define PISTACHIOSHIFT_DAEMON_BULKQUEUE_H

#include <deque>
#include <memory>

#include "src/Daemon/Timer.h"
#include "src/Routing/LinkBudget.h"

namespace pistachioshift {

/** \brief Bytes of each answer sent without queueing, so that small answers
 * never wait. */
inline constexpr size_t kDirectBytes = size_t{ 8 } * 1024;

/** \brief A source of bulk data for BulkQueue. */
class BulkSource
{
public:
  virtual ~BulkSource() = default;

  /**
   * \brief Sends a piece of at most `aMaxBytes` bytes.
   * \return bytes sent; 0 if no bytes are pending, which removes the source
   * from the queue.
   */
  virtual size_t SendPiece(size_t aMaxBytes) = 0;

  /** \brief Bytes that wait to be sent. */
  virtual size_t PendingBytes() const = 0;
};

/**
 * \brief Sends large answers at the rate of the host's link, one after another;
 * those without an end in sight take turns with the others.
 *
 * Without this queue the data would queue up in the link and delay every
 * heartbeat, cancellation and small answer sent after it.
 */
class BulkQueue
{
public:
  BulkQueue(event_base* aBase, const Clock& aClock, double aBytesPerSecond);

  /** \brief Whether the rate is limited; if not, nothing needs queueing. */
  bool IsLimited() const { return m_budget.IsLimited(); }

  /** \brief Accounts for bytes sent on the link without queueing. */
  void Consume(size_t aBytes) { m_budget.Consume(aBytes); }

  /** \brief Appends a source that isn't in the queue yet. */
  void Add(std::weak_ptr<BulkSource> aSource);

  /** \brief Sends the pending bytes at once, and later ones without queueing;
   * called shortly before the process exits. */
  void StopLimiting();

  size_t Size() const { return m_sources.size(); }

  /** \brief Time needed to send all pending bytes at the rate of the link. */
  Duration Backlog() const;

private:
  void SendPending();

  const Clock& m_clock;
  double m_rate; ///< Bytes per second.
  LinkBudget m_budget;
  std::deque<std::weak_ptr<BulkSource>> m_sources;
  size_t m_turnBytes = 0; ///< Sent of the first source in this turn.
  Timer m_timer;
};

}

#endif
