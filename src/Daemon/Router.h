#ifndef PISTACHIOSHIFT_DAEMON_ROUTER_H
#define PISTACHIOSHIFT_DAEMON_ROUTER_H

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"
#include "src/Daemon/BackendTask.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/PeersTask.h"

namespace pistachioshift {

/** \brief Where an attempt goes. */
struct Destination
{
  DaemonId daemon;
  Endpoint inner;
  bool local = false;
};

/** \brief Earlier attempts of a request, as far as they steer the next. */
struct AttemptHistory
{
  std::optional<DaemonId> hint;  ///< Holder named by the last refusal.
  std::optional<DaemonId> last;  ///< Asked last.
  std::vector<DaemonId> refused; ///< Said that they don't hold the key.
  uint32_t attempts = 0;

  bool Refused(DaemonId aDaemon) const
  {
    return std::find(refused.begin(), refused.end(), aDaemon) != refused.end();
  }
};

/** \brief Chooses the daemon for an attempt and sends it there. */
class Router
{
public:
  Router(const Clock& aClock,
         RandomEngine& aRandom,
         MeshTask& aMesh,
         BackendTask& aBackend,
         PeersTask& aPeers);

  /** \brief Destination of a request; none if nobody can be asked. */
  std::optional<Destination> Choose(const ServicePolicy& aPolicy,
                                    const std::string& aKey,
                                    const AttemptHistory& aHistory);

  /** \brief Sends the attempt; `aRequest.known` is filled in. */
  std::shared_ptr<Call> Start(const Destination& aDestination,
                              CallRequest aRequest,
                              std::shared_ptr<CallListener> aListener);

  /** \brief Asks the daemon of an attempt what became of it. */
  void Ask(const Destination& aDestination,
           const RequestId& aRequest,
           TablePosition aKnown,
           PeersTask::AskCallback aCallback);

  TablePosition Known(const Destination& aDestination) const;

  /** \brief Tells the balancer of an any-instance service of an end. */
  void OnEnd(const ServicePolicy& aPolicy,
             const Destination& aDestination,
             InstanceResult aResult,
             Duration aLatency);

  RetryBudget& BudgetOf(const ServicePolicy& aPolicy);

private:
  /** Instances of a service as of an applied offset. */
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
