#ifndef PISTACHIOSHIFT_DAEMON_RELAYTASK_H
#define PISTACHIOSHIFT_DAEMON_RELAYTASK_H

#include "src/Base/Random.h"
#include "src/Daemon/DocumentTask.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/PeersTask.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

/**
 * \brief Fetches missing log records from other daemons while the log service
 * is unreachable, and serves such requests of other daemons.
 */
class RelayTask
{
public:
  RelayTask(event_base* aBase,
            RandomEngine& aRandom,
            MeshTask& aMesh,
            DocumentTask& aDocument,
            PeersTask& aPeers,
            const Settings& aSettings);

  void Start();

  /** \brief Answers a records query of another daemon. */
  RecordsReply Answer(const RecordsQuery& aQuery);

private:
  void OnTick();
  void FetchMissing(LogTask& aLog, const std::string& aStream, Offset aHighest);
  LogTask* FindLog(const StreamName& aStream);

  RandomEngine& m_random;
  MeshTask& m_mesh;
  DocumentTask& m_document;
  PeersTask& m_peers;
  const Settings& m_settings;
  Timer m_timer;
};

}

#endif
