#ifndef PISTACHIOSHIFT_DAEMON_REBALANCETASK_H
#define PISTACHIOSHIFT_DAEMON_REBALANCETASK_H

#include <map>

#include "Pistachioshift/Planner"
#include "src/Daemon/BackendTask.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/PeersTask.h"
#include "src/Daemon/PlannerTask.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

/**
 * \brief Reports this daemon's load to the planner. While this daemon is the
 * planner, collects the reports of all daemons and executes the moves, pins and
 * unpins that Planner proposes.
 */
class RebalanceTask
{
public:
  RebalanceTask(event_base* aBase,
                const Clock& aClock,
                MeshTask& aMesh,
                BackendTask& aBackend,
                PeersTask& aPeers,
                PlannerTask& aPlanner,
                const Logger& aLogger);

  void Start();

  /** \brief Handles a load report of another daemon or of this one. */
  void OnLoadReport(const LoadReport& aReport);

private:
  struct ReceivedReport
  {
    LoadReport report;
    MonoTime receivedAt;
  };

  struct ServicePlan
  {
    Planner planner;
    std::map<DaemonId, ReceivedReport> reports;
    /// Pinned keys, to be moved to the daemon once their new entry is held.
    std::map<EntryKey, DaemonId> pendingPins;
    /// Offset of each entry at the last plan, to notice moves.
    std::map<EntryKey, Offset> currentOffsets;
    std::map<EntryKey, MonoTime> movedAt;
  };

  void OnTick();
  void SendReports();
  void PlanServices();
  void RecordMoves(const ServiceName& aService, ServicePlan& aPlan);
  void MovePendingPins(ServicePlan& aPlan);
  ServiceLoad GatherLoad(const ServicePolicy& aPolicy,
                         const ServicePlan& aPlan) const;
  EntryLoad GatherEntry(const EntryKey& aKey,
                        const EntryChain& aChain,
                        const ServicePlan& aPlan) const;
  /** Whether the daemon's last report, if any, is recent. */
  bool IsResponsive(const ServicePlan& aPlan, DaemonId aDaemon) const;
  void Execute(const ServiceName& aService,
               ServicePlan& aPlan,
               const Proposal& aProposal);
  void Unpin(const EntryKey& aKey);

  const Clock& m_clock;
  MeshTask& m_mesh;
  BackendTask& m_backend;
  PeersTask& m_peers;
  PlannerTask& m_planner;
  const Logger& m_logger;
  Timer m_timer;
  MonoTime m_reportedAt;
  std::map<ServiceName, ServicePlan> m_plans;
};

}

#endif
