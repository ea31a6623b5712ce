#ifndef PISTACHIOSHIFT_HOSTDAEMON_HOSTDAEMON_H
#define PISTACHIOSHIFT_HOSTDAEMON_HOSTDAEMON_H

#include <functional>
#include <set>

#include "src/Base/Random.h"
#include "src/Daemon/IngressTask.h"
#include "src/Daemon/InnerServerTask.h"
#include "src/Daemon/OperatorTask.h"
#include "src/HostDaemon/CoordinatorTask.h"
#include "src/HostDaemon/RangeRouter.h"

namespace pistachioshift {

/** \brief Addresses and place of a daemon beside a backend server. */
struct HostSettings
{
  HostName host;
  ZoneName zone;
  Endpoint inner;   ///< TCP, towards other daemons.
  Endpoint callers; ///< HTTP, towards callers.
  Endpoint metrics; ///< HTTP, metrics for operators.
  RangeServerSettings server;
  /// Of the host's link; 0 if not known.
  double linkBytesPerSecond = 0.0;
  /// Time from the signal to the forced end of the process.
  Duration grace = std::chrono::seconds(6);
};

/**
 * \brief Daemon where keys are ordered ranges that are agreed through a keyed
 * store. Owns all tasks but the one that follows the store.
 */
class HostDaemon
{
public:
  HostDaemon(event_base* aBase,
             const Clock& aClock,
             const HostSettings& aSettings,
             StateTaskBase& aState,
             const ServerDialect& aServerDialect,
             const Logger& aLogger,
             Metrics& aMetrics,
             RandomEngine& aRandom);

  /** \brief Begins to take callers' requests. */
  void Start(IngressDialect& aDialect, const HttpLimits& aLimits);

  HeartbeatReply OnHeartbeat(const ServerHeartbeat& aHeartbeat)
  {
    return m_server.OnHeartbeat(aHeartbeat);
  }

  void OnLeave(const ServerId& aServer) { m_server.OnLeave(aServer); }

  /** \brief Whether other hosts report here and hear what this one knows. */
  bool ReceivesPeerReports() const
  {
    return m_coordinator.ReceivesPeerReports();
  }

  /** \brief Position of the configuration in force, told to peers. */
  void SetConfiguration(int64_t aPosition)
  {
    m_coordinator.SetConfiguration(aPosition);
  }

  /** \brief Called with the position that a peer knows. */
  void SetOnPeerConfiguration(std::function<void(int64_t)> aCallback)
  {
    m_coordinator.SetOnPeerConfiguration(std::move(aCallback));
  }

  /** \brief Brings services that are divided by key into force. */
  void SetShardedServices(const std::set<ServiceName>& aServices);

  /** \brief Whether new callers should come here. */
  bool Ready() const { return m_state.Joined() && m_configured && !m_leaving; }

  /** \brief Stops gracefully; ends the loop when nothing is in progress. */
  void BeginLeave();

  RangeRouter& Router() { return m_router; }
  CoordinatorTask& Coordinator() { return m_coordinator; }
  RangeServerTask& Server() { return m_server; }

private:
  InnerServices MakeInnerServices();
  std::optional<StateReply> AnswerState(const StateQuery& aQuery) const;
  void BroadcastUpdate(const StateUpdate& aUpdate);
  void QueryPeers();
  void OnLeaveTick();
  OperatorAnswer RenderMetrics();

  event_base* m_base;
  const Clock& m_clock;
  HostSettings m_settings;
  StateTaskBase& m_state;
  const Logger& m_logger;
  Metrics& m_metrics;
  RandomEngine& m_random;
  BootId m_boot;
  RangeServerTask m_server;
  PeersTask m_peers;
  RangeRouter m_router;
  CoordinatorTask m_coordinator;
  BulkQueue m_bulk;
  InnerServerTask m_inner;
  OperatorTask m_operator;
  std::unique_ptr<IngressTask> m_ingress;
  IngressDialect* m_dialect = nullptr;
  Timer m_leaveTimer;
  MonoTime m_leaveStartedAt;
  MonoTime m_idleSince;
  bool m_configured = false;
  bool m_leaving = false;
  bool m_dialectClosing = false;
  bool m_draining = false;
  bool m_forced = false;
};

}

#endif
