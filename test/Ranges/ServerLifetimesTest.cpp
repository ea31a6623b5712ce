#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** One start of the backend server, as it really is. */
struct Lifetime
{
  ServerIncarnation incarnation;
  int64_t sequence = 0;
  bool draining = false; ///< It says so in its heartbeats.
  bool leaves = false;   ///< It does not answer a health check that it runs.
  std::optional<MonoTime> acknowledgedAt; ///< Of its leave.
};

struct SentHeartbeat
{
  ServerHeartbeat heartbeat;
  MonoTime at;
};

/** What a daemon knows; a process that is killed loses it. */
struct DaemonProcess
{
  explicit DaemonProcess(MonoTime aNow)
    : grants(GrantSettings{}, aNow)
  {
  }

  GrantManager grants;
  ServerPresence presence{ PresenceSettings{} };
  bool earlierProcess = false;
};

/**
 * A backend server that is started again and again under a few ids, and the
 * daemon on its host. Heartbeats are lost, late or repeated, the daemon is
 * killed, its record is not written, and the time of day is set back.
 */
class ServerLifetimes
{
public:
  ServerLifetimes()
    : m_daemon(std::make_unique<DaemonProcess>(m_clock.Now()))
  {
    StartServer();
  }

  enum class Kind
  {
    kStart,
    kCrash,
    kHeartbeat,
    kHeldUpHeartbeat,
    kLateHeartbeat,
    kLeave,
    kDraining,
    kLateLeave,
    kRestartDaemon,
    kWriteRecord,
    kCheckHealth,
    kStepClock,
    kWait,
  };

  /** \param aNumber chooses among what a step of this kind may do. */
  void Step(Kind aKind, size_t aNumber)
  {
    m_number = aNumber;
    switch (aKind) {
      case Kind::kStart:
        return StartServer();
      case Kind::kCrash:
        m_running.reset();
        return;
      case Kind::kHeartbeat:
        return SendHeartbeat(false);
      case Kind::kHeldUpHeartbeat:
        return SendHeartbeat(true);
      case Kind::kLateHeartbeat:
        return DeliverLate();
      case Kind::kLeave:
        return Leave();
      case Kind::kDraining:
        return BeginDraining();
      case Kind::kLateLeave:
        return Deliver(m_lastLeave);
      case Kind::kRestartDaemon:
        return RestartDaemon();
      case Kind::kWriteRecord:
        return WriteRecord();
      case Kind::kCheckHealth:
        return CheckHealth();
      case Kind::kStepClock:
        m_offset += milliseconds(static_cast<int>(aNumber % 5000) - 2500);
        return;
      case Kind::kWait:
        m_clock.Advance(milliseconds(10 + aNumber % 1600));
    }
  }

  /** Whether a request may reach the server after its leave. */
  bool BreaksLeave() const
  {
    const auto& presence = m_daemon->presence;
    const auto& current = m_daemon->grants.Incarnation();
    const auto now = m_clock.Now();
    const bool sends = current && m_running &&
                       current->id == m_running->incarnation.id &&
                       presence.Proven() && !presence.Drained(now);
    return sends && m_running->acknowledgedAt &&
           now >= *m_running->acknowledgedAt + PresenceSettings{}.drainTime;
  }

  /** Whether a server that runs is used as soon as it has answered a check. */
  bool UsesHealthyServer() const
  {
    const auto& current = m_daemon->grants.Incarnation();
    const bool heard =
      m_running && !m_running->leaves && current == m_running->incarnation;
    if (!heard || m_daemon->presence.Left()) {
      return true;
    }
    auto presence = m_daemon->presence;
    presence.OnHealthy();
    return presence.Proven() && !presence.Drained(m_clock.Now());
  }

private:
  WallTime Wall() const { return m_clock.WallNow() + m_offset; }

  void StartServer()
  {
    if (m_running) {
      return;
    }
    const auto id = std::to_string(m_number % 2);
    const ServerIncarnation incarnation{ ServerId(id), Wall() };
    m_running = Lifetime{ incarnation };
    m_clock.Advance(milliseconds(1)); // No two start times are the same.
  }

  void BeginDraining()
  {
    if (m_running) {
      m_running->draining = m_running->leaves = true;
    }
  }

  void SendHeartbeat(bool aHeldUp)
  {
    if (!m_running) {
      return;
    }
    ServerHeartbeat heartbeat;
    heartbeat.incarnation = m_running->incarnation;
    heartbeat.sequence = ++m_running->sequence;
    heartbeat.state =
      m_running->draining ? ServerState::kDraining : ServerState::kReady;
    // A server that has left without saying so before sends no more.
    if (m_running->leaves && !m_running->draining) {
      return;
    }
    m_sent.push_back({ heartbeat, m_clock.Now() });
    if (!aHeldUp) {
      Deliver(heartbeat);
    }
  }

  void DeliverLate()
  {
    std::erase_if(m_sent, [&](const SentHeartbeat& aItem) {
      return m_clock.Now() - aItem.at >= PresenceSettings{}.maxHeartbeatDelay;
    });
    if (!m_sent.empty()) {
      Deliver(m_sent[m_number % m_sent.size()].heartbeat);
    }
  }

