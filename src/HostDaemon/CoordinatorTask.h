#ifndef PISTACHIOSHIFT_HOSTDAEMON_COORDINATORTASK_H
#define PISTACHIOSHIFT_HOSTDAEMON_COORDINATORTASK_H

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "Pistachioshift/Ranges"
#include "src/Daemon/PeersTask.h"
#include "src/Daemon/Timer.h"
#include "src/HostDaemon/LaggingPeers.h"
#include "src/HostDaemon/RangeServerTask.h"
#include "src/HostDaemon/StateTask.h"

namespace pistachioshift {

/** \brief How far a host has read the operator's configuration. */
struct ConfigurationReading
{
  StorePosition position;
  /// When the store was last known to have no record after the position.
  std::optional<MonoTime> confirmedAt;
  uint64_t version = 0; ///< In force; 0: none.
};

using ConfigurationSource = std::function<ConfigurationReading()>;

/**
 * \brief Assigns free ranges, plans moves and suspects hosts that no longer
 * report.
 *
 * Every daemon sends its report to the first hosts of CoordinationOrder. The
 * first host that answers and can reach the store is the coordinator. Two
 * coordinators at the same time are safe, because each change of the table is a
 * conditional append that fails if another host has changed the table in the
 * meantime.
 */
class CoordinatorTask : public StateListener
{
public:
  CoordinatorTask(event_base* aBase,
                  const Clock& aClock,
                  StateTaskBase& aState,
                  RangeServerTask& aServer,
                  PeersTask& aPeers,
                  const Logger& aLogger);

  void Start();

  /** \brief Sets the services whose keys are divided into ranges. */
  void SetShardedServices(std::set<ServiceName> aServices);

  /** \brief Sets the zones whose hosts get no keys, also before they have
   * published their servers as draining. */
  void SetEvacuatedZones(std::set<ZoneName> aZones)
  {
    m_evacuatedZones = std::move(aZones);
  }

  /**
   * \brief Records the report of a host.
   * \return the moves ordered from that host since its last report, and how far
   * this host has read the store.
   */
  HostOrders OnReport(const HostReport& aReport);

  /** \brief Sets the function that tells how far this host has read the
   * operator's configuration. */
  void SetConfigurationSource(ConfigurationSource aSource)
  {
    m_configuration = std::move(aSource);
  }

  /** \brief How far this host has read the operator's configuration. */
  ConfigurationReading Configuration() const
  {
    return m_configuration ? m_configuration() : ConfigurationReading{};
  }

  /** \brief Sets the callback for how far a peer has read. */
  void SetOnPeerConfiguration(
    std::function<void(const ConfigurationReading&)> aCallback)
  {
    m_onPeerConfiguration = std::move(aCallback);
  }

  /**
   * \brief Sets the callback for a peer that has to learn the operator's
   * records from here. Either it has read as far as this host and has an older
   * configuration in force, which the store has then lost, or it has not read
   * as far for some time.
   */
  void SetOnPeerOutdated(std::function<void(const HostName&)> aCallback)
  {
    m_onPeerOutdated = std::move(aCallback);
  }

  /** \brief Whether another host's report arrived within the report timeout. */
  bool ReceivesPeerReports() const;

  /** \brief Whether this host is currently the coordinator. */
  bool Active() const { return m_active; }

  /** \brief The host that this host takes for the coordinator; nullptr if it
   * knows none other than itself. */
  const HostRecord* Coordinator() const;

  /** \brief Writes released ranges to the table and assigns those without a
   * next holder. */
  void OnRelease(const RangeRelease& aRelease);

  void OnStateChanged() override;

private:
  /// A host is suspected when three of its reports are missing.
  static constexpr Duration kReportTimeout = std::chrono::milliseconds(1700);

  struct CachedLoad
  {
    LoadMap load;
    MonoTime collectedAt{ -std::chrono::hours(1) };
  };

