#include "src/HostDaemon/LeaveSchedule.h"

#include <utility>

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Time in which callers notice that the daemon is not ready: two of their
 * checks, which come once a second. */
constexpr Duration kReadinessNoticeTime = milliseconds(2300);

/** Requests that still wait are answered this long before the process would be
 * killed; the rest of the time is for sending the answers. */
constexpr Duration kForceMargin = milliseconds(500);

/** The process exits by itself this long before it would be killed. */
constexpr Duration kExitMargin = milliseconds(150);

/** Before a forced exit, the connections are ended this long after the last
 * answers, even if calls are still in progress. */
constexpr Duration kFlushTime = milliseconds(200);

/** Time in which the other ends close connections that were ended here. */
constexpr Duration kCloseTime = milliseconds(400);

/** Time without any request in progress before the process exits. */
constexpr Duration kIdleBeforeExit = milliseconds(150);

bool
IsBusy(const LeaveWork& aWork)
{
  return aWork.calls > 0 || aWork.callers > 0 || aWork.unsentBytes > 0 ||
         aWork.peersHaveUnsent;
}

}

LeaveSchedule::LeaveSchedule(MonoTime aStartedAt, Duration aGrace)
  : m_startedAt(aStartedAt)
  , m_idleSince(aStartedAt)
  , m_forceAfter(aGrace - kForceMargin)
  , m_exitAfter(aGrace - kExitMargin)
{
}

LeaveSteps
LeaveSchedule::Next(MonoTime aNow, const LeaveWork& aWork)
{
  const auto elapsed = aNow - m_startedAt;
  LeaveSteps steps;
  steps.force = elapsed >= m_forceAfter && !std::exchange(m_forced, true);
  if (elapsed < kReadinessNoticeTime && !m_forced) {
    m_idleSince = aNow;
    return steps;
  }
  steps.refuseCallers = !std::exchange(m_refused, true);
  // Requests from peers are accepted as long as requests of this daemon's own
  // callers keep the process running.
  if (aWork.callers == 0 || m_forced) {
    steps.drainPeers = !std::exchange(m_draining, true);
  }
  if (IsBusy(aWork) || steps.force) {
    m_idleSince = aNow;
  }
  steps.exit = MayExit(aNow, aWork);
  if (MayEndConnections(aNow)) {
    // Queries that cross the goodbye are answered until the next step.
    steps.finishSending = m_goodbyeAt && !std::exchange(m_finished, true);
    steps.sayGoodbye = !m_goodbyeAt;
    m_goodbyeAt = m_goodbyeAt.value_or(aNow);
  }
  return steps;
}

bool
LeaveSchedule::MayEndConnections(MonoTime aNow) const
{
  const auto idle = aNow - m_idleSince;
  const bool flushed = aNow - m_startedAt >= m_forceAfter + kFlushTime;
  return idle >= kIdleBeforeExit || (m_forced && idle > Duration{}) || flushed;
}

bool
LeaveSchedule::MayExit(MonoTime aNow, const LeaveWork& aWork) const
{
  if (!m_goodbyeAt) {
    return false; // What the steps before send is not written yet.
  }
  if (aNow - m_startedAt >= m_exitAfter) {
    return true;
  }
  if (IsBusy(aWork)) {
    return false;
  }
  return aWork.connections == 0 || aNow - *m_goodbyeAt >= kCloseTime;
}

}
