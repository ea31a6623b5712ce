#ifndef PISTACHIOSHIFT_HOSTDAEMON_UPDATEBROADCASTER_H
#define PISTACHIOSHIFT_HOSTDAEMON_UPDATEBROADCASTER_H

#include <optional>

#include "src/Base/Random.h"
#include "src/Daemon/PeersTask.h"
#include "src/Daemon/Timer.h"
#include "src/HostDaemon/CoordinatorTask.h"
#include "src/HostDaemon/StateTask.h"

namespace pistachioshift {

/**
 * \brief Update with all records of a snapshot, else with the last one. Empty
 * if there is none, or they are too long to be sent: a part of them would make
 * the receiver skip the others.
 */
std::optional<ConfigurationUpdate> MakeConfigurationUpdate(
  const StoreRecords& aRecords);

/**
 * \brief Sends new records of the store to the other hosts.
 *
 * A host sends what it appends to the coordinator. The coordinator sends all
 * that it learns to one host of each group, which forwards it to the others of
 * its group. A host that misses an update notices it by the reply to its next
 * report.
 *
 * \sa PlanBroadcast
 */
class UpdateBroadcaster : public StateListener
{
public:
  UpdateBroadcaster(event_base* aBase,
                    const Clock& aClock,
                    StateTaskBase& aState,
                    CoordinatorTask& aCoordinator,
                    PeersTask& aPeers,
                    RandomEngine& aRandom);

  /** \brief Sends records that this host has appended. */
  void OnAppended(const StateUpdate& aUpdate);

  /** \brief Forwards an update to the hosts that it names. */
  void Relay(const StateReply& aUpdate);

  /**
   * \brief Sends records of the operator's configuration that this host has
   * read: the coordinator to all hosts, others to the coordinator after a
   * random delay, unless they receive it by then.
   */
  void BroadcastConfiguration(const StoreRecords& aRecords);

  /** \brief Sends configuration records to one host. */
  void SendConfiguration(const HostName& aHost, const StoreRecords& aRecords);

  /** \brief Tells that a configuration has arrived from another host. */
  void OnConfigurationReceived(const StorePosition& aNext)
  {
    m_receivedConfiguration = std::max(m_receivedConfiguration, aNext);
  }

  /** \brief Forwards a configuration to the hosts that it names, or, as
   * coordinator, one that another host has read to all. */
  void Relay(const ConfigurationUpdate& aUpdate);

  /** \brief Sends the records that this host has learnt as coordinator. */
  void OnStateChanged() override;

private:
  void Broadcast();
  void SendConfigurationToCoordinator();
  std::vector<BroadcastGroup> Groups() const;
  std::vector<Endpoint> RelayTargets(const StateReply& aUpdate) const;

  const Clock& m_clock;
  StateTaskBase& m_state;
  CoordinatorTask& m_coordinator;
  PeersTask& m_peers;
  RandomEngine& m_random;
  Timer m_timer;
  Timer m_configurationTimer;
  std::optional<ConfigurationUpdate> m_unsentConfiguration;
  /// End of the newest configuration that another host has sent.
  StorePosition m_receivedConfiguration;
  StorePosition m_sentEnd; ///< End of the records that need not be sent.
  MonoTime m_sentAt;
};

}

#endif
