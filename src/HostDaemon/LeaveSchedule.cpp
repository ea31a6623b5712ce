#include "src/HostDaemon/LeaveSchedule.h"

#include <utility>

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Time in which callers notice that the daemon is not ready: two of their
 * checks, which come once a second. */
constexpr Duration kReadinessNoticeTime = milliseconds(2300);

/** The process exits by itself this long before it would be killed. */
constexpr Duration kGraceMargin = milliseconds(500);

/** Time for sending the last answers before a forced exit. */
constexpr Duration kFlushTime = milliseconds(200);

/** Time for peers to close their connections once they know of the exit. */
constexpr Duration kGoodbyeTime = milliseconds(500);

/** Time without any request in progress before the process exits. */
constexpr Duration kIdleBeforeExit = milliseconds(150);

}

LeaveSchedule::LeaveSchedule(MonoTime aStartedAt, Duration aGrace)
  : m_startedAt(aStartedAt)
  , m_idleSince(aStartedAt)
  , m_forceAfter(aGrace - kGraceMargin)
{
}

LeaveSteps
LeaveSchedule::Next(MonoTime aNow, const LeaveWork& aWork)
{
  const auto elapsed = aNow - m_startedAt;
  if (elapsed >= m_forceAfter) {
    return NextForced(elapsed);
  }
  LeaveSteps steps;
  if (elapsed < kReadinessNoticeTime) {
    m_idleSince = aNow;
    return steps;
  }
  steps.refuseCallers = !std::exchange(m_refused, true);
  // Requests from peers are accepted as long as requests of this daemon's own
  // callers keep the process running.
  if (aWork.callers == 0) {
    steps.drainPeers = !std::exchange(m_draining, true);
  }
  if (IsIdle(aNow, aWork)) {
    steps.sayGoodbye = !m_goodbyeAt;
    m_goodbyeAt = m_goodbyeAt.value_or(aNow);
    steps.exit = aWork.peers == 0 || aNow - *m_goodbyeAt >= kGoodbyeTime;
  }
  return steps;
}

LeaveSteps
LeaveSchedule::NextForced(Duration aElapsed)
{
  LeaveSteps steps;
  steps.force = !std::exchange(m_forced, true);
  steps.sayGoodbye = steps.force;
  steps.exit = aElapsed >= m_forceAfter + kFlushTime;
  return steps;
}

bool
LeaveSchedule::IsIdle(MonoTime aNow, const LeaveWork& aWork)
{
  if (aWork.calls > 0 || aWork.callers > 0 || aWork.unsentBytes > 0 ||
      aWork.peersHaveUnsent) {
    m_idleSince = aNow;
  }
  return aNow - m_idleSince >= kIdleBeforeExit;
}

}
