#ifndef PISTACHIOSHIFT_ROUTING_NESTEDDEMAND_H
#define PISTACHIOSHIFT_ROUTING_NESTEDDEMAND_H

#include <optional>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Slots of a backend server that nested calls have needed lately.
 *
 * The caller of a nested call holds a slot of its own while it waits. If outer
 * requests take all slots, the waiting callers fail and their slots' work is
 * wasted. Does no I/O and reads no clock.
 */
class NestedDemand
{
public:
  /** \brief Counts a nested call that arrives, whether admitted or not. */
  void OnArrival(MonoTime aNow);

  /**
   * \brief Slots to be kept for nested calls, those that they use included.
   * \param aService expected service time of nested calls.
   * \param aLimit slots in use; at most a third of them is kept.
   * \return 0 if no nested call has arrived for some seconds.
   */
  uint32_t Slots(Duration aService, uint32_t aLimit, MonoTime aNow) const;

  /** \brief Nested calls per second, as a moving average. */
  double PerSecond(MonoTime aNow) const;

private:
  std::optional<MonoTime> m_lastArrival;
  double m_count = 0.0; ///< Decayed count of arrivals at m_lastArrival.
};

}

#endif
