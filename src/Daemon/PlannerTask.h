#ifndef PISTACHIOSHIFT_DAEMON_PLANNERTASK_H
#define PISTACHIOSHIFT_DAEMON_PLANNERTASK_H

#include <map>

#include "src/Daemon/BackendTask.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

/**
 * \brief Plans assignments while this daemon holds the planner term.
 *
 * Any daemon may plan; replay ignores the records of an older term, so safety
 * does not depend on who does.
 */
class PlannerTask
{
public:
  PlannerTask(event_base* aBase,
              const Clock& aClock,
              MeshTask& aMesh,
              BackendTask& aBackend,
              const Logger& aLogger);

  void Start();

  /** \brief Whether this daemon plans now. */
  bool Planning() const;

  /** \brief Asks for a move by an operator; false if this daemon can't. */
  bool Move(const EntryKey& aKey, DaemonId aTo);

  /** \brief Gives an entry the succession of another one. */
  bool MoveLike(const EntryKey& aKey, const EntryKey& aModel);

private:
  /** An assignment until it is replayed, or given up. */
  struct Pending
  {
    Offset base; ///< Entry that it replaces.
    MonoTime since;
  };

  void OnTick();
  bool ShouldClaim() const;
  void Claim();
  void PlaceMissing();
  Offset CurrentEntry(const EntryKey& aKey) const;
  std::set<EntryKey> PendingKeys();
  void Submit(std::vector<Assignment> aAssignments);

  const Clock& m_clock;
  MeshTask& m_mesh;
  BackendTask& m_backend;
  const Logger& m_logger;
  Timer m_timer;
  MonoTime m_claimedAt;
  MonoTime m_plannedAt;
  Offset m_plannedThrough;
  std::map<EntryKey, Pending> m_pending; ///< Assignments on their way.
};

}

#endif
