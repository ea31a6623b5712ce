#include "src/Routing/SlowStart.h"

#include <algorithm>

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

constexpr double kRise = 2.0;
constexpr double kFall = 0.5;

/** Shares of late answers in a round: up to the first one the limit rises,
 * above the second one it falls. */
constexpr double kMaxLateToRise = 0.25;
constexpr double kMinLateToFall = 0.5;

/** Two, so that one slow request does not block all others. */
constexpr uint32_t kMinLimit = 2;
constexpr uint32_t kMinShareDivisor = 4;

/** Without requests for this time, the limit doubles. Three of these times end
 * the slow start of a server with nine slots. */
constexpr Duration kIdleStep = milliseconds(500);

/** Time at the full share after which the slow start ends. A server that gets
 * slow again within it is limited again. */
constexpr Duration kFullTime = milliseconds(2000);

}

uint32_t
SlowStart::MinLimit(uint32_t aSlots)
{
  return std::min(aSlots, std::max(kMinLimit, aSlots / kMinShareDivisor));
}

void
SlowStart::Begin(uint32_t aSlots,
                 uint32_t aFirst,
                 Duration aMaxTime,
                 MonoTime aNow)
{
  m_active = true;
  m_slots = aSlots;
  m_limit = std::clamp(aFirst, MinLimit(aSlots), aSlots);
  m_endsAt = aNow + aMaxTime;
  m_usedAt = aNow;
  m_fullSince = aNow;
  Change(1.0, aNow);
}

void
SlowStart::Change(double aFactor, MonoTime aNow)
{
  const bool wasFull = m_limit >= m_slots;
  const double least = MinLimit(static_cast<uint32_t>(m_slots));
  m_limit = std::clamp(m_limit * aFactor, least, m_slots);
  if (!wasFull) {
    m_fullSince = aNow;
  }
  m_changedAt = aNow;
  m_answers = 0.0;
  m_late = 0.0;
}

void
SlowStart::OnAnswer(MonoTime aStarted, bool aLate, MonoTime aNow)
{
  m_usedAt = aNow;
  // Requests that were started earlier ran under the previous limit.
  if (!m_active || aStarted < m_changedAt) {
    return;
  }
  m_answers += 1.0;
  m_late += aLate ? 1.0 : 0.0;
  if (m_answers >= Limit()) {
    const auto late = m_late / m_answers;
    Change(late <= kMaxLateToRise  ? kRise
           : late > kMinLateToFall ? kFall
                                   : 1.0,
           aNow);
  }
}

void
SlowStart::OnFailed(MonoTime aStarted, MonoTime aNow)
{
  m_usedAt = aNow;
  if (m_active && aStarted >= m_changedAt) {
    Change(kFall, aNow);
  }
}

void
SlowStart::OnTime(bool aIdle, MonoTime aNow)
{
  if (!m_active) {
    return;
  }
  if (!aIdle) {
    m_usedAt = aNow;
  }
  const auto idleSince = std::max(m_usedAt, m_changedAt);
  if (m_limit < m_slots && aNow - idleSince >= kIdleStep) {
    Change(kRise, aNow);
  }
  const bool full = m_limit >= m_slots && aNow - m_fullSince >= kFullTime;
  if (full || aNow >= m_endsAt) {
    End();
  }
}

}
