#ifndef PISTACHIOSHIFT_HOSTDAEMON_HOSTDAEMON_H
#define PISTACHIOSHIFT_HOSTDAEMON_HOSTDAEMON_H

#include <functional>
#include <optional>
#include <set>

#include "src/Base/Random.h"
#include "src/Daemon/IngressTask.h"
#include "src/Daemon/InnerServerTask.h"
#include "src/Daemon/OperatorTask.h"
#include "src/HostDaemon/CoordinatorTask.h"
#include "src/HostDaemon/LeaveSchedule.h"
#include "src/HostDaemon/RangeRouter.h"
#include "src/HostDaemon/ReleaseSender.h"
#include "src/HostDaemon/UpdateBroadcaster.h"

namespace pistachioshift {

/** \brief Settings of a daemon that runs on the host of a backend server. */
struct HostSettings
{
  HostName host;
  ZoneName zone;
  Endpoint inner;   ///< TCP, towards other daemons.
  Endpoint callers; ///< HTTP, towards callers.
  Endpoint metrics; ///< HTTP, metrics for operators.
  RangeServerSettings server;
  /// Bandwidth of the host's network link; 0 if unknown.
  double linkBytesPerSecond = 0.0;
  /// Processor share of the daemon, in thousandths of a core; 0 if unknown.
  int32_t cpuMillis = 0;
  /// Time from the stop signal until the process is killed.
  Duration grace = std::chrono::seconds(6);
};

/**
 * \brief Daemon for services whose keys are divided into ordered ranges, with
 * the assignment of ranges kept in a keyed store.
 *
 * Owns all tasks except the StateTask, which follows the store.
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

  /** \brief Starts accepting callers' requests. */
  void Start(IngressDialect& aDialect, const HttpLimits& aLimits);

  std::optional<HeartbeatReply> OnHeartbeat(const ServerHeartbeat& aHeartbeat)
  {
    return m_server.OnHeartbeat(aHeartbeat);
  }

  void OnLeave(const ServerLeave& aLeave) { m_server.OnLeave(aLeave); }

  /** \brief Whether other hosts report here and receive state in reply. */
  bool ReceivesPeerReports() const
  {
    return m_coordinator.ReceivesPeerReports();
  }

  /** \brief Sets the function that tells how far this host has read the
   * operator's configuration; sent to peers. */
  void SetConfigurationSource(ConfigurationSource aSource)
  {
    m_coordinator.SetConfigurationSource(std::move(aSource));
  }

  /** \brief Sets the callback for how far a peer has read. */
  void SetOnPeerConfiguration(
    std::function<void(const ConfigurationReading&)> aCallback)
  {
    m_coordinator.SetOnPeerConfiguration(std::move(aCallback));
  }

  /** \brief Sends configuration records that this host has read to the others.
   */
  void BroadcastConfiguration(const StoreRecords& aRecords)
  {
    m_broadcaster.BroadcastConfiguration(aRecords);
  }

  /** \brief Sets the function that returns the record of the configuration in
   * force, for peers that cannot read it from the store any more. */
  void SetConfigurationInForce(std::function<StoreRecords()> aSource);

  /** \brief Sets the callback for configuration records from a peer. */
  void SetOnPeerRecords(std::function<void(const StoreRecords&)> aCallback)
  {
    m_onPeerRecords = std::move(aCallback);
  }

  /** \brief Applies the configured set of services divided into ranges. */
  void SetShardedServices(const std::set<ServiceName>& aServices);

  /** \brief Sets the paths of health checks, by service. */
  void SetHealthPaths(const std::map<ServiceName, std::string>& aPaths);

  /** \brief Sets the stated paces of cold backend servers, by service. */
  void SetColdPaces(const std::map<ServiceName, ColdPace>& aPaces);

  /**
   * \brief Applies the set of zones that the operator evacuates.
   * \param aUnchangedAt when the set of before was last known to be in force;
   * empty: not known.
   */
  void SetEvacuatedZones(const std::set<ZoneName>& aZones,
                         std::optional<MonoTime> aUnchangedAt = std::nullopt);

  /** \brief Whether new callers should use this daemon (readiness check). */
  bool Ready() const { return m_state.Joined() && m_configured && !m_leave; }

  /**
   * \brief Starts a graceful stop. The event loop ends when no request is in
   * progress, or shortly before the grace period does.
   */
  void BeginLeave();

  RangeRouter& Router() { return m_router; }
  CoordinatorTask& Coordinator() { return m_coordinator; }
  RangeServerTask& Server() { return m_server; }

private:
  InnerServices MakeInnerServices();
  std::optional<StateReply> AnswerState(const StateQuery& aQuery) const;
  void QueryPeers();
  bool IsInOtherZone(const Endpoint& aPeer) const;
  void OnLeaveTick();
  void LogLeaveEnd(const LeaveWork& aWork) const;
  OperatorAnswer RenderMetrics();

  event_base* m_base;
  const Clock& m_clock;
  HostSettings m_settings;
  StateTaskBase& m_state;
  const Logger& m_logger;
  Metrics& m_metrics;
  RandomEngine& m_random;
  BootId m_boot;
  std::shared_ptr<FrameByteTotals> m_byteTotals =
    std::make_shared<FrameByteTotals>();
  RangeServerTask m_server;
  PeersTask m_peers;
  RangeRouter m_router;
  CoordinatorTask m_coordinator;
  ReleaseSender m_releases;
  UpdateBroadcaster m_broadcaster;
  BulkQueue m_bulk;
  InnerServerTask m_inner;
  OperatorTask m_operator;
  std::unique_ptr<IngressTask> m_ingress;
  IngressDialect* m_dialect = nullptr;
  std::function<void(const StoreRecords&)> m_onPeerRecords;
  Timer m_leaveTimer;
  std::optional<LeaveSchedule> m_leave; ///< Set once the stop has begun.
  bool m_configured = false;
};

}

#endif
