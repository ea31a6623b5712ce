#include "src/Routing/NestedDemand.h"

#include <algorithm>
#include <cmath>

#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::Seconds;

namespace {

/** Time constant of the moving average. Shorter than the waves of load, and
 * long enough for some ten calls at one server. */
constexpr Duration kAveragingTime = std::chrono::seconds(2);

/** Without a nested call for this time, no slot is kept. */
constexpr Duration kForgetTime = std::chrono::seconds(4);

/** Outer requests keep at least two thirds of the slots. */
constexpr uint32_t kMaxShareDivisor = 3;

}

void
NestedDemand::OnArrival(MonoTime aNow)
{
  m_count = PerSecond(aNow) * Seconds(kAveragingTime) + 1.0;
  m_lastArrival = aNow;
}

double
NestedDemand::PerSecond(MonoTime aNow) const
{
  if (!m_lastArrival || aNow - *m_lastArrival >= kForgetTime) {
    return 0.0;
  }
  const auto constant = Seconds(kAveragingTime);
  return m_count * std::exp(-Seconds(aNow - *m_lastArrival) / constant) /
         constant;
}

uint32_t
NestedDemand::Slots(Duration aService, uint32_t aLimit, MonoTime aNow) const
{
  const auto needed = std::ceil(PerSecond(aNow) * Seconds(aService));
  const uint32_t bound = aLimit / kMaxShareDivisor;
  return static_cast<uint32_t>(std::min<double>(needed, bound));
}

}
