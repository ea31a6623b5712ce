#ifndef PISTACHIOSHIFT_HOSTDAEMON_COORDINATORTASK_H
#define PISTACHIOSHIFT_HOSTDAEMON_COORDINATORTASK_H

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "Pistachioshift/Ranges"
#include "src/Daemon/PeersTask.h"
#include "src/Daemon/Timer.h"
#include "src/HostDaemon/RangeServerTask.h"
#include "src/HostDaemon/StateTask.h"

namespace pistachioshift {

/**
 * \brief Assigns free ranges, and suspects hosts that are silent.
 *
 * Every daemon reports to the first host, by name, that answers; that one
 * coordinates. Two at once do no harm: all changes of the table are made under
 * the condition that nobody else changed it.
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

  /** \brief Services that are divided by key. */
  void SetShardedServices(std::set<ServiceName> aServices);

  /** \brief A host reports here; \return what it is to hand over. */
  HostOrders OnReport(const HostReport& aReport);

  /** \brief Position of the configuration that this host knows. */
  void SetConfiguration(int64_t aPosition) { m_configuration = aPosition; }

  /** \brief Called with the position of a configuration that a peer knows. */
  void SetOnPeerConfiguration(std::function<void(int64_t)> aCallback)
  {
    m_onPeerConfiguration = std::move(aCallback);
  }

  /** \brief Whether another host has reported here lately. */
  bool ReceivesPeerReports() const;

  /** \brief Whether this host coordinates now. */
  bool Active() const { return m_active; }

  void OnStateChanged() override;

private:
  struct ReceivedReport
  {
    HostReport report;
    MonoTime receivedAt;
  };

  void OnTick();
  void SendReport();
  std::vector<HostName> CoordinatorCandidates() const;
  bool IsResponsive(const HostName& aHost) const;
  void AssignFreeRanges();
  void AssignFreeRanges(const ServiceName& aService);
  bool TargetsStable(const std::vector<Taker>& aTargets);
  void PlanMoves();
  void SuspectSilentHosts();
  void ReportTo(const HostName& aHost, const HostReport& aReport);
  void OnOrders(const HostName& aHost,
                MonoTime aSentAt,
                const HostOrders& aOrders);
  void RemoveSuspectedHosts();
  std::vector<Taker> PlacementTargetsOf(const ServiceName& aService) const;
  bool HasRecentReport(const HostName& aHost) const;
  LoadMap LoadOf(const ServiceName& aService) const;

  const Clock& m_clock;
  StateTaskBase& m_state;
  RangeServerTask& m_server;
  PeersTask& m_peers;
  const Logger& m_logger;
  Timer m_tick;
  std::set<ServiceName> m_sharded;
  std::map<HostName, ReceivedReport> m_reports;
  std::map<HostName, MonoTime>
    m_unansweredSince; ///< Since when a host is mute.
  std::map<HostName, HostOrders> m_pendingOrders;
  std::map<ServiceName, Rebalancer> m_rebalancers;
  std::map<HostName, MonoTime>
    m_hostFirstSeenAt; ///< When a host's record was read.
  std::map<int64_t, MonoTime>
    m_suspicionFirstSeenAt;    ///< When a suspicion was read.
  MonoTime m_targetsChangedAt; ///< When the number of targets last changed.
  size_t m_targetCount = 0;
  MonoTime m_startedAt;
  MonoTime m_lastPeerReportAt;
  int64_t m_configuration = 0;
  std::function<void(int64_t)> m_onPeerConfiguration;
  bool m_active = false;
  uint64_t m_ticks = 0;
};

}

#endif