  /** Hosts to which the ranges of a service can be assigned. */
  struct TargetCount
  {
    size_t count = 0;
    MonoTime changedAt;
  };

  /** A host that has read further than this one. */
  struct PeerAhead
  {
    HostName host;
    StorePosition end;
  };

  struct ReceivedReport
  {
    HostReport report;
    MonoTime receivedAt;
  };

  void OnTick();
  void CompareConfiguration(const HostName& aPeer,
                            const StorePosition& aPosition,
                            uint64_t aVersion);
  void RecordFirstSights();
  void SendReport();
  const std::vector<HostName>& CoordinatorCandidates() const;
  bool IsResponsive(const HostName& aHost) const;
  bool IsCurrent(const HostName& aHost) const;
  std::vector<HostName> ReportTargets() const;
  HostName ChooseCoordinator(const std::vector<HostName>& aTargets) const;
  void ProbeUnresponsive(const std::vector<HostName>& aTargets,
                         const HostReport& aSummary);
  void AssignFreeRanges();
  void AssignFreeRanges(const ServiceName& aService);
  bool TargetsStable(const ServiceName& aService);
  bool AssignFreeRows(const ServiceName& aService, TableDraft& aDraft);
  void ConfirmRows();
  bool MaySettle(const RangeTable& aTable) const;
  void PlanMoves();
  void SuspectSilentHosts();
  std::set<HostName> HoldersWithoutRecord() const;
  void ReportTo(const HostName& aHost, const HostReport& aReport);
  void OnOrders(const HostName& aHost,
                MonoTime aSentAt,
                const HostOrders& aOrders);
  void CatchUp();
  void RemoveSuspectedHosts();
  std::vector<PlacementTarget> PlacementTargetsOf(
    const ServiceName& aService) const;
  bool HasRecentReport(const HostName& aHost) const;
  const LoadMap& LoadOf(const ServiceName& aService);
  LoadMap CollectLoad(const ServiceName& aService);

  const Clock& m_clock;
  StateTaskBase& m_state;
  RangeServerTask& m_server;
  PeersTask& m_peers;
  const Logger& m_logger;
  Timer m_tick;
  Timer m_catchUpTimer;
  std::set<ServiceName> m_sharded;
  std::set<ZoneName> m_evacuatedZones;
  std::map<HostName, ReceivedReport> m_reports;
  /// Time of the first unanswered report.
  std::map<HostName, MonoTime> m_unansweredSince;
  /// Age of a host's state in its last reply.
  std::map<HostName, Duration> m_ageInReply;
  std::map<HostName, HostOrders> m_pendingOrders;
  std::map<ServiceName, Rebalancer> m_rebalancers;
  std::map<ServiceName, CachedLoad> m_loads;
  std::map<ServiceName, LoadTrend> m_trends;
  mutable std::vector<HostName> m_candidates;
  /// HostsVersion() of m_candidates and of the times of first sight.
  mutable std::optional<uint64_t> m_candidatesVersion;
  std::optional<uint64_t> m_seenVersion;
  /// When a host's record was first read.
  std::map<HostName, MonoTime> m_hostFirstSeenAt;
  /// When a suspicion was first read, by its number.
  std::map<int64_t, MonoTime> m_suspicionFirstSeenAt;
  std::map<ServiceName, TargetCount> m_targetCounts;
  MonoTime m_watchingSince; ///< Start, or end of the last stall.
  MonoTime m_lastTickAt;
  MonoTime m_lastPeerReportAt;
  PeerAhead m_ahead; ///< When m_catchUpTimer was started.
  LaggingPeers m_lagging;
  ConfigurationSource m_configuration;
  std::function<void(const ConfigurationReading&)> m_onPeerConfiguration;
  std::function<void(const HostName&)> m_onPeerOutdated;
  bool m_active = false;
  uint64_t m_ticks = 0;
};

}

#endif
