#ifndef PISTACHIOSHIFT_HOSTDAEMON_LEAVESCHEDULE_H
#define PISTACHIOSHIFT_HOSTDAEMON_LEAVESCHEDULE_H

#include <cstddef>
#include <optional>

#include "src/Base/Clock.h"

namespace pistachioshift {

/** \brief What a leaving daemon still has to do. */
struct LeaveWork
{
  size_t calls = 0;       ///< Calls at the backend server, or queued.
  size_t callers = 0;     ///< Callers' requests without a finished answer.
  size_t unsentBytes = 0; ///< Of answers to callers, finished or not.
  bool peersHaveUnsent = false; ///< Bytes wait for other daemons.
  size_t connections = 0;       ///< Of callers and of other daemons.
};

/** \brief Steps of a planned stop that are due; each is reported once. */
struct LeaveSteps
{
  bool refuseCallers = false; ///< Refuse new requests of callers.
  bool drainPeers = false;    ///< Refuse new requests of other daemons.
  bool force = false;         ///< Answer the requests that still wait.
  bool sayGoodbye = false;    ///< Tell peers that nothing more will run.
  bool finishSending = false; ///< End the connections that are still open.
  bool exit = false;
};

/** \brief Decides when the steps of a planned stop are due. Pure. */
class LeaveSchedule
{
public:
  /** \param aGrace time from the start until the process is killed. */
  LeaveSchedule(MonoTime aStartedAt, Duration aGrace);

  LeaveSteps Next(MonoTime aNow, const LeaveWork& aWork);

  /** \brief When requests that are still in progress are ended. */
  MonoTime ForcedAt() const { return m_startedAt + m_forceAfter; }

private:
  bool MayEndConnections(MonoTime aNow) const;
  bool MayExit(MonoTime aNow, const LeaveWork& aWork) const;

  MonoTime m_startedAt;
  MonoTime m_idleSince;
  Duration m_forceAfter;
  Duration m_exitAfter;
  std::optional<MonoTime> m_goodbyeAt; ///< When `sayGoodbye` was due.
  bool m_refused = false;
  bool m_draining = false;
  bool m_forced = false;
  bool m_finished = false;
};

}

#endif
