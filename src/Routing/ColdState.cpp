#include "src/Routing/ColdState.h"

#include <algorithm>

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Below any heartbeat interval, and above the delay of a heartbeat that was
 * sent before an event and arrives after it. */
constexpr Duration kMinHeartbeatGap = milliseconds(500);

/** Interval of heartbeats. An evacuation lasts long, and the operator may make
 * the server cold at its end. */
constexpr Duration kHeartbeatInterval = milliseconds(870);

/** Allows for clocks and timers of the server that are late. */
constexpr Duration kColdMargin = milliseconds(100);

}

void
ColdState::Doubt(ColdDoubt aDoubt, MonoTime aNow)
{
  OpenDoubt doubt{ .since = aNow };
  switch (aDoubt) {
    case ColdDoubt::kDaemonStarted:
      break;
    case ColdDoubt::kServerStarted:
      doubt.heartbeatGap = kMinHeartbeatGap;
      doubt.byHealth = false;
      break;
    case ColdDoubt::kFailed:
    case ColdDoubt::kSlow:
      doubt.heartbeatGap = kMinHeartbeatGap;
      doubt.asks = true;
      doubt.onlySlow = aDoubt == ColdDoubt::kSlow;
      break;
    case ColdDoubt::kEvacuationEnded:
      doubt.heartbeatGap = kHeartbeatInterval;
      doubt.byHealth = false;
      break;
  }
  if (m_open) {
    doubt.heartbeatGap = std::max(doubt.heartbeatGap, m_open->heartbeatGap);
    doubt.byHealth = doubt.byHealth && m_open->byHealth;
    doubt.asks = doubt.byHealth && (doubt.asks || m_open->asks);
    doubt.onlySlow = doubt.onlySlow && m_open->onlySlow;
  }
  m_open = doubt;
}

void
ColdState::SetCold(Duration aLeft, MonoTime aNow)
{
  m_coldUntil = aNow + aLeft + kColdMargin;
  m_statedAt = aNow;
}

void
ColdState::OnHeartbeat(Duration aLeft, MonoTime aNow)
{
  if (m_open && aNow - m_open->since >= m_open->heartbeatGap) {
    m_open.reset();
  }
  if (aLeft > Duration{}) {
    SetCold(aLeft, aNow);
  } else if (aNow - m_statedAt >= kMinHeartbeatGap) {
    m_coldUntil.reset();
  }
}

void
ColdState::OnHealth(Duration aLeft, MonoTime aAskedAt, MonoTime aNow)
{
  if (m_open && m_open->byHealth && aAskedAt >= m_open->since) {
    m_open.reset();
  }
  if (aLeft > Duration{}) {
    SetCold(aLeft, aNow);
  } else if (aAskedAt >= m_statedAt) {
    m_coldUntil.reset();
  }
}

void
ColdState::WithdrawSlow()
{
  if (m_open && m_open->onlySlow) {
    m_open.reset();
  }
}

bool
ColdState::StatedCold(MonoTime aNow) const
{
  return m_coldUntil && aNow < *m_coldUntil;
}

}
