#include "src/Routing/LinkBudget.h"

#include <algorithm>

namespace pistachioshift {

LinkBudget::LinkBudget(double aBytesPerSecond, double aBurst, MonoTime aNow)
  : m_rate(aBytesPerSecond)
  , m_burst(aBurst)
  , m_left(aBurst)
  , m_at(aNow)
{
}

void
LinkBudget::Refill(MonoTime aNow)
{
  const auto seconds = std::chrono::duration<double>(aNow - m_at).count();
  m_left = std::min(m_burst, m_left + seconds * m_rate);
  m_at = aNow;
}

bool
LinkBudget::CanSend(MonoTime aNow)
{
  Refill(aNow);
  return !IsLimited() || m_left > 0.0;
}

void
LinkBudget::Consume(size_t aBytes)
{
  m_left -= static_cast<double>(aBytes);
}

Duration
LinkBudget::TimeUntilSend(MonoTime aNow)
{
  if (CanSend(aNow)) {
    return Duration::zero();
  }
  const auto seconds = -m_left / m_rate;
  return std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>(seconds)) +
         std::chrono::milliseconds(1);
}

}
