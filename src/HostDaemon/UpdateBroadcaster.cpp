#include "src/HostDaemon/UpdateBroadcaster.h"

#include <algorithm>
#include <random>
#include <utility>

namespace pistachioshift {

namespace {

/** Least interval between broadcasts; records that arrive in it are sent
 * together. */
constexpr Duration kBroadcastInterval = std::chrono::milliseconds(50);

/** Maximum delay before a configuration is sent to the coordinator. If many
 * hosts have read it at once, the first copy that arrives is sent to all others
 * within this time. */
constexpr Duration kMaxConfigurationDelay = std::chrono::milliseconds(250);

/** Longest records that are sent to other hosts; less than a frame. */
constexpr size_t kMaxConfigurationBytes = size_t{ 1024 } * 1024;

}

UpdateBroadcaster::UpdateBroadcaster(event_base* aBase,
                                     const Clock& aClock,
                                     StateTaskBase& aState,
                                     CoordinatorTask& aCoordinator,
                                     PeersTask& aPeers,
                                     RandomEngine& aRandom)
  : m_clock(aClock)
  , m_state(aState)
  , m_coordinator(aCoordinator)
  , m_peers(aPeers)
  , m_random(aRandom)
  , m_timer(aBase, [this] { Broadcast(); })
  , m_configurationTimer(aBase, [this] { SendConfigurationToCoordinator(); })
{
}

void
UpdateBroadcaster::OnAppended(const StateUpdate& aUpdate)
{
  if (m_coordinator.Active()) {
    return; // Broadcast once it has been applied.
  }
  const auto* coordinator = m_coordinator.Coordinator();
  if (coordinator == nullptr) {
    return;
  }
  StateReply update;
  update.next = aUpdate.next;
  update.entries = aUpdate.entries;
  m_peers.SendUpdate(coordinator->inner, update);
}

std::vector<Endpoint>
UpdateBroadcaster::RelayTargets(const StateReply& aUpdate) const
{
  std::vector<Endpoint> targets;
  for (const auto& name : aUpdate.relayTo) {
    const auto* host = m_state.State().FindHost(name);
    if (host != nullptr && name != m_state.Self()) {
      targets.push_back(host->inner);
    }
  }
  return targets;
}

void
UpdateBroadcaster::Relay(const StateReply& aUpdate)
{
  auto update = aUpdate;
  update.relayTo.clear();
  for (const auto& target : RelayTargets(aUpdate)) {
    m_peers.SendUpdate(target, update);
  }
}

void
UpdateBroadcaster::Relay(const ConfigurationUpdate& aUpdate)
{
  if (m_coordinator.Active() && aUpdate.records.relayTo.empty()) {
    // Another host has read it first; this one may be unable to.
    BroadcastConfiguration(RecordsOf(aUpdate));
    return;
  }
  auto update = aUpdate;
  update.records.relayTo.clear();
  for (const auto& target : RelayTargets(aUpdate.records)) {
    m_peers.SendConfiguration(target, update);
  }
}

std::vector<BroadcastGroup>
UpdateBroadcaster::Groups() const
{
  return PlanBroadcast(
    m_state.State(), m_state.Self(), [this](const HostRecord& aHost) {
      return !m_peers.HasRecentFailure(aHost.inner);
    });
}

std::optional<ConfigurationUpdate>
MakeConfigurationUpdate(const StoreRecords& aRecords)
{
  if (aRecords.entries.empty() && !aRecords.snapshot) {
    return std::nullopt;
  }
  ConfigurationUpdate update;
  update.records.next = aRecords.Next();
  update.records.snapshot = aRecords.snapshot;
  if (aRecords.snapshot) {
    update.records.entries = aRecords.entries;
  } else { // Each record is a whole configuration.
    update.records.entries = { aRecords.entries.back() };
  }
  size_t bytes = 0;
  for (const auto& entry : update.records.entries) {
    bytes += entry.key.size() + entry.value.value_or("").size();
  }
  if (bytes > kMaxConfigurationBytes) {
    return std::nullopt; // The others read them from the store.
  }
  return update;
}

void
UpdateBroadcaster::SendConfiguration(const HostName& aHost,
                                     const StoreRecords& aRecords)
{
  const auto update = MakeConfigurationUpdate(aRecords);
  const auto* host = m_state.State().FindHost(aHost);
  if (update && host != nullptr) {
    m_peers.SendConfiguration(host->inner, *update);
  }
}

void
UpdateBroadcaster::BroadcastConfiguration(const StoreRecords& aRecords)
{
  auto made = MakeConfigurationUpdate(aRecords);
  if (!made) {
    return;
  }
  auto& update = *made;
  if (!m_coordinator.Active()) {
    m_unsentConfiguration = update;
    if (!m_configurationTimer.Running()) {
      std::uniform_int_distribution<Duration::rep> delay(
        0, kMaxConfigurationDelay.count());
      m_configurationTimer.StartOnce(Duration(delay(m_random)));
    }
    return;
  }
  for (const auto& group : Groups()) {
    update.records.relayTo = group.members;
    m_peers.SendConfiguration(m_state.State().FindHost(group.relay)->inner,
                              update);
  }
}

void
UpdateBroadcaster::SendConfigurationToCoordinator()
{
  const auto update = std::exchange(m_unsentConfiguration, std::nullopt);
  const auto* coordinator = m_coordinator.Coordinator();
  if (update && coordinator != nullptr &&
      update->records.next > m_receivedConfiguration) {
    m_peers.SendConfiguration(coordinator->inner, *update);
  }
}

void
UpdateBroadcaster::OnStateChanged()
{
  if (!m_coordinator.Active()) {
    m_timer.Stop();
    m_sentEnd = m_state.End();
    return;
  }
  if (m_state.End() > m_sentEnd && !m_timer.Running()) {
    const auto next = m_sentAt + kBroadcastInterval;
    m_timer.StartOnce(std::max(next - m_clock.Now(), Duration{}));
  }
}

void
UpdateBroadcaster::Broadcast()
{
  const auto update = m_state.UpdateFrom(m_sentEnd);
  m_sentEnd = m_state.End();
  m_sentAt = m_clock.Now();
  if (!update || update->entries.empty()) {
    return; // Hosts learn from the replies to their reports.
  }
  StateReply frame;
  frame.next = update->next;
  frame.entries = update->entries;
  for (const auto& group : Groups()) {
    const auto* relay = m_state.State().FindHost(group.relay);
    frame.relayTo = group.members;
    m_peers.SendUpdate(relay->inner, frame);
  }
}

}
