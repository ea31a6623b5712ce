#include "src/Routing/StartWindowLimit.h"

#include <algorithm>

#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::FromSeconds;
using internal::Seconds;

namespace {

/** Least rate, in requests per second: only an answer shows that the server
 * has recovered. */
constexpr double kMinPerSecond = 0.5;

/** Requests that may start at once. The bound that is guarded allows 8 beyond
 * 1.5 times the rate; the rest is left for delays on the way to the server. */
constexpr double kBurst = 3.0;

/** Starts are counted for a second, and for the time by which a request may
 * reach the server later than another one that was started with it. */
constexpr Duration kWindow = std::chrono::milliseconds(1100);

Duration
IntervalOf(double aPerSecond)
{
  return FromSeconds(1.0 / aPerSecond);
}

size_t
MaxStarts(double aPerSecond)
{
  return static_cast<size_t>(aPerSecond * Seconds(kWindow) + kBurst);
}

}

void
StartWindowLimit::Set(std::optional<double> aPerSecond, MonoTime aNow)
{
  if (!aPerSecond) {
    m_perSecond.reset();
    return;
  }
  if (!m_perSecond) {
    m_dueAt = aNow;
  }
  m_perSecond = std::max(*aPerSecond, kMinPerSecond);
}

MonoTime
StartWindowLimit::NextStart(MonoTime aNow) const
{
  if (!m_perSecond) {
    return aNow;
  }
  const auto ahead = FromSeconds((kBurst - 1.0) / *m_perSecond);
  return std::max({ aNow, m_dueAt - ahead, WindowStart(aNow) });
}

// Time from which the window has room for another request.
MonoTime
StartWindowLimit::WindowStart(MonoTime aNow) const
{
  const auto most = MaxStarts(*m_perSecond);
  if (m_starts.size() < most) {
    return aNow;
  }
  return m_starts[m_starts.size() - most] + kWindow;
}

void
StartWindowLimit::OnStart(MonoTime aNow)
{
  while (!m_starts.empty() && m_starts.front() + kWindow <= aNow) {
    m_starts.pop_front();
  }
  m_starts.push_back(aNow);
  if (m_perSecond) {
    m_dueAt = std::max(m_dueAt, aNow) + IntervalOf(*m_perSecond);
  }
}

}
