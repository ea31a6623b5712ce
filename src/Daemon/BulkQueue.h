#ifndef PISTACHIOSHIFT_DAEMON_BULKQUEUE_H
#define PISTACHIOSHIFT_DAEMON_BULKQUEUE_H

#include <deque>
#include <memory>

#include "src/Daemon/Timer.h"
#include "src/Routing/LinkBudget.h"

namespace pistachioshift {

/** \brief As much of each answer goes out at once: small ones never wait. */
inline constexpr size_t kDirectBytes = size_t{ 8 } * 1024;

/** \brief Has bulk data to send. */
class BulkSource
{
public:
  virtual ~BulkSource() = default;

  /**
   * \brief Sends a piece of at most `aMaxBytes` bytes.
   * \return bytes that were sent; 0: nothing is left.
   */
  virtual size_t SendPiece(size_t aMaxBytes) = 0;

  /** \brief Bytes that wait. */
  virtual size_t PendingBytes() const = 0;
};

/**
 * \brief Sends large answers at the rate of the host's link, one after another.
 *
 * What waits here would otherwise wait in the link, and every heartbeat,
 * cancellation and small answer behind it.
 */
class BulkQueue
{
public:
  BulkQueue(event_base* aBase, const Clock& aClock, double aBytesPerSecond);

  /** \brief Whether there is a rate to keep. */
  bool IsLimited() const { return m_budget.IsLimited(); }

  /** \brief Accounts for bytes that go out beside the queue. */
  void Consume(size_t aBytes) { m_budget.Consume(aBytes); }

  /** \brief Adds a source that isn't queued yet. */
  void Add(std::weak_ptr<BulkSource> aSource);

  size_t Size() const { return m_sources.size(); }

  /** \brief Time until all that waits has been sent. */
  Duration Backlog() const;

private:
  void SendPending();

  const Clock& m_clock;
  double m_rate; ///< Bytes a second.
  LinkBudget m_budget;
  std::deque<std::weak_ptr<BulkSource>> m_sources;
  Timer m_timer;
};

}

#endif
