#include "src/Routing/AdaptiveLimit.h"

#include <algorithm>

namespace pistachioshift {

namespace {

constexpr double kShedFactor = 0.7;
constexpr double kFailureFactor = 0.5;
constexpr double kMinLimit = 1.0;
constexpr double kPlateauWidth = 1.0;   // On each side of m_shedLimit.
constexpr double kPlateauRounds = 32.0; // Rounds per increment by one there.

}

AdaptiveLimit::AdaptiveLimit(uint32_t aSlots)
  : m_slots(std::max(static_cast<double>(aSlots), kMinLimit))
  , m_limit(m_slots)
  , m_slowStartEnd(m_slots)
  , m_shedLimit(m_slots + kPlateauWidth + kMinLimit)
{
}

void
AdaptiveLimit::OnDone()
{
  m_limit = std::min(m_limit + Increment(), m_slots);
  if (m_limit >= m_shedLimit + kPlateauWidth) {
    m_shedLimit = m_slots + kPlateauWidth + kMinLimit;
  }
}

double
AdaptiveLimit::Increment() const
{
  if (m_limit < m_slowStartEnd) {
    return 1.0;
  }
  const bool plateau = m_limit >= m_shedLimit - kPlateauWidth;
  return 1.0 / (m_limit * (plateau ? kPlateauRounds : 1.0));
}

void
AdaptiveLimit::OnShed(MonoTime aStarted, MonoTime aNow)
{
  Decrease(kShedFactor, aStarted, aNow);
}

void
AdaptiveLimit::OnFailed(MonoTime aStarted, MonoTime aNow)
{
  Decrease(kFailureFactor, aStarted, aNow);
}

void
AdaptiveLimit::OnRestart(MonoTime aNow)
{
  m_limit = kMinLimit;
  m_slowStartEnd = m_slots;
  m_lastDecrease = aNow;
}

void
AdaptiveLimit::Decrease(double aFactor, MonoTime aStarted, MonoTime aNow)
{
  // Requests started before the last decrease ran under the previous limit.
  if (aStarted < m_lastDecrease) {
    return;
  }
  m_shedLimit = m_limit;
  m_limit = std::max(m_limit * aFactor, kMinLimit);
  m_slowStartEnd = m_limit;
  m_lastDecrease = aNow;
}

}
