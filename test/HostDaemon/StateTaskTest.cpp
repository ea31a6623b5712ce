#include <gtest/gtest.h>

#include <memory>

#include "src/HostDaemon/StateTask.h"
#include "test/HostDaemon/FakeStore.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** The StateTask of one daemon, with its own connection to the store. */
struct Host
{
  Host(event_base* aBase,
       const Clock& aClock,
       const Logger& aLogger,
       FakeTopic& aTopic,
       const std::string& aName,
       Duration aMaxStaleness)
    : store(aBase, aTopic)
    , task(aBase,
           aClock,
           aLogger,
           store,
           RecordOf(aName),
           StateTaskSettings{ .pollInterval = milliseconds(5),
                              .retryDelay = milliseconds(5),
                              .maxStaleness = aMaxStaleness })
  {
  }

  FakeStore store;
  StateTask<FakeStore> task;
};

class StateTaskTest : public ::testing::Test
{
protected:
  ~StateTaskTest() override
  {
    m_hosts.clear();
    event_base_free(m_base);
  }

  Host& Start(const std::string& aName,
              Duration aMaxStaleness = milliseconds(5))
  {
    auto& host = Make(aName, aMaxStaleness);
    host.task.Start();
    RunLoop();
    return host;
  }

  Host& Make(const std::string& aName, Duration aMaxStaleness = milliseconds(5))
  {
    m_hosts.push_back(std::make_unique<Host>(
      m_base, m_clock, m_logger, m_topic, aName, aMaxStaleness));
    return *m_hosts.back();
  }

  void RunLoop(Duration aFor = milliseconds(60))
  {
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(aFor).count();
    const timeval wait{ 0, static_cast<suseconds_t>(micros) };
    event_base_loopexit(m_base, &wait);
    event_base_dispatch(m_base);
  }

  static StateTaskBase::Edit Assign(const KeyRange& aRange,
                                    const std::string& aHost)
  {
    return [aRange, aHost](TableDraft& aDraft, const MeshState&) {
      const auto* row = aDraft.table.Find(kOrders, ShardKey(aRange.first));
      if (row->holder == HolderOf(aHost)) {
        return false;
      }
      aDraft.table.Assign(kOrders, aRange, HolderOf(aHost), {});
      return true;
    };
  }

  /** Status of another life of the backend server of a host. */
  static ServerStatus LifeOf(const std::string& aHost, int64_t aStartedAt)
  {
    return { IncarnationOf("server-" + aHost, aStartedAt), 9 };
  }

  /** The server of a host, as a host that starts now reads it. */
  std::optional<ServerStatus> StoredServer(const std::string& aHost) const
  {
    MeshState state;
    for (const auto& entry : m_topic.From(0).entries) {
      state.Apply(entry);
    }
    const auto* host = state.FindHost(HostName(aHost));
    return host == nullptr ? std::nullopt : host->server;
  }

  /** Position in the only era of the topic. */
  static StorePosition At(int64_t aOffset) { return { StoreEra(1), aOffset }; }

  static HostName HolderAt(const Host& aHost, uint32_t aKey)
  {
    return aHost.task.State()
      .Table()
      .Find(kOrders, ShardKey(aKey))
      ->holder.host;
  }

  event_base* m_base = event_base_new();
  SystemClock m_clock;
  Logger m_logger{ "test", LogLevel::kError };
  FakeTopic m_topic;
  std::vector<std::unique_ptr<Host>> m_hosts;
};

TEST_F(StateTaskTest, Join_TwoHosts_KnowEachOther)
{
  auto& a = Start("a");
  auto& b = Start("b");
  RunLoop();
  EXPECT_TRUE(a.task.Joined());
  EXPECT_TRUE(b.task.Joined());
  EXPECT_NE(a.task.State().FindHost(HostName("b")), nullptr);
  EXPECT_NE(b.task.State().FindHost(HostName("a")), nullptr);
}

