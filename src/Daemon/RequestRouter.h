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

/** \brief Daemon that an attempt is sent to. */
struct Destination
{
  DaemonId daemon;
  Endpoint inner;     ///< Endpoint for traffic between daemons.
  bool local = false; ///< This daemon itself.
};

/** \brief What earlier attempts of a request tell about where to send it. */
struct AttemptHistory
{
  std::optional<DaemonId> hint;  ///< Holder named in the last refusal.
  std::optional<DaemonId> last;  ///< Daemon of the last attempt.
  std::vector<DaemonId> refused; ///< Refused with kNotOwner.
  uint32_t attempts = 0;
  bool upload = false; ///< The link of the chosen host admits the body.

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

  /** \brief Destination of the next attempt; none if no daemon is available. */
  virtual std::optional<Destination> Choose(const ServicePolicy& aPolicy,
                                            const std::string& aKey,
                                            const AttemptHistory& aHistory) = 0;

  /** \brief Starts the attempt; sets `aRequest.known`. */
  virtual std::shared_ptr<Call> Start(
    const Destination& aDestination,
    CallRequest aRequest,
    std::shared_ptr<CallListener> aListener) = 0;

  /** \brief Queries the outcome of an attempt from the daemon it went to. */
  virtual void QueryOutcome(const Destination& aDestination,
                            const RequestId& aRequest,
                            TablePosition aKnown,
                            PeersTask::OutcomeCallback aCallback) = 0;

  /** \brief Last known position of the destination's outcome table. */
  virtual TablePosition KnownPosition(
    const Destination& aDestination) const = 0;

  /** \brief Reports an attempt's end to an any-instance service's balancer. */
  virtual void OnEnd(const ServicePolicy& aPolicy,
                     const Destination& aDestination,
                     InstanceResult aResult,
                     Duration aLatency) = 0;

  /** \brief Reports that an upload got credit, and how long it waited. */
  virtual void OnUploadGranted(const ServicePolicy&,
                               const Destination&,
                               Duration /*aWait*/)
  {
  }

  /** \brief Reports that an instance had no room for an upload, and the time
   * until it expects some. */
  virtual void OnUploadRefused(const ServicePolicy&,
                               const Destination&,
                               Duration /*aRetryAfter*/)
  {
  }

  virtual RetryBudget& BudgetOf(const ServicePolicy& aPolicy) = 0;
};

}

#endif
