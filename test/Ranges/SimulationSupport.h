#ifndef PISTACHIOSHIFT_TEST_RANGES_SIMULATIONSUPPORT_H
#define PISTACHIOSHIFT_TEST_RANGES_SIMULATIONSUPPORT_H

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "test/HostDaemon/FakeStore.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** Rules of the daemons in a Simulation; a weakened one must be noticed. */
struct ProtocolRules
{
  Duration takeoverWait = kTakeoverWait;
  bool checksLease = true;
  bool checksSuspicion = true; ///< A suspected host's lease isn't renewed.
  bool waitsForHolds =
    true; ///< Before it gives running a silent server's rows.
  bool waitsForRelease = true;    ///< Before it hands a range on.
  bool conditionalAppends = true; ///< Appends of the table name its end.
  bool increasesFences = true; ///< A range that changes hands gets a new one.
};

/** What Simulation::Run says of a day that broke no rule, but didn't recover.
 */
inline const std::string kNotRecovered = "keys are not served at the end";

class Simulation;

/** A backend server: it holds what it was granted until the grant runs out. */
struct SimulatedServer
{
  struct Hold
  {
    KeyRange range;
    Fence fence;
    MonoTime endsAt;
  };

  struct Request
  {
    ShardKey key;
    MonoTime endsAt;     ///< Of the request.
    MonoTime holdEndsAt; ///< Of the hold under which it began.
  };

  std::string name;
  int64_t startedAt = 0;
  bool running = false;
  double rate = 1.0; ///< Of its clock.
  int64_t sequence = 0;
  int64_t lastReply = 0; ///< Sequence of the newest reply taken.
  std::vector<Hold> holds;
  std::vector<Request> requests;
};

/** One process of a daemon. */
struct SimulatedDaemon
{
  SimulatedDaemon(std::string aHost, MonoTime aNow)
    : host(std::move(aHost))
    , grants(GrantSettings{}, aNow)
    , lastHeartbeat(aNow)
  {
  }

  bool Joined() const { return joined && end >= joinEnd; }

  std::string host;
  double rate = 1.0;
  bool dead = false;
  bool frozen = false;
  std::deque<std::function<void()>> deferred; ///< Until it is thawed.
  MeshState state;
  int64_t end = 0;
  Lease lease;
  GrantManager grants;
  HostRecord self;
  int64_t nextRead = 0; ///< In ms of the world.
  bool reading = false;
  bool writing = false;
  bool recordDirty = false;
  bool joined = false;
  int64_t joinEnd = 0;
  int64_t sequence = 0;
  MonoTime lastHeartbeat;
  std::map<int64_t, MonoTime> suspectedAt;
  std::map<std::string, MonoTime> lastReportAt;
  std::vector<std::pair<RangeHolder, Relinquished>> toReassign;
  std::vector<std::pair<RangeHolder, Relinquished>> inFlight;
  std::vector<StoreEntry> draft;
  int64_t draftAt = 0;
};

/** What stands between a host and the rest. */
struct SimulatedLinks
{
  bool reads = true;
  bool appends = true;
  bool reports = true;
  bool heartbeats = true;
};

/**
 * Hosts, their backend servers and the store in virtual time, under faults
 * drawn from a seed. Decisions are those of the ranges package.
 */
class Simulation
{
public:
  Simulation(uint32_t aSeed, const ProtocolRules& aRules);

  /** Plays the day; \return what broke first, empty if nothing. */
  std::string Run();

private:
  using DaemonPtr = std::shared_ptr<SimulatedDaemon>;

  struct Host
  {
    DaemonPtr daemon;
    SimulatedServer server;
    SimulatedLinks links;
    bool removed = false; ///< For good.
  };

  int64_t RandomInt(int64_t aLeast, int64_t aMost);
  void After(int64_t aMillis, std::function<void()> aAction);
  void Deliver(const DaemonPtr& aDaemon, std::function<void()> aAction);
  MonoTime LocalTime(double aRate) const;
  int64_t RandomDelay();
  bool FaultOccurs(int64_t aOneIn);

  void AddHost(const std::string& aName);
  void StartDaemon(const std::string& aHost);
  void KillDaemon(const std::string& aHost);
  void StartServer(const std::string& aHost);
  void PlanFaults();
  void PlanFault(int64_t aAt);
  void CrashAll();
  void EndFaults();

  void Tick(const DaemonPtr& aDaemon);
  void DeliverReports();
  void Read(const DaemonPtr& aDaemon);
  void ApplyRecords(SimulatedDaemon& aDaemon,
                    const std::vector<StoreEntry>& aEntries,
                    int64_t aNext);
  void RenewLease(SimulatedDaemon& aDaemon, MonoTime aSentAt);
  void Join(SimulatedDaemon& aDaemon);
  void Write(const DaemonPtr& aDaemon);
  void WriteRecord(const DaemonPtr& aDaemon);
  bool EditTable(SimulatedDaemon& aDaemon, TableDraft& aDraft);
  bool Coordinate(SimulatedDaemon& aDaemon, TableDraft& aDraft);
  void SendTable(const DaemonPtr& aDaemon);
  void OnTableReply(const DaemonPtr& aDaemon, const AppendReply& aReply);
  void Append(const DaemonPtr& aDaemon,
              const std::vector<StoreEntry>& aEntries,
              const AppendCondition& aCondition,
              const std::function<void(const AppendReply&)>& aDone);
  void ExpireSilentServer(SimulatedDaemon& aDaemon);
  void QueueRelinquished(SimulatedDaemon& aDaemon);
  void RevokeRandomRange(SimulatedDaemon& aDaemon);
  std::vector<RangeRow> RowsOf(const SimulatedDaemon& aDaemon,
                               const ServerIncarnation& aIncarnation) const;

  void SendHeartbeat(const std::string& aHost);
  HeartbeatReply OnHeartbeat(const DaemonPtr& aDaemon,
                             const ServerHeartbeat& aHeartbeat);
  void OnReply(Host& aHost,
               int64_t aSequence,
               MonoTime aSentAt,
               const HeartbeatReply& aReply);
  void RunRequests(Host& aHost);
  void CheckExclusive(const Host& aHost, const SimulatedServer::Hold& aHold);
  bool AllKeysHeld() const;

  std::mt19937 m_random;
  ProtocolRules m_rules;
  int64_t m_now = 0; // ms
  std::multimap<int64_t, std::function<void()>> m_events;
  FakeTopic m_topic;
  bool m_storeDown = false;
  bool m_faultsEnded = false; ///< No faults and no moves any more.
  std::map<std::string, Host> m_hosts;
  std::map<uint32_t, std::pair<int64_t, std::string>> m_fences; ///< By key.
  int64_t m_lastIncarnation = 1000;
  std::string m_violation;
};

}

#endif