TEST_F(StateTaskTest, SubmitEdit_ConcurrentEdits_BothAreApplied)
{
  auto& a = Start("a");
  auto& b = Start("b");
  RunLoop();
  a.task.SubmitEdit("a", Assign({ 0, 9 }, "a"));
  b.task.SubmitEdit("b", Assign({ 10, 19 }, "b"));
  RunLoop();
  for (const auto* host : { &a, &b }) {
    EXPECT_EQ(HolderAt(*host, 0), HostName("a"));
    EXPECT_EQ(HolderAt(*host, 10), HostName("b"));
  }
}

/**
 * Guards against a read of the store after every conflict of concurrent
 * writers: the daemon that won sends its records, so the loser needs only a new
 * append.
 */
TEST_F(StateTaskTest, SubmitEdit_ConflictAndPeerSendsUpdate_StoreIsNotRead)
{
  auto& a = Start("a", std::chrono::seconds(2));
  auto& b = Start("b", std::chrono::seconds(2));
  a.task.ApplyPeerUpdate(b.task.UpdateFrom(a.task.End())->entries,
                         b.task.End());
  std::vector<StateUpdate> sent;
  b.task.SetOnAppended(
    [&sent](const StateUpdate& aUpdate) { sent.push_back(aUpdate); });
  const auto before = a.store.reads;
  b.task.SubmitEdit("give", Assign({ 0, 9 }, "b"));
  a.task.SubmitEdit("give", Assign({ 100, 109 }, "a"));
  RunLoop(milliseconds(20));
  ASSERT_EQ(sent.size(), 1U);
  a.task.ApplyPeerUpdate(sent.front().entries, sent.front().next);
  RunLoop(milliseconds(50));
  EXPECT_EQ(HolderAt(a, 5), HostName("b"));
  EXPECT_EQ(HolderAt(a, 105), HostName("a"));
  EXPECT_EQ(a.store.reads, before);
}

TEST_F(StateTaskTest, SubmitEdit_ReplyLost_IsAppliedOnce)
{
  auto& a = Start("a");
  a.store.lostReplies = 1;
  a.task.SubmitEdit("a", Assign({ 0, 9 }, "a"));
  RunLoop();
  EXPECT_EQ(HolderAt(a, 0), HostName("a"));
  EXPECT_EQ(a.task.State().Table().revision, 1);
}

TEST_F(StateTaskTest, SubmitEdit_StoreUnavailable_IsAppliedAfterRecovery)
{
  auto& a = Start("a");
  a.store.down = true;
  a.task.SubmitEdit("a", Assign({ 0, 9 }, "a"));
  RunLoop();
  EXPECT_EQ(HolderAt(a, 0), HostName());
  a.store.down = false;
  RunLoop();
  EXPECT_EQ(HolderAt(a, 0), HostName("a"));
}

TEST_F(StateTaskTest, SubmitEdit_DelayedAppendOfDeadProcess_IsRejected)
{
  auto& before = Start("a");
  before.store.captureAppends = true;
  before.task.SubmitEdit("late", Assign({ 0, 9 }, "b"));
  RunLoop();
  ASSERT_EQ(before.store.captured.size(), 1U);
  auto late = before.store.captured.front();
  before.store.down = true;
  auto& after = Start("a");
  ASSERT_TRUE(after.task.Joined());
  const auto reply = m_topic.Append(late.first, late.second);
  EXPECT_EQ(reply.verdict, AppendVerdict::kConflict);
}

TEST_F(StateTaskTest, Join_ServerRecordOfEarlierProcess_IsAdopted)
{
  Start("a");
  m_hosts.front()->store.down = true;
  auto& after = Make("a");
  after.task.Start();
  RunLoop();
  ASSERT_TRUE(after.task.OwnRecord().server);
  EXPECT_EQ(after.task.OwnRecord().server->incarnation,
            IncarnationOf("server-a"));
  EXPECT_GT(after.task.OwnRecord().epoch, 1);
}

