#ifndef PISTACHIOSHIFT_DAEMON_REQUESTROUTER_H
#define PISTACHIOSHIFT_DAEMON_REQUESTROUTER_H

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Pistachioshift/Routing"
#include "src/Daemon/Call.h"
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
class RequestRouter
{
public:
  virtual ~RequestRouter() = default;

  /** \brief Destination of a request; none if nobody can be asked. */
  virtual std::optional<Destination> Choose(const ServicePolicy& aPolicy,
                                            const std::string& aKey,
                                            const AttemptHistory& aHistory) = 0;

  /** \brief Sends the attempt; `aRequest.known` is filled in. */
  virtual std::shared_ptr<Call> Start(
    const Destination& aDestination,
    CallRequest aRequest,
    std::shared_ptr<CallListener> aListener) = 0;

  /** \brief Asks the daemon of an attempt what became of it. */
  virtual void QueryOutcome(const Destination& aDestination,
                            const RequestId& aRequest,
                            TablePosition aKnown,
                            PeersTask::AskCallback aCallback) = 0;

  virtual TablePosition KnownPosition(
    const Destination& aDestination) const = 0;

  /** \brief Tells the balancer of an any-instance service of an end. */
  virtual void OnEnd(const ServicePolicy& aPolicy,
                     const Destination& aDestination,
                     InstanceResult aResult,
                     Duration aLatency) = 0;

  virtual RetryBudget& BudgetOf(const ServicePolicy& aPolicy) = 0;
};

}

#endif
