#ifndef PISTACHIOSHIFT_DAEMON_PEERSTASK_H
#define PISTACHIOSHIFT_DAEMON_PEERSTASK_H

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "Pistachioshift/Inner"
#include "src/Base/Logger.h"
#include "src/Daemon/Call.h"
#include "src/Daemon/Metrics.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

class Peer;
class RemoteCall;

/**
 * \brief Connections to other daemons, opened on demand and reused.
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
            const Logger& aLogger,
            Metrics& aMetrics,
            const ConnectionSettings& aSettings = {});
  ~PeersTask();

  /**
   * \brief Sets which peers are asked to compress the frames of connections
   * that are opened from now on; none by default.
   * \param aTotals counts their bytes.
   */
  void SetCompression(std::function<bool(const Endpoint&)> aIsCompressed,
                      std::shared_ptr<FrameByteTotals> aTotals);

  /** \brief Starts an attempt at another daemon; it fails at once, as not
   * sent, while that daemon is known to be unreachable. */
  std::shared_ptr<Call> Start(const Endpoint& aPeer,
                              const CallRequest& aRequest,
                              std::shared_ptr<CallListener> aListener);

  /**
   * \brief Queries the outcome of a request on a new connection.
   * \param aCallback gets kForgotten if the connection ends without a reply.
   */
  void QueryOutcome(const Endpoint& aPeer,
                    const RequestId& aRequest,
                    TablePosition aKnown,
                    OutcomeCallback aCallback);

  /** \brief Requests log records from a peer; no callback on failure. */
  void QueryRecords(const Endpoint& aPeer,
                    const RecordsQuery& aQuery,
                    RecordsCallback aCallback);

  /** \brief Sends a load report; unacknowledged, may be lost. */
  void SendLoad(const Endpoint& aPeer, const LoadReport& aReport);

  /** \brief Sends a report to a coordinator; no callback on failure. */
  void Report(const Endpoint& aPeer,
              const HostReport& aReport,
              OrdersCallback aCallback);

  /** \brief Sends appended records; unacknowledged, may be lost. */
  void SendUpdate(const Endpoint& aPeer, const StateReply& aUpdate);

  /** \brief Sends the configuration; unacknowledged, may be lost. */
  void SendConfiguration(const Endpoint& aPeer,
                         const ConfigurationUpdate& aUpdate);

  /** \brief Sends released ranges; unacknowledged, may be lost. */
  void SendRelease(const Endpoint& aPeer, const RangeRelease& aRelease);

  /**
   * \brief Requests the state that a peer has read from the store; no callback
   * on failure or if the peer has no newer state.
   */
  void QueryState(const Endpoint& aPeer,
                  const StateQuery& aQuery,
                  StateCallback aCallback);

  /** \brief Last known position of a daemon's outcome table. */
  TablePosition KnownPosition(const Endpoint& aPeer) const;

  /** \brief Whether a connection to a daemon failed recently and none succeeded
   * since. */
  bool HasRecentFailure(const Endpoint& aPeer) const;

  size_t Connections() const;

private:
  friend class Peer;

  std::shared_ptr<Peer> Find(const Endpoint& aPeer);
  void FailUnreachable();

  event_base* m_base;
  const Clock& m_clock;
  BootId m_boot;
  const Logger& m_logger;
  Metrics& m_metrics;
  ConnectionSettings m_settings;
  std::function<bool(const Endpoint&)> m_isCompressed;
  std::map<Endpoint, std::shared_ptr<Peer>> m_peers;
  /// Calls to peers that cannot be reached.
  std::vector<std::shared_ptr<RemoteCall>> m_unreachable;
  Timer m_failTimer;
};

}

#endif
