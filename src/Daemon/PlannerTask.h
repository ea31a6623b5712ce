#ifndef PISTACHIOSHIFT_DAEMON_PLANNERTASK_H
#define PISTACHIOSHIFT_DAEMON_PLANNERTASK_H

#include <map>

#include "src/Daemon/BackendTask.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

/**
 * \brief Assigns entries to daemons while this daemon is the planner.
 *
 * Each term has one planner. When it is leaving or no longer a member, the
 * member with the lowest id that is not leaving claims the next term. All
 * daemons ignore records of older terms, so safety does not depend on which
 * daemon plans, or on how many do.
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

  /** \brief Whether this daemon is the planner of the current term. */
  bool IsPlanner() const;

  /**
   * \brief Assigns an existing entry to a daemon.
   * \return false if this daemon is not the planner, or the entry or the
   * daemon is unknown.
   */
  bool Move(const EntryKey& aKey, DaemonId aTo);

  /**
   * \brief Assigns an entry to the owner and the successors of another one.
   * \return false if this daemon is not the planner or an entry is unknown.
   */
  bool AssignSameHolders(const EntryKey& aKey, const EntryKey& aOther);

private:
  /** An assignment that was appended but not yet applied. */
  struct Pending
  {
    Offset base; ///< Entry that it replaces; 0: none.
    MonoTime since;
  };

  void OnTick();
  bool ShouldClaim() const;
  void Claim();
  void PlanAssignments();
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
  Offset m_plannedOffset; ///< Applied offset at the last plan.
  std::map<EntryKey, Pending> m_pending;
};

}

#endif
