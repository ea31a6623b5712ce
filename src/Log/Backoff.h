#ifndef PISTACHIOSHIFT_LOG_BACKOFF_H
#define PISTACHIOSHIFT_LOG_BACKOFF_H

#include <algorithm>

#include "src/Base/Clock.h"
#include "src/Base/Random.h"

namespace pistachioshift {

/** \brief Delays that double from a minimum to a maximum, with jitter. */
class Backoff
{
public:
  Backoff(Duration aMin, Duration aMax)
    : m_min(aMin)
    , m_max(aMax)
    , m_next(aMin)
  {
  }

  /** \brief Delay before the next attempt: half to the whole of the step. */
  Duration Next(RandomEngine& aRandom)
  {
    const Duration step = m_next;
    m_next = std::min(m_max, 2 * m_next);
    std::uniform_int_distribution<int64_t> draw(step.count() / 2, step.count());
    return Duration(draw(aRandom));
  }

  /** \brief An attempt succeeded. */
  void Reset() { m_next = m_min; }

private:
  Duration m_min;
  Duration m_max;
  Duration m_next;
};

}

#endif
