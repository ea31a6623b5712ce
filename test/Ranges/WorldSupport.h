#ifndef PISTACHIOSHIFT_TEST_RANGES_WORLDSUPPORT_H
#define PISTACHIOSHIFT_TEST_RANGES_WORLDSUPPORT_H

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

/** Rules of the daemons in a World; a weakened one must be noticed. */
struct WorldRules
{
  Duration takeoverWait = kTakeoverWait;
  bool heedsLease = true;
  bool heedsSuspicion = true;  ///< A suspected host's lease isn't renewed.
  bool waitsForHolds = true;   ///< Before it gives up a silent server's rows.
  bool waitsForRelease = true; ///< Before it hands a range on.
  bool conditional = true;     ///< Appends of the table name its end.
  bool freshFences = true;     ///< A range that changes hands gets a new one.
};

/** What World::Play says of a day that broke no rule, but didn't recover. */
inline const std::string kNotServed = "keys are not served at the end";

class World;

/** A backend server: it holds what it was granted until the grant runs out. */
struct WorldServer
{
  struct Hold
  {
    KeyRange range;
    Fence fence;
    MonoTime ends;
  };

  struct Work
  {
    ShardKey key;
    MonoTime ends;     ///< Of the work.
    MonoTime holdEnds; ///< Of the hold under which it began.
  };

  std::string name;
  int64_t startedAt = 0;
  bool up = false;
  double rate = 1.0; ///< Of its clock.
  int64_t sequence = 0;
  int64_t answered = 0; ///< Sequence of the newest reply taken.
  std::vector<Hold> holds;
  std::vector<Work> works;
};

/** One process of a daemon. */
struct WorldDaemon
{
  WorldDaemon(std::string aHost, MonoTime aNow)
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
  std::map<std::string, MonoTime> heardAt;
  std::vector<std::pair<RangeHolder, Relinquished>> toHandOn;
  std::vector<std::pair<RangeHolder, Relinquished>> inFlight;
  std::vector<StoreEntry> draft;
  int64_t draftAt = 0;
};

/** What stands between a host and the rest. */
struct WorldLinks
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
class World
{
public:
  World(uint32_t aSeed, const WorldRules& aRules);

  /** Plays the day; \return what broke first, empty if nothing. */
  std::string Play();

private:
  using DaemonPtr = std::shared_ptr<WorldDaemon>;

  struct Host
  {
    DaemonPtr daemon;
    WorldServer server;
    WorldLinks links;
    bool gone = false; ///< For good.
  };

  int64_t Draw(int64_t aLeast, int64_t aMost);
  void After(int64_t aMillis, std::function<void()> aAction);
  void Deliver(const DaemonPtr& aDaemon, std::function<void()> aAction);
  MonoTime Local(double aRate) const;
  int64_t Delay();
  bool Fails(int64_t aOneIn);

  void AddHost(const std::string& aName);
  void StartDaemon(const std::string& aHost);
  void KillDaemon(const std::string& aHost);
  void StartServer(const std::string& aHost);
  void PlanFaults();
  void PlanFault(int64_t aAt);
  void LoseAll();
  void Heal();

  void Tick(const DaemonPtr& aDaemon);
  void Reports();
  void Read(const DaemonPtr& aDaemon);
  void Take(WorldDaemon& aDaemon,
            const std::vector<StoreEntry>& aEntries,
            int64_t aNext);
  void Confirm(WorldDaemon& aDaemon, MonoTime aSentAt);
  void Join(WorldDaemon& aDaemon);
  void Write(const DaemonPtr& aDaemon);
  void WriteRecord(const DaemonPtr& aDaemon);
  bool Edit(WorldDaemon& aDaemon, TableDraft& aDraft);
  bool Coordinate(WorldDaemon& aDaemon, TableDraft& aDraft);
  void SendTable(const DaemonPtr& aDaemon);
  void OnTable(const DaemonPtr& aDaemon, const AppendReply& aReply);
  void Append(const DaemonPtr& aDaemon,
              const std::vector<StoreEntry>& aEntries,
              const AppendCondition& aCondition,
              const std::function<void(const AppendReply&)>& aDone);
  void SilentServer(WorldDaemon& aDaemon);
  void HandOnLater(WorldDaemon& aDaemon);
  void MoveSomething(WorldDaemon& aDaemon);
  std::vector<RangeRow> RowsOf(const WorldDaemon& aDaemon,
                               const ServerIncarnation& aIncarnation) const;

  void Beat(const std::string& aHost);
  HeartbeatReply OnBeat(const DaemonPtr& aDaemon, const ServerHeartbeat& aBeat);
  void OnReply(Host& aHost,
               int64_t aSequence,
               MonoTime aSentAt,
               const HeartbeatReply& aReply);
  void Work(Host& aHost);
  void CheckTaken(const Host& aTaker, const WorldServer::Hold& aHold);
  bool AllHeld() const;

  std::mt19937 m_random;
  WorldRules m_rules;
  int64_t m_now = 0; // ms
  std::multimap<int64_t, std::function<void()>> m_events;
  FakeTopic m_topic;
  bool m_storeDown = false;
  bool m_healed = false; ///< No faults and no moves any more.
  std::map<std::string, Host> m_hosts;
  std::map<uint32_t, std::pair<int64_t, std::string>> m_fences; ///< By key.
  int64_t m_births = 1000;
  std::string m_broken;
};

}

#endif
