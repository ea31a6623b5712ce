#ifndef PISTACHIOSHIFT_HOSTDAEMON_RANGEROUTER_H
#define PISTACHIOSHIFT_HOSTDAEMON_RANGEROUTER_H

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Pistachioshift/Ranges"
#include "src/Daemon/RequestRouter.h"
#include "src/HostDaemon/RangeServerTask.h"
#include "src/HostDaemon/StateTask.h"

namespace pistachioshift {

/**
 * \brief Chooses the host for each request from the ranges and hosts in the
 * store: the holder of the key's range, or any instance of the service by load.
 */
class RangeRouter
  : public RequestRouter
  , public StateListener
{
public:
  RangeRouter(const Clock& aClock,
              RandomEngine& aRandom,
              StateTaskBase& aState,
              RangeServerTask& aServer,
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
  void OnUploadGranted(const ServicePolicy& aPolicy,
                       const Destination& aDestination,
                       Duration aWait) override;
  void OnUploadRefused(const ServicePolicy& aPolicy,
                       const Destination& aDestination,
                       Duration aRetryAfter) override;
  RetryBudget& BudgetOf(const ServicePolicy& aPolicy) override;

  void OnStateChanged() override;

  /**
   * \brief Sets the retries beyond each service's share that all hosts may
   * make together at a time.
   */
  void SetRetrySlack(double aRetries) { m_retrySlack = aRetries; }

  /** \brief Sets the zones to which no request is routed that any instance can
   * run, not even if all instances are there. */
  void SetEvacuatedZones(std::set<ZoneName> aZones);

  /** \brief Name of the host with this number; empty if unknown. */
  std::string NameOf(DaemonId aDaemon) const;

  /** \brief Sets the stated paces of cold backend servers. Their daemons pace
   * them, so that their share here may rise as soon as they are warm. */
  void SetColdPaces(const std::map<ServiceName, ColdPace>& aPaces);

  /** \brief Offset up to which the store was read. */
  int64_t StateEnd() const { return m_state.End().offset; }

private:
  struct InstanceSet
  {
    std::vector<DaemonId> all;
    std::vector<DaemonId> nearby; ///< In this host's zone.

    bool operator==(const InstanceSet&) const = default;
  };

  struct ServiceInstances
  {
    Balancer balancer;
    InstanceSet set;
  };

  void UpdateBudget(RetryBudget& aBudget) const;
  DaemonId IdOf(const HostName& aHost);
  std::optional<Destination> DestinationOf(const HostName& aHost);
  std::optional<Destination> ChooseHolder(const ServicePolicy& aPolicy,
                                          const std::string& aKey);
  std::optional<Destination> ChooseInstance(const ServicePolicy& aPolicy,
                                            const AttemptHistory& aHistory);

  const Clock& m_clock;
  RandomEngine& m_random;
  StateTaskBase& m_state;
  RangeServerTask& m_server;
  PeersTask& m_peers;
  std::map<HostName, DaemonId> m_ids; ///< Numbers used by the balancers.
  std::map<DaemonId, HostName> m_names;
  std::map<ServiceName, ServiceInstances> m_instances;
  std::map<ServiceName, RetryBudget> m_budgets;
  std::set<ZoneName> m_evacuatedZones;
  double m_retrySlack = 0.0;              ///< 0: not limited.
  std::optional<uint64_t> m_hostsVersion; ///< Of m_instances.
};

}

#endif
