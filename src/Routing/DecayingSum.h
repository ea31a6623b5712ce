#ifndef PISTACHIOSHIFT_ROUTING_DECAYINGSUM_H
#define PISTACHIOSHIFT_ROUTING_DECAYINGSUM_H

#include <cmath>

#include "src/Routing/Seconds.h"

namespace pistachioshift::internal {

/** Sum whose summands decay exponentially with their age. */
class DecayingSum
{
public:
  explicit DecayingSum(Duration aTimeConstant)
    : m_timeConstant(aTimeConstant)
  {
  }

  void Add(double aValue, MonoTime aNow)
  {
    m_sum = At(aNow) + aValue;
    m_at = aNow;
  }

  double At(MonoTime aNow) const
  {
    return m_sum * std::exp(-Seconds(aNow - m_at) / Seconds(m_timeConstant));
  }

private:
  Duration m_timeConstant;
  double m_sum = 0.0;
  MonoTime m_at;
};

}

#endif
