#ifndef PISTACHIOSHIFT_HOSTDAEMON_RELEASESENDER_H
#define PISTACHIOSHIFT_HOSTDAEMON_RELEASESENDER_H

#include <vector>

#include "src/Daemon/PeersTask.h"
#include "src/Daemon/Timer.h"
#include "src/HostDaemon/CoordinatorTask.h"
#include "src/HostDaemon/StateTask.h"

namespace pistachioshift {

/**
 * \brief Sends the ranges that the backend server of this host has released to
 * the coordinator, which writes the releases of many hosts with one append.
 *
 * If the table does not show a release in time, this host writes it itself. A
 * release that is applied twice changes nothing the second time, because the
 * row then has another fence or holder.
 */
class ReleaseSender
{
public:
  ReleaseSender(event_base* aBase,
                const Clock& aClock,
                StateTaskBase& aState,
                CoordinatorTask& aCoordinator,
                PeersTask& aPeers);

  void Send(RangeRelease aRelease);

private:
  struct SentRelease
  {
    RangeRelease release;
    MonoTime sentAt;
  };

  void OnTimer();

  const Clock& m_clock;
  StateTaskBase& m_state;
  CoordinatorTask& m_coordinator;
  PeersTask& m_peers;
  Timer m_timer;
  std::vector<SentRelease> m_sent; ///< Not in the table yet.
};

}

#endif