  void Deliver(const ServerHeartbeat& aHeartbeat)
  {
    auto& [grants, presence, earlierProcess] = *m_daemon;
    auto heartbeat = aHeartbeat;
    const auto now = m_clock.Now();
    const ServerLeave leave{ heartbeat.incarnation.id,
                             heartbeat.incarnation.startedAt };
    const bool draining = heartbeat.state == ServerState::kDraining;
    if (draining) {
      Acknowledge(heartbeat.incarnation);
    }
    if (grants.IsStale(heartbeat)) {
      if (draining) {
        presence.OnLeave(leave, now, Wall());
      }
      return;
    }
    if (grants.Incarnation() != heartbeat.incarnation) {
      presence.Begin(heartbeat.incarnation, now);
    }
    if (draining) {
      presence.OnLeave(leave, now, Wall());
    }
    grants.OnHeartbeat(heartbeat, {}, seconds(6), now);
    presence.OnHeartbeat(earlierProcess, now);
  }

  /** With or without its start time. */
  void Leave()
  {
    if (!m_running) {
      return;
    }
    m_running->leaves = true;
    m_lastLeave = ServerLeave{ m_running->incarnation.id };
    if (m_number % 2 == 0) {
      m_lastLeave->startedBy = m_running->incarnation.startedAt;
    }
    Acknowledge(m_running->incarnation);
    Deliver(m_lastLeave);
  }

  void Deliver(const std::optional<ServerLeave>& aLeave)
  {
    if (aLeave) {
      m_daemon->presence.OnLeave(*aLeave, m_clock.Now(), Wall());
    }
  }

  void Acknowledge(const ServerIncarnation& aIncarnation)
  {
    const bool first = m_running && !m_running->acknowledgedAt &&
                       m_running->incarnation == aIncarnation;
    if (first) {
      m_running->acknowledgedAt = m_clock.Now();
    }
  }

  void RestartDaemon()
  {
    m_daemon = std::make_unique<DaemonProcess>(m_clock.Now());
    m_daemon->earlierProcess = true;
    if (!m_record) {
      return;
    }
    const auto& [incarnation, left] = *m_record;
    m_daemon->grants.Adopt(incarnation);
    m_daemon->presence.Begin(incarnation, m_clock.Now());
    if (left) {
      m_daemon->presence.OnLeave(
        { incarnation.id, incarnation.startedAt }, m_clock.Now(), Wall());
    }
  }

  void WriteRecord()
  {
    if (const auto& current = m_daemon->grants.Incarnation()) {
      m_record = std::pair(*current, m_daemon->presence.Left());
    }
  }

  void CheckHealth()
  {
    const auto& current = m_daemon->grants.Incarnation();
    const bool healthy = m_running && !m_running->leaves && current &&
                         current->id == m_running->incarnation.id;
    if (healthy && !m_daemon->presence.Left()) {
      m_daemon->presence.OnHealthy();
    }
  }

  ManualClock m_clock;
  size_t m_number = 0;
  milliseconds m_offset{ 0 };
  std::optional<Lifetime> m_running;
  std::vector<SentHeartbeat> m_sent;
  std::optional<ServerLeave> m_lastLeave;
  std::unique_ptr<DaemonProcess> m_daemon;
  std::optional<std::pair<ServerIncarnation, bool>> m_record;
};

/** Guards against any sequence of starts, leaves, late heartbeats and restarts
 * after which a server that has left is sent requests. */
RC_GTEST_PROP(ServerLifetimesTest, Step_AnySequence_BreaksNoLeave, ())
{
  using Kind = ServerLifetimes::Kind;
  constexpr size_t kSteps = 20000;
  constexpr size_t kNumbers = 100000;
  // By default, RapidCheck begins with short sequences of small numbers.
  const auto steps =
    *rc::gen::resize(rc::kNominalSize,
                     rc::gen::container<std::vector<std::pair<Kind, size_t>>>(
                       kSteps,
                       rc::gen::pair(rc::gen::weightedElement<Kind>(
                                       { { 4, Kind::kStart },
                                         { 2, Kind::kCrash },
                                         { 4, Kind::kHeartbeat },
                                         { 3, Kind::kHeldUpHeartbeat },
                                         { 5, Kind::kLateHeartbeat },
                                         { 2, Kind::kLeave },
                                         { 1, Kind::kDraining },
                                         { 1, Kind::kLateLeave },
                                         { 2, Kind::kRestartDaemon },
                                         { 1, Kind::kWriteRecord },
                                         { 2, Kind::kCheckHealth },
                                         { 2, Kind::kStepClock },
                                         { 6, Kind::kWait } }),
                                     rc::gen::inRange<size_t>(0, kNumbers))));
  ServerLifetimes world;
  for (const auto& [kind, number] : steps) {
    world.Step(kind, number);
    RC_ASSERT(!world.BreaksLeave());
    RC_ASSERT(world.UsesHealthyServer());
  }
}

}
