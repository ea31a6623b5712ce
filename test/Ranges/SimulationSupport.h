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

/**
 * Rules that the simulated daemons follow. The checks of a Simulation must
 * detect each weakened rule.
 */
struct ProtocolRules
{
  Duration takeoverWait = kTakeoverWait;
  bool checksLease = true;
  bool checksSuspicion = true; ///< While suspected, no lease is renewed.
  bool waitsForHolds = true;   ///< Until a silent server's holds have expired.
  bool waitsForRelease = true; ///< Before a range is reassigned.
  bool conditionalAppends = true; ///< With the expected end of the topic.
  bool increasesFences = true;    ///< With each assignment.
  bool checksReleaseEpoch = true; ///< When writing another host's release.
  /// Time until rows that nobody claims after a return of the store are free.
  Duration settleWait = kTakeoverWait;
  bool claimsUnderLease = true;     ///< No rows are claimed without a lease.
  bool claimsHeldOnly = true;       ///< No rows that were relinquished.
  bool skipsLostFences = true;      ///< After a return of the store.
  bool requiresConfirmation = true; ///< Of rows, before they are granted.
};

/** Result of Simulation::Run if keys stay unserved, without a violation. */
inline const std::string kNotRecovered = "keys are not served at the end";

class Simulation;

/** Backend server; it holds each granted range until the grant expires. */
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
    MonoTime endsAt;     ///< End of the request.
    MonoTime holdEndsAt; ///< End of the hold under which it started.
  };

  std::string name;
  int64_t startedAt = 0;
  bool running = false;
  double rate = 1.0; ///< Rate of its clock.
  int64_t sequence = 0;
  int64_t lastReply = 0; ///< Sequence number of the last applied reply.
  std::vector<Hold> holds;
  std::vector<Request> requests;
};

/** Process of a daemon. */
struct SimulatedDaemon
{
  SimulatedDaemon(std::string aHost, MonoTime aNow)
    : host(std::move(aHost))
    , grants(GrantSettings{}, aNow)
    , lastHeartbeat(aNow)
  {
  }

  /** What a daemon acts on until its rows are confirmed after a return. */
  struct EarlierState
  {
    MeshState state;
    Lease lease;
  };

  bool Joined() const { return joined && end >= joinEnd; }
  const MeshState& Acting() const { return earlier ? earlier->state : state; }
  const Lease& ActingLease() const { return earlier ? earlier->lease : lease; }

  std::string host;
  double rate = 1.0;
  bool dead = false;
  bool frozen = false;
  std::deque<std::function<void()>> deferred; ///< Run once it is unfrozen.
  MeshState state;
  StoreEra era;
  MonoTime eraSince;
  std::optional<EarlierState> earlier;
  int64_t end = 0;
  bool repeatsReleases = false; ///< Until the table is settled.
  int64_t recordEnd = 0; ///< After the record written in this era; 0: none.
  Lease lease;
  GrantManager grants;
  HostRecord self;
  int64_t nextRead = 0; ///< In ms of simulated time.
  bool reading = false;
  bool writing = false;
  bool recordDirty = false;
  bool joined = false;
  int64_t joinEnd = 0;
  int64_t writerEpoch = 0;
  int64_t sequence = 0;
  std::optional<StoreEntry> unconfirmed; ///< Append with unknown outcome.
  MonoTime lastHeartbeat;
  std::map<int64_t, MonoTime> suspectedAt;
  std::map<std::string, MonoTime> lastReportAt;
  std::vector<RangeRelease> toReassign;
  std::vector<RangeRelease> inFlight;
  std::vector<StoreEntry> draft;
  int64_t draftAt = 0;
};

/** Which messages between a host and other processes arrive. */
struct SimulatedLinks
{
  bool reads = true;
  bool appends = true;
  bool reports = true;
  bool heartbeats = true;
};

/**
 * Simulates hosts, their backend servers and the store in virtual time, with
 * random faults that are determined by a seed. The daemons decide by the code
 * of the ranges package.
 */
class Simulation
{
public:
  /** \param aReturns whether the store comes back from copies of itself. */
  Simulation(uint32_t aSeed,
             const ProtocolRules& aRules,
             bool aReturns = false);

  /** Runs the simulation; \return the first violation, empty if none. */
  std::string Run();

private:
  using DaemonPtr = std::shared_ptr<SimulatedDaemon>;

  struct Host
  {
    DaemonPtr daemon;
    SimulatedServer server;
    SimulatedLinks links;
    bool removed = false; ///< The host never returns.
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
  void PlanReturn(int64_t aAt);
  void CrashAll();
  void EndFaults();

  void Tick(const DaemonPtr& aDaemon);
  void DeliverReports();
  void Read(const DaemonPtr& aDaemon);
  void ApplyRecords(SimulatedDaemon& aDaemon,
                    const std::vector<StoreEntry>& aEntries,
                    int64_t aNext);
  void RenewLease(SimulatedDaemon& aDaemon, MonoTime aSentAt);
  void BeginEra(SimulatedDaemon& aDaemon, StoreEra aEra);
  void CheckReturn(const DaemonPtr& aDaemon);
  void RepeatReleases(SimulatedDaemon& aDaemon) const;
  bool ConfirmRows(const SimulatedDaemon& aDaemon, RangeTable& aTable) const;
  void Join(SimulatedDaemon& aDaemon);
  void Write(const DaemonPtr& aDaemon);
  void WriteRecord(const DaemonPtr& aDaemon);
  bool EditTable(SimulatedDaemon& aDaemon, TableDraft& aDraft);
  bool Coordinate(SimulatedDaemon& aDaemon, TableDraft& aDraft);
  void SendTable(const DaemonPtr& aDaemon);
  void OnTableReply(const DaemonPtr& aDaemon,
                    StoreEra aEra,
                    const AppendReply& aReply);
  void Append(const DaemonPtr& aDaemon,
              const std::vector<StoreEntry>& aEntries,
              const AppendCondition& aCondition,
              const std::function<void(const AppendReply&)>& aDone);
  void ExpireSilentServer(const DaemonPtr& aDaemon);
  void QueueRelinquished(const DaemonPtr& aDaemon);
  void SendRelease(const DaemonPtr& aDaemon, const RangeRelease& aRelease);
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
  bool m_returns;
  int64_t m_now = 0; // ms
  std::multimap<int64_t, std::function<void()>> m_events;
  FakeTopic m_topic;
  bool m_storeDown = false;
  bool m_faultsEnded = false; ///< No more faults and moves.
  std::map<std::string, Host> m_hosts;
  /// Highest fence of each key, and its holder.
  std::map<uint32_t, std::pair<int64_t, std::string>> m_fences;
  int64_t m_lastIncarnation = 1000;
  std::string m_violation;
};

}

#endif