/**
 * Guards against two holders of a key: a record is sent under the number of an
 * earlier one whose append the store has done without an answer, and the store
 * takes it for a repeat and keeps the earlier record.
 */
TEST_F(StateTaskTest, PublishServer_EarlierAppendWasNotAnswered_LatestIsStored)
{
  auto& a = Start("a");
  auto& b = Start("b");
  a.store.lostReplies = 1;
  a.task.PublishServer(LifeOf("a", 2000));
  a.task.PublishServer(LifeOf("a", 3000));
  RunLoop();
  EXPECT_EQ(StoredServer("a"), LifeOf("a", 3000));
  EXPECT_EQ(a.task.State().FindHost(HostName("a"))->server, LifeOf("a", 3000));
  EXPECT_EQ(b.task.State().FindHost(HostName("a"))->server, LifeOf("a", 3000));
}

/** Same; the earlier append is done seconds later, before the next one. */
TEST_F(StateTaskTest, PublishServer_EarlierAppendIsDoneLate_LatestIsStored)
{
  auto& a = Start("a");
  a.store.lateAppends = 1;
  a.task.PublishServer(LifeOf("a", 2000));
  a.task.PublishServer(LifeOf("a", 3000));
  a.store.RunLateAppends();
  RunLoop();
  EXPECT_EQ(StoredServer("a"), LifeOf("a", 3000));
}

/** Same; the earlier append is done after the next one. */
TEST_F(StateTaskTest, PublishServer_EarlierAppendIsDoneLast_LatestIsStored)
{
  auto& a = Start("a");
  a.store.lateAppends = 1;
  a.task.PublishServer(LifeOf("a", 2000));
  a.task.PublishServer(LifeOf("a", 3000));
  RunLoop();
  a.store.RunLateAppends();
  RunLoop();
  EXPECT_EQ(StoredServer("a"), LifeOf("a", 3000));
}

/** Same; a refusal says nothing about the earlier append. */
TEST_F(StateTaskTest, PublishServer_RefusedAfterAnUnanswered_LatestIsStored)
{
  auto& a = Start("a");
  a.store.lateAppends = 1;
  a.task.PublishServer(LifeOf("a", 2000));
  RunLoop(milliseconds(2));
  a.store.down = true;
  RunLoop(milliseconds(30));
  a.store.RunLateAppends();
  a.task.PublishServer(LifeOf("a", 3000));
  a.store.down = false;
  RunLoop();
  EXPECT_EQ(StoredServer("a"), LifeOf("a", 3000));
}

TEST_F(StateTaskTest, PublishServer_ReplyLost_IsStoredOnceAndSentToPeers)
{
  auto& a = Start("a");
  std::vector<StateUpdate> sent;
  a.task.SetOnAppended(
    [&sent](const StateUpdate& aUpdate) { sent.push_back(aUpdate); });
  const auto before = m_topic.End();
  a.store.lostReplies = 1;
  a.task.PublishServer(LifeOf("a", 2000));
  RunLoop();
  EXPECT_EQ(m_topic.End(), before + 1);
  EXPECT_EQ(StoredServer("a"), LifeOf("a", 2000));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent.front().entries.front().offset, before);
}

TEST_F(StateTaskTest, PublishServer_ReplyLost_ReleasesKeepTheirEpoch)
{
  auto& a = Start("a");
  const auto epoch = a.task.OwnRecord().epoch;
  a.store.lostReplies = 1;
  a.task.PublishServer(LifeOf("a", 2000));
  a.task.PublishServer(LifeOf("a", 3000));
  RunLoop();
  EXPECT_EQ(a.task.State().FindHost(HostName("a"))->epoch, epoch);
}

