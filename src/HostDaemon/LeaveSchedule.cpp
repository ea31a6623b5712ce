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

/** Time for peers' requests that are still running when no new ones are
 * accepted. */
constexpr Duration kPeerDrainTime = milliseconds(1200);

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
  if (elapsed >= m_forceAfter) {
    return NextForced(elapsed, aWork);
  }
  LeaveSteps steps;
  if (elapsed < kReadinessNoticeTime) {
    m_idleSince = aNow;
    return steps;
  }
  steps.refuseCallers = !std::exchange(m_refused, true);
  // Requests from peers are accepted as long as requests of this daemon's own
  // callers keep the process running, or until the grace period nearly ends.
  const bool endIsNear = elapsed >= m_forceAfter - kPeerDrainTime;
  if (aWork.callers == 0 || endIsNear) {
    steps.drainPeers = !std::exchange(m_draining, true);
  }
  if (IsBusy(aWork)) {
    m_idleSince = aNow;
  }
  steps.exit = aNow - m_idleSince >= kIdleBeforeExit;
  return steps;
}

LeaveSteps
LeaveSchedule::NextForced(Duration aElapsed, const LeaveWork& aWork)
{
  LeaveSteps steps;
  steps.force = !std::exchange(m_forced, true);
  const bool allSent = !steps.force && !IsBusy(aWork);
  steps.exit = allSent || aElapsed >= m_exitAfter;
  return steps;
}

}
