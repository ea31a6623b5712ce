#ifndef PISTACHIOSHIFT_ROUTING_LINKBUDGET_H
#define PISTACHIOSHIFT_ROUTING_LINKBUDGET_H

#include <cstddef>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief How much of a link's rate bulk data may use: a token bucket. Pure.
 *
 * What is sent beyond the budget is owed, so that it delays what follows.
 */
class LinkBudget
{
public:
  /**
   * \param aBytesPerSecond rate for bulk data; 0 means no limit.
   * \param aBurst bytes that may be sent at once after a quiet time.
   */
  LinkBudget(double aBytesPerSecond, double aBurst, MonoTime aNow);

  bool IsLimited() const { return m_rate > 0.0; }

  /** \brief Whether bytes may be sent now. */
  bool CanSend(MonoTime aNow);

  /** \brief Accounts for bytes that were sent. */
  void Consume(size_t aBytes);

  /** \brief Time until bytes may be sent; zero if they may now. */
  Duration TimeUntilSend(MonoTime aNow);

private:
  void Refill(MonoTime aNow);

  double m_rate;
  double m_burst;
  double m_left;
  MonoTime m_at;
};

}

#endif
