#include "src/Routing/RequestRateLimit.h"

#include <algorithm>

#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::FromSeconds;
using internal::Seconds;

namespace {

/** Least rate, in requests per second. */
constexpr double kMinPerSecond = 0.5;

/** Requests that may start at once, as the time in which the rate allows them;
 * at least one. */
constexpr Duration kBurstTime = std::chrono::seconds(1);

/** Tokens that count as a whole one, in spite of rounding. */
constexpr double kWholeToken = 1.0 - 1e-6;

double
BurstOf(double aPerSecond)
{
  return std::max(1.0, aPerSecond * Seconds(kBurstTime));
}

}

void
RequestRateLimit::Set(std::optional<double> aPerSecond, MonoTime aNow)
{
  if (!aPerSecond) {
    m_perSecond.reset();
    return;
  }
  const bool wasLimited = IsLimited();
  Refill(aNow);
  m_perSecond = std::max(*aPerSecond, kMinPerSecond);
  const auto burst = BurstOf(*m_perSecond);
  m_tokens = wasLimited ? std::min(m_tokens, burst) : burst;
}

double
RequestRateLimit::TokensAt(MonoTime aNow) const
{
  const auto elapsed = Seconds(std::max(aNow - m_refilledAt, Duration{}));
  return std::min(m_tokens + elapsed * *m_perSecond, BurstOf(*m_perSecond));
}

void
RequestRateLimit::Refill(MonoTime aNow)
{
  if (IsLimited()) {
    m_tokens = TokensAt(aNow);
  }
  m_refilledAt = aNow;
}

MonoTime
RequestRateLimit::NextStart(MonoTime aNow) const
{
  if (!IsLimited()) {
    return aNow;
  }
  const auto missing = kWholeToken - TokensAt(aNow);
  return missing <= 0.0 ? aNow : aNow + FromSeconds(missing / *m_perSecond);
}

void
RequestRateLimit::OnStart(MonoTime aNow)
{
  if (IsLimited()) {
    Refill(aNow);
    m_tokens -= 1.0;
  }
}

}