/** An append of the earlier process that is done late must not stay. */
TEST_F(StateTaskTest, Join_FirstAppendOfEarlierProcessIsDoneLate_IsReplaced)
{
  auto& before = Make("a");
  before.store.lateAppends = 1;
  before.task.Start();
  RunLoop(milliseconds(2));
  before.store.down = true;
  auto& after = Make("a");
  after.task.Start();
  RunLoop();
  ASSERT_TRUE(after.task.Joined());
  after.task.PublishServer(LifeOf("a", 3000));
  before.store.RunLateAppends();
  RunLoop();
  EXPECT_EQ(StoredServer("a"), LifeOf("a", 3000));
}

TEST_F(StateTaskTest, ApplyEntries_OwnRecordDiffers_IsWrittenAgain)
{
  auto& a = Start("a");
  a.task.PublishServer(LifeOf("a", 3000));
  RunLoop();
  auto other = a.task.OwnRecord();
  other.server = LifeOf("a", 2000);
  m_topic.Append({ EncodeHost(other) }, ExpectedEnd{ m_topic.End() });
  RunLoop();
  EXPECT_EQ(StoredServer("a"), LifeOf("a", 3000));
}

/** Guards against two holders of a key after a restart with an old record. */
TEST_F(StateTaskTest, Join_StoredRecordIsOlderThanTheTable_LaterLifeIsAdopted)
{
  Start("a");
  m_hosts.front()->store.down = true;
  RangeTable table;
  table.era = StoreEra(1);
  table.Assign(kOrders,
               KeyRange{},
               RangeHolder{ HostName("a"), IncarnationOf("server-a", 5000) },
               {});
  m_topic.Append({ EncodeTable(table) }, ExpectedEnd{ m_topic.End() });
  auto& after = Start("a");
  ASSERT_TRUE(after.task.Joined());
  EXPECT_EQ(after.task.OwnRecord().server->incarnation,
            IncarnationOf("server-a", 5000));
  EXPECT_NE(
    after.task.State().HolderOf(after.task.State().Table().RowsOf(kOrders)[0]),
    nullptr);
}

TEST_F(StateTaskTest, Suspicion_OfRunningHost_IsRefuted)
{
  auto& a = Start("a");
  auto& b = Start("b");
  RunLoop();
  a.task.SubmitEdit("suspect", [](TableDraft& aDraft, const MeshState&) {
    aDraft.table.Suspect(HostName("b"));
    return true;
  });
  RunLoop();
  EXPECT_FALSE(a.task.State().Suspected(HostName("b")));
  EXPECT_EQ(b.task.OwnRecord().refutedUpTo, 1);
}

TEST_F(StateTaskTest, Lease_StoreUnavailable_RunsOut)
{
  auto& a = Start("a");
  auto& b = Start("b");
  RunLoop();
  b.store.down = true;
  const auto left = b.task.RemainingLease();
  RunLoop();
  EXPECT_LT(b.task.RemainingLease(), left);
  EXPECT_GT(a.task.RemainingLease(), b.task.RemainingLease());
}

TEST_F(StateTaskTest, Lease_PeerIsUpToDate_IsRenewed)
{
  auto& a = Start("a");
  auto& b = Start("b");
  RunLoop();
  b.store.down = true;
  RunLoop();
  const auto before = b.task.RemainingLease();
  const auto update = a.task.UpdateFrom(b.task.End());
  ASSERT_TRUE(update);
  b.task.RenewLeaseFromPeer(a.task.LastSyncedAt(), update->next);
  EXPECT_GT(b.task.RemainingLease(), before);
}

TEST_F(StateTaskTest, Poll_LeaseRenewedByPeer_StoreIsNotRead)
{
  auto& a = Start("a", milliseconds(300));
  RunLoop();
  const auto before = a.store.reads;
  for (int report = 0; report < 5; ++report) {
    a.task.RenewLeaseFromPeer(m_clock.Now(), a.task.End());
    RunLoop();
  }
  EXPECT_EQ(a.store.reads, before);
  EXPECT_GT(a.task.RemainingLease(), Duration{});
}

