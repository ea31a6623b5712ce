#ifndef PISTACHIOSHIFT_DAEMON_PEERSTASK_H
#define PISTACHIOSHIFT_DAEMON_PEERSTASK_H

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Pistachioshift/Inner"
#include "src/Daemon/Call.h"
#include "src/Daemon/Metrics.h"

namespace pistachioshift {

class Peer;

/**
 * \brief Connections to other daemons, opened on demand and kept.
 *
 * \sa Peer, InnerServerTask
 */
class PeersTask
{
public:
  using OutcomeCallback = std::function<void(const OutcomeQueryResult&)>;
  using RecordsCallback = std::function<void(const RecordsReply&)>;

  using OrdersCallback = std::function<void(const HostOrders&)>;
  using StateCallback = std::function<void(const StateReply&)>;

  PeersTask(event_base* aBase,
            const Clock& aClock,
            BootId aBoot,
            Metrics& aMetrics,
            const ConnectionSettings& aSettings = {});
  ~PeersTask();

  /** \brief Begins an attempt at another daemon. */
  std::shared_ptr<Call> Start(const Endpoint& aPeer,
                              const CallRequest& aRequest,
                              std::shared_ptr<CallListener> aListener);

  /**
   * \brief Asks on a new connection what became of a request.
   * \param aCallback gets kForgotten if the daemon can't be asked.
   */
  void QueryOutcome(const Endpoint& aPeer,
                    const RequestId& aRequest,
                    TablePosition aKnown,
                    OutcomeCallback aCallback);

  /** \brief Asks a peer for log records; no callback if it can't be asked. */
  void QueryRecords(const Endpoint& aPeer,
                    const RecordsQuery& aQuery,
                    RecordsCallback aCallback);

  /** \brief Sends a load report; it may be lost. */
  void SendLoad(const Endpoint& aPeer, const LoadReport& aReport);

  /** \brief Reports to a coordinator; no callback if it can't be reached. */
  void Report(const Endpoint& aPeer,
              const HostReport& aReport,
              OrdersCallback aCallback);

  /** \brief Sends records that were appended; they may be lost. */
  void SendUpdate(const Endpoint& aPeer, const StateReply& aUpdate);

  /** \brief Asks a peer for what it has read from the store; no callback if
   * it can't be asked or doesn't know better. */
  void QueryState(const Endpoint& aPeer,
                  const StateQuery& aQuery,
                  StateCallback aCallback);

  /** \brief Last position heard from a daemon's outcome table. */
  TablePosition KnownPosition(const Endpoint& aPeer) const;

  /** \brief Whether a connection to it failed a moment ago. */
  bool HasRecentFailure(const Endpoint& aPeer) const;

  size_t Connections() const;

private:
  friend class Peer;

  std::shared_ptr<Peer> Find(const Endpoint& aPeer);

  event_base* m_base;
  const Clock& m_clock;
  BootId m_boot;
  Metrics& m_metrics;
  ConnectionSettings m_settings;
  std::map<Endpoint, std::shared_ptr<Peer>> m_peers;
};

}

#endif
