#include "src/Routing/AdaptiveLimit.h"

#include <algorithm>

namespace pistachioshift {

namespace {

constexpr double kShedFactor = 0.7;
constexpr double kFailFactor = 0.5;
constexpr double kLeast = 1.0;
constexpr double kPlateau = 1.0;        // Around the limit that was shed last.
constexpr double kPlateauRounds = 32.0; // To raise the limit by one there.

}

AdaptiveLimit::AdaptiveLimit(uint32_t aSlots)
  : m_slots(std::max(static_cast<double>(aSlots), kLeast))
  , m_limit(m_slots)
  , m_slowStartEnd(m_slots)
  , m_shedAt(m_slots + kPlateau + kLeast)
{
}

void
AdaptiveLimit::OnDone()
{
  m_limit = std::min(m_limit + Step(), m_slots);
  if (m_limit >= m_shedAt + kPlateau) {
    m_shedAt = m_slots + kPlateau + kLeast;
  }
}

double
AdaptiveLimit::Step() const
{
  if (m_limit < m_slowStartEnd) {
    return 1.0;
  }
  const bool plateau = m_limit >= m_shedAt - kPlateau;
  return 1.0 / (m_limit * (plateau ? kPlateauRounds : 1.0));
}

void
AdaptiveLimit::OnShed(MonoTime aStarted, MonoTime aNow)
{
  Cut(kShedFactor, aStarted, aNow);
}

void
AdaptiveLimit::OnFailed(MonoTime aStarted, MonoTime aNow)
{
  Cut(kFailFactor, aStarted, aNow);
}

void
AdaptiveLimit::OnRestart(MonoTime aNow)
{
  m_limit = kLeast;
  m_slowStartEnd = m_slots;
  m_lastCut = aNow;
}

void
AdaptiveLimit::Cut(double aFactor, MonoTime aStarted, MonoTime aNow)
{
  // What started before the last cut tells nothing about the new limit.
  if (aStarted < m_lastCut) {
    return;
  }
  m_shedAt = m_limit;
  m_limit = std::max(m_limit * aFactor, kLeast);
  m_slowStartEnd = m_limit;
  m_lastCut = aNow;
}

}
