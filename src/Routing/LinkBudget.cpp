#include "src/Routing/LinkBudget.h"

#include <algorithm>

namespace pistachioshift {

LinkBudget::LinkBudget(double aBytesPerSecond, double aBurst, MonoTime aNow)
  : m_rate(aBytesPerSecond)
  , m_burst(aBurst)
  , m_tokens(aBurst)
  , m_refilledAt(aNow)
{
}

void
LinkBudget::Refill(MonoTime aNow)
{
  const auto seconds =
    std::chrono::duration<double>(aNow - m_refilledAt).count();
  m_tokens = std::min(m_burst, m_tokens + seconds * m_rate);
  m_refilledAt = aNow;
}

bool
LinkBudget::CanSend(MonoTime aNow)
{
  Refill(aNow);
  return !IsLimited() || m_tokens > 0.0;
}

void
LinkBudget::Consume(size_t aBytes)
{
  m_tokens -= static_cast<double>(aBytes);
}

Duration
LinkBudget::TimeUntilSend(MonoTime aNow)
{
  if (CanSend(aNow)) {
    return Duration::zero();
  }
  const auto seconds = -m_tokens / m_rate;
  return std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>(seconds)) +
         std::chrono::milliseconds(1);
}

}