TEST_F(StateTaskTest, Poll_NoPeerUpdates_StoreIsRead)
{
  auto& a = Start("a", milliseconds(100));
  RunLoop();
  const auto before = a.store.reads;
  RunLoop(milliseconds(300));
  EXPECT_GT(a.store.reads, before);
}

TEST_F(StateTaskTest, Poll_Coordinator_StoreIsReadDespiteRenewals)
{
  auto& a = Start("a", milliseconds(300));
  a.task.SetRole(StateRole::kCoordinator);
  const auto before = a.store.reads;
  for (int report = 0; report < 5; ++report) {
    a.task.RenewLeaseFromPeer(m_clock.Now(), a.task.End());
    RunLoop(milliseconds(20));
  }
  EXPECT_GT(a.store.reads, before + 3);
}

/**
 * If the coordinator is cut off from the store, three hundred hosts would read
 * it at the same time. A standby reads it first; its replies are enough for the
 * others.
 */
TEST_F(StateTaskTest, Poll_NoPeerUpdates_StandbyReadsBeforeAFollower)
{
  auto& follower = Start("a", std::chrono::seconds(3));
  auto& standby = Start("b", std::chrono::seconds(3));
  standby.task.SetRole(StateRole::kStandby);
  const auto followerReads = follower.store.reads;
  const auto standbyReads = standby.store.reads;
  for (int part = 0; part < 5; ++part) {
    RunLoop(milliseconds(500));
  }
  EXPECT_EQ(follower.store.reads, followerReads);
  EXPECT_GT(standby.store.reads, standbyReads);
}

/** While the store is down, a follower backs off; its peers know as much. */
TEST_F(StateTaskTest, Poll_StoreIsDown_FollowerCallsLessAndLess)
{
  auto& follower = Start("a");
  auto& coordinator = Start("b");
  coordinator.task.SetRole(StateRole::kCoordinator);
  follower.store.down = true;
  coordinator.store.down = true;
  RunLoop();
  const auto followerReads = follower.store.reads;
  const auto coordinatorReads = coordinator.store.reads;
  RunLoop(milliseconds(600));
  EXPECT_LE(follower.store.reads - followerReads, 6);
  EXPECT_GT(coordinator.store.reads - coordinatorReads, 40);
}

/**
 * While the table changes all the time, a follower is always some records
 * behind what the coordinator's replies name. Its lease must not run out.
 */
TEST_F(StateTaskTest, Lease_PeerWasAhead_IsRenewedOnceThisHostHasCaughtUp)
{
  auto& a = Start("a", std::chrono::seconds(2));
  auto& b = Start("b", std::chrono::seconds(2));
  const auto before = a.task.RemainingLease();
  RunLoop();
  a.task.RenewLeaseFromPeer(m_clock.Now(), b.task.End());
  EXPECT_LT(a.task.RemainingLease(), before);
  const auto update = b.task.UpdateFrom(a.task.End());
  ASSERT_TRUE(update);
  EXPECT_TRUE(a.task.ApplyPeerUpdate(update->entries, update->next));
  EXPECT_GT(a.task.RemainingLease(), before);
}

TEST_F(StateTaskTest, Lease_PeerReportsSuspicion_IsNotRenewed)
{
  auto& a = Start("a");
  auto& b = Start("b");
  RunLoop();
  b.store.down = true;
  a.task.SubmitEdit("suspect", [](TableDraft& aDraft, const MeshState&) {
    aDraft.table.Suspect(HostName("b"));
    return true;
  });
  RunLoop();
  const auto update = a.task.UpdateFrom(b.task.End());
  ASSERT_TRUE(update);
  EXPECT_TRUE(b.task.ApplyPeerUpdate(update->entries, update->next));
  const auto before = b.task.RemainingLease();
  b.task.RenewLeaseFromPeer(a.task.LastSyncedAt(), update->next);
  EXPECT_LE(b.task.RemainingLease(), before);
}

