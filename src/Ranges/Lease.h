#ifndef PISTACHIOSHIFT_RANGES_LEASE_H
#define PISTACHIOSHIFT_RANGES_LEASE_H

#include <algorithm>
#include <chrono>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Time for which a host may grant ranges after it sent a read that
 * reached the store's end and showed no open suspicion against the host.
 *
 * Covers a store outage of five seconds plus one heartbeat interval.
 */
inline constexpr Duration kLeaseTime = std::chrono::milliseconds(6000);

/**
 * \brief Time between reading a suspicion and taking over the host's ranges.
 *
 * Sum of the lease, the drift between two hosts' steady clocks in that time
 * (1%), and 300 ms for messages in flight.
 */
inline constexpr Duration kTakeoverWait = std::chrono::milliseconds(6400);

/**
 * \brief Lease under which a host may grant ranges to its backend server.
 * Performs no I/O.
 *
 * The coordinator records a suspicion against a silent host in the store.
 * Unless the host refutes it, its ranges are reassigned kTakeoverWait later. A
 * read that reaches the store's end and shows no suspicion against the host
 * therefore renews the lease for kLeaseTime from when the read was sent.
 */
class Lease
{
public:
  /**
   * \param aSentAt when the read was sent, on a clock that also advances while
   * the host is suspended.
   */
  void Renew(MonoTime aSentAt) { m_renewedAt = std::max(m_renewedAt, aSentAt); }

  /** \brief Time until the lease expires; zero or negative once it has. */
  Duration Remaining(MonoTime aNow) const
  {
    return m_renewedAt + kLeaseTime - aNow;
  }

  MonoTime RenewedAt() const { return m_renewedAt; }

private:
  MonoTime m_renewedAt{ -std::chrono::hours(1) };
};

}

#endif
