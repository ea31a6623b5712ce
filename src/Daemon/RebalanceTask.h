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
 * \brief Reports this daemon's load to the planner; as the planner, gathers
 * the reports and carries out what Planner proposes.
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

  /** \brief A report of another daemon or of this one. */
  void OnReport(const LoadReport& aReport);

private:
  struct Heard
  {
    LoadReport report;
    MonoTime at;
  };

  struct ServicePlan
  {
    Planner planner;
    std::map<DaemonId, Heard> reports;
    std::map<EntryKey, DaemonId> wantedPins; ///< Pinned first, then moved.
    std::map<EntryKey, Offset> current;
    std::map<EntryKey, MonoTime> movedAt;
  };

  void OnTick();
  void SendReports();
  void PlanAll();
  void NoteMoves(const ServiceName& aService, ServicePlan& aPlan);
  void MoveWantedPins(ServicePlan& aPlan);
  ServiceLoad Gather(const ServicePolicy& aPolicy,
                     const ServicePlan& aPlan) const;
  EntryLoad GatherEntry(const EntryKey& aKey,
                        const EntryChain& aChain,
                        const ServicePlan& aPlan) const;
  bool Fresh(const ServicePlan& aPlan, DaemonId aDaemon) const;
  void CarryOut(const ServiceName& aService,
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