TEST_F(StateTaskTest, ApplyPeerUpdate_RecordsMissing_IsNotApplied)
{
  auto& a = Start("a");
  const auto end = a.task.End().offset;
  auto entry = EncodeHost(RecordOf("c"));
  entry.offset = end + 1;
  EXPECT_FALSE(a.task.ApplyPeerUpdate({ entry }, At(end + 2)));
  EXPECT_EQ(a.task.State().FindHost(HostName("c")), nullptr);
}

TEST_F(StateTaskTest, ApplyPeerUpdate_OutOfOrder_IsAppliedWithoutStoreRead)
{
  auto& a = Start("a", std::chrono::seconds(2));
  RunLoop();
  const auto end = a.task.End().offset;
  const auto before = a.store.reads;
  auto first = EncodeHost(RecordOf("c"));
  first.offset = end;
  auto second = EncodeHost(RecordOf("d"));
  second.offset = end + 1;
  EXPECT_FALSE(a.task.ApplyPeerUpdate({ second }, At(end + 2)));
  EXPECT_TRUE(a.task.ApplyPeerUpdate({ first }, At(end + 1)));
  EXPECT_EQ(a.task.End(), At(end + 2));
  EXPECT_NE(a.task.State().FindHost(HostName("d")), nullptr);
  EXPECT_EQ(a.store.reads, before);
}

TEST_F(StateTaskTest, OnAppended_TableChanged_PeersGetTheDifference)
{
  auto& a = Start("a");
  auto& b = Start("b", std::chrono::seconds(2));
  a.task.SubmitEdit("give", Assign({ 0, 9 }, "a"));
  RunLoop();
  b.task.ApplyPeerUpdate(a.task.UpdateFrom(b.task.End())->entries,
                         a.task.End());
  std::vector<StateUpdate> sent;
  a.task.SetOnAppended(
    [&sent](const StateUpdate& aUpdate) { sent.push_back(aUpdate); });
  a.task.SubmitEdit("give", Assign({ 20, 29 }, "b"));
  RunLoop(milliseconds(5));
  ASSERT_EQ(sent.size(), 1U);
  ASSERT_EQ(sent.front().entries.size(), 1U);
  EXPECT_FALSE(IsTable(sent.front().entries.front()));
  const auto before = b.store.reads;
  EXPECT_TRUE(b.task.ApplyPeerUpdate(sent.front().entries, sent.front().next));
  EXPECT_EQ(b.task.State().Table(), a.task.State().Table());
  EXPECT_EQ(HolderAt(b, 25), HostName("b"));
  EXPECT_EQ(b.store.reads, before);
}

TEST_F(StateTaskTest, ApplyPeerUpdate_DifferenceToUnknownTable_StoreIsRead)
{
  auto& a = Start("a", std::chrono::seconds(2));
  auto& b = Start("b");
  b.task.SubmitEdit("give", Assign({ 0, 9 }, "b"));
  RunLoop();
  const auto end = a.task.End().offset;
  RangeTable unknown;
  unknown.revision = 7;
  auto next = unknown;
  ++next.revision;
  auto entry = EncodeChange(*DiffTables(unknown, next));
  entry.offset = end;
  a.task.ApplyPeerUpdate({ entry }, At(end + 1));
  EXPECT_EQ(a.task.End(), At(end));
  RunLoop();
  EXPECT_EQ(HolderAt(a, 5), HostName("b"));
}

TEST_F(StateTaskTest, Join_RemovedByAnotherHost_JoinsAgain)
{
  auto& a = Start("a");
  auto& b = Start("b");
  RunLoop();
  a.task.SubmitEdit("remove", [](TableDraft& aDraft, const MeshState&) {
    aDraft.removedHosts.push_back(HostName("b"));
    return true;
  });
  RunLoop();
  EXPECT_NE(a.task.State().FindHost(HostName("b")), nullptr);
  EXPECT_TRUE(b.task.Joined());
}

}
