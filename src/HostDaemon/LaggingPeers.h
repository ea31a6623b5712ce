#ifndef PISTACHIOSHIFT_HOSTDAEMON_LAGGINGPEERS_H
#define PISTACHIOSHIFT_HOSTDAEMON_LAGGINGPEERS_H

#include <cstdint>
#include <map>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Ranges/KeyedStore.h"

namespace pistachioshift {

/**
 * \brief Decides which hosts are sent the operator's records because they have
 * missed a broadcast and do not read them from the store either. Performs no
 * I/O.
 */
class LaggingPeers
{
public:
  /**
   * \brief Whether a host that reports its position is to be sent the records.
   *
   * It is once it has lacked a position for longer than a broadcast, or a read
   * of the store, takes. Few hosts are sent them at once, so that a broadcast
   * that takes long on a busy link is not repeated to all hosts.
   */
  bool OnReport(const HostName& aPeer,
                const StorePosition& aPosition,
                const StorePosition& aOwn,
                MonoTime aNow);

private:
  struct Lag
  {
    StorePosition lacks; ///< Known here when the lag was first seen.
    MonoTime since;
  };

  bool MaySend(MonoTime aNow);

  std::map<HostName, Lag> m_lags;
  MonoTime m_intervalBegin;
  uint32_t m_sentInInterval = 0;
};

}

#endif
