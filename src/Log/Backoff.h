#ifndef PISTACHIOSHIFT_LOG_BACKOFF_H
#define PISTACHIOSHIFT_LOG_BACKOFF_H

#include <algorithm>

#include "src/Base/Clock.h"
#include "src/Base/Random.h"

namespace pistachioshift {

/** \brief Exponential backoff with jitter, between a minimum and a maximum. */
class Backoff
{
public:
  Backoff(Duration aMin, Duration aMax)
    : m_min(aMin)
    , m_max(aMax)
    , m_next(aMin)
  {
  }

  /**
   * \brief Delay before the next attempt: random, between half and the whole of
   * the current step, which then doubles.
   */
  Duration Next(RandomEngine& aRandom)
  {
    const Duration step = m_next;
    m_next = std::min(m_max, 2 * m_next);
    std::uniform_int_distribution<int64_t> draw(step.count() / 2, step.count());
    return Duration(draw(aRandom));
  }

  /** \brief Returns to the minimum delay, after a successful attempt. */
  void Reset() { m_next = m_min; }

private:
  Duration m_min;
  Duration m_max;
  Duration m_next;
};

}

#endif
