#ifndef PISTACHIOSHIFT_RANGES_LEASE_H
#define PISTACHIOSHIFT_RANGES_LEASE_H

#include <algorithm>
#include <chrono>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Time for which a host may go on after it last saw the store's end
 * without an open suspicion against it.
 *
 * Covers a silent store of five seconds with a heartbeat to spare.
 */
inline constexpr Duration kLeaseTime = std::chrono::milliseconds(6000);

/**
 * \brief Time between reading a suspicion and acting on it: the lease, what
 * the steady clocks of two hosts may differ in it (1%), and 300 ms for an
 * order that is on its way.
 */
inline constexpr Duration kTakeoverWait = std::chrono::milliseconds(6400);

/**
 * \brief Right of a host to let its backend server hold keys. Pure.
 *
 * A host that is silent is suspected by a record in the store, and its ranges
 * go to others kTakeoverWait later unless it refutes the suspicion. It may
 * therefore act for kLeaseTime after it sent a read that showed all records and
 * none that suspects it.
 */
class Lease
{
public:
  /** \param aSentAt when the read was sent, on a clock that counts pauses. */
  void Renew(MonoTime aSentAt) { m_renewedAt = std::max(m_renewedAt, aSentAt); }

  /** \brief Time left; zero or less: nothing may be granted. */
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
