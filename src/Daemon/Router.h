#ifndef PISTACHIOSHIFT_DAEMON_ROUTER_H
#define PISTACHIOSHIFT_DAEMON_ROUTER_H

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"
#include "src/Daemon/BackendTask.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/RequestRouter.h"

namespace pistachioshift {

/** \brief Routes requests by the ownership view, which follows the stream. */
class Router : public RequestRouter
{
public:
  Router(const Clock& aClock,
         RandomEngine& aRandom,
         MeshTask& aMesh,
         BackendTask& aBackend,
         PeersTask& aPeers);

  std::optional<Destination> Choose(const ServicePolicy& aPolicy,
                                    const std::string& aKey,
                                    const AttemptHistory& aHistory) override;
  std::shared_ptr<Call> Start(const Destination& aDestination,
                              CallRequest aRequest,
                              std::shared_ptr<CallListener> aListener) override;
  void QueryOutcome(const Destination& aDestination,
                    const RequestId& aRequest,
                    TablePosition aKnown,
                    PeersTask::OutcomeCallback aCallback) override;
  TablePosition KnownPosition(const Destination& aDestination) const override;
  void OnEnd(const ServicePolicy& aPolicy,
             const Destination& aDestination,
             InstanceResult aResult,
             Duration aLatency) override;
  RetryBudget& BudgetOf(const ServicePolicy& aPolicy) override;

private:
  /** Instances of a service as of an applied stream offset. */
  struct ServiceInstances
  {
    Balancer balancer;
    std::vector<Candidate> candidates;
    Offset applied;
  };

  std::optional<Destination> ChooseHolder(const ServicePolicy& aPolicy,
                                          const std::string& aKey,
                                          const AttemptHistory& aHistory) const;
  std::optional<Destination> ChooseInstance(const ServicePolicy& aPolicy,
                                            const AttemptHistory& aHistory);
  Destination MakeDestination(const Candidate& aCandidate) const;

  const Clock& m_clock;
  RandomEngine& m_random;
  MeshTask& m_mesh;
  BackendTask& m_backend;
  PeersTask& m_peers;
  std::map<ServiceName, ServiceInstances> m_instances;
  std::map<ServiceName, RetryBudget> m_budgets;
};

}

#endif
