#ifndef PISTACHIOSHIFT_ROUTING_LINKBUDGET_H
#define PISTACHIOSHIFT_ROUTING_LINKBUDGET_H

#include <cstddef>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Token bucket that limits the share of a link's rate for bulk data.
 *
 * Bytes sent beyond the budget make the bucket negative and delay the following
 * data. Does no input or output and reads no clock.
 */
class LinkBudget
{
public:
  /**
   * \param aBytesPerSecond rate for bulk data; 0 means no limit.
   * \param aBurst bucket size: bytes that may be sent at once after a pause.
   */
  LinkBudget(double aBytesPerSecond, double aBurst, MonoTime aNow);

  bool IsLimited() const { return m_rate > 0.0; }

  /** \brief Whether bytes may be sent now. */
  bool CanSend(MonoTime aNow);

  /** \brief Removes the tokens of sent bytes. */
  void Consume(size_t aBytes);

  /** \brief Time until bytes may be sent; zero if they may now. */
  Duration TimeUntilSend(MonoTime aNow);

private:
  void Refill(MonoTime aNow);

  double m_rate;
  double m_burst;
  double m_tokens;
  MonoTime m_refilledAt;
};

}

#endif
