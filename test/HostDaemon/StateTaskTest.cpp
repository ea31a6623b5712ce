#include <gtest/gtest.h>

#include <memory>

#include "src/HostDaemon/StateTask.h"
#include "test/HostDaemon/FakeStore.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** A daemon's state task with its own way to the store. */
struct Host
{
  Host(event_base* aBase,
       const Clock& aClock,
       const Logger& aLogger,
       FakeTopic& aTopic,
       const std::string& aName,
       Duration aQuiet)
    : store(aBase, aTopic)
    , task(aBase,
           aClock,
           aLogger,
           store,
           RecordOf(aName),
           StateTaskSettings{ .pollInterval = milliseconds(5),
                              .retryDelay = milliseconds(5),
                              .maxStaleness = aQuiet })
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

  Host& Start(const std::string& aName, Duration aQuiet = milliseconds(5))
  {
    auto& host = Make(aName, aQuiet);
    host.task.Start();
    Run();
    return host;
  }

  Host& Make(const std::string& aName, Duration aQuiet = milliseconds(5))
  {
    m_hosts.push_back(std::make_unique<Host>(
      m_base, m_clock, m_logger, m_topic, aName, aQuiet));
    return *m_hosts.back();
  }

  void Run(Duration aFor = milliseconds(60))
  {
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(aFor).count();
    const timeval wait{ 0, static_cast<suseconds_t>(micros) };
    event_base_loopexit(m_base, &wait);
    event_base_dispatch(m_base);
  }

  static StateTaskBase::Edit Give(const KeyRange& aRange,
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
  Run();
  EXPECT_TRUE(a.task.Joined());
  EXPECT_TRUE(b.task.Joined());
  EXPECT_NE(a.task.State().FindHost(HostName("b")), nullptr);
  EXPECT_NE(b.task.State().FindHost(HostName("a")), nullptr);
}

TEST_F(StateTaskTest, SubmitEdit_TwoAtOnce_BothAreMade)
{
  auto& a = Start("a");
  auto& b = Start("b");
  Run();
  a.task.SubmitEdit("a", Give({ 0, 9 }, "a"));
  b.task.SubmitEdit("b", Give({ 10, 19 }, "b"));
  Run();
  for (const auto* host : { &a, &b }) {
    EXPECT_EQ(HolderAt(*host, 0), HostName("a"));
    EXPECT_EQ(HolderAt(*host, 10), HostName("b"));
  }
}

/** Pattern RacingWriters: each lost race cost a read besides the append. */
TEST_F(StateTaskTest, SubmitEdit_RaceLostToAPeerThatTells_StoreIsNotRead)
{
  auto& a = Start("a", std::chrono::seconds(2));
  auto& b = Start("b", std::chrono::seconds(2));
  a.task.ApplyPeerUpdate(b.task.UpdateFrom(a.task.End())->entries,
                         b.task.End());
  std::vector<StateUpdate> told;
  b.task.SetOnAppended(
    [&told](const StateUpdate& aUpdate) { told.push_back(aUpdate); });
  const auto before = a.store.reads;
  b.task.SubmitEdit("give", Give({ 0, 9 }, "b"));
  a.task.SubmitEdit("give", Give({ 100, 109 }, "a"));
  Run(milliseconds(20));
  ASSERT_EQ(told.size(), 1U);
  a.task.ApplyPeerUpdate(told.front().entries, told.front().next);
  Run(milliseconds(50));
  EXPECT_EQ(HolderAt(a, 5), HostName("b"));
  EXPECT_EQ(HolderAt(a, 105), HostName("a"));
  EXPECT_EQ(a.store.reads, before);
}

TEST_F(StateTaskTest, SubmitEdit_AnswerLost_IsMadeOnce)
{
  auto& a = Start("a");
  a.store.lostAnswers = 1;
  a.task.SubmitEdit("a", Give({ 0, 9 }, "a"));
  Run();
  EXPECT_EQ(HolderAt(a, 0), HostName("a"));
  EXPECT_EQ(a.task.State().Table().revision, 1);
}

TEST_F(StateTaskTest, SubmitEdit_StoreIsDown_IsMadeAfterItsReturn)
{
  auto& a = Start("a");
  a.store.down = true;
  a.task.SubmitEdit("a", Give({ 0, 9 }, "a"));
  Run();
  EXPECT_EQ(HolderAt(a, 0), HostName());
  a.store.down = false;
  Run();
  EXPECT_EQ(HolderAt(a, 0), HostName("a"));
}

TEST_F(StateTaskTest, SubmitEdit_LateAppendOfAProcessThatDied_HasNoEffect)
{
  auto& before = Start("a");
  before.store.keepAppends = true;
  before.task.SubmitEdit("late", Give({ 0, 9 }, "b"));
  Run();
  ASSERT_EQ(before.store.kept.size(), 1U);
  auto late = before.store.kept.front();
  before.store.down = true;
  auto& after = Start("a");
  ASSERT_TRUE(after.task.Joined());
  const auto reply = m_topic.Append(late.first, late.second);
  EXPECT_EQ(reply.verdict, AppendVerdict::kConflict);
}

TEST_F(StateTaskTest, Join_ServerOfTheProcessBefore_IsTakenOver)
{
  Start("a");
  m_hosts.front()->store.down = true;
  auto& after = Make("a");
  after.task.Start();
  Run();
  ASSERT_TRUE(after.task.OwnRecord().server);
  EXPECT_EQ(after.task.OwnRecord().server->life, LifeOf("server-a"));
  EXPECT_GT(after.task.OwnRecord().epoch, 1);
}

TEST_F(StateTaskTest, Suspicion_OfALivingHost_IsRefuted)
{
  auto& a = Start("a");
  auto& b = Start("b");
  Run();
  a.task.SubmitEdit("suspect", [](TableDraft& aDraft, const MeshState&) {
    aDraft.table.Suspect(HostName("b"));
    return true;
  });
  Run();
  EXPECT_FALSE(a.task.State().Suspected(HostName("b")));
  EXPECT_EQ(b.task.OwnRecord().cleared, 1);
}

TEST_F(StateTaskTest, Lease_SuspectedAndCutOff_RunsOut)
{
  auto& a = Start("a");
  auto& b = Start("b");
  Run();
  b.store.down = true;
  const auto left = b.task.LeaseLeft();
  Run();
  EXPECT_LT(b.task.LeaseLeft(), left);
  EXPECT_GT(a.task.LeaseLeft(), b.task.LeaseLeft());
}

TEST_F(StateTaskTest, Lease_PeerSawTheEnd_IsRenewed)
{
  auto& a = Start("a");
  auto& b = Start("b");
  Run();
  b.store.down = true;
  Run();
  const auto before = b.task.LeaseLeft();
  const auto update = a.task.UpdateFrom(b.task.End());
  ASSERT_TRUE(update);
  b.task.RenewLeaseFromPeer(a.task.LastSyncedAt(), update->next);
  EXPECT_GT(b.task.LeaseLeft(), before);
}

TEST_F(StateTaskTest, Poll_PeerConfirmsInTime_StoreIsNotRead)
{
  auto& a = Start("a", milliseconds(300));
  Run();
  const auto before = a.store.reads;
  for (int report = 0; report < 5; ++report) {
    a.task.RenewLeaseFromPeer(m_clock.Now(), a.task.End());
    Run();
  }
  EXPECT_EQ(a.store.reads, before);
  EXPECT_GT(a.task.LeaseLeft(), Duration{});
}

TEST_F(StateTaskTest, Poll_NothingHeard_StoreIsRead)
{
  auto& a = Start("a", milliseconds(100));
  Run();
  const auto before = a.store.reads;
  Run(milliseconds(300));
  EXPECT_GT(a.store.reads, before);
}

TEST_F(StateTaskTest, Poll_ReadsForOthers_ConfirmationsDoNotStopIt)
{
  auto& a = Start("a", milliseconds(300));
  a.task.SetAlwaysPolls(true);
  const auto before = a.store.reads;
  for (int report = 0; report < 5; ++report) {
    a.task.RenewLeaseFromPeer(m_clock.Now(), a.task.End());
    Run(milliseconds(20));
  }
  EXPECT_GT(a.store.reads, before + 3);
}

TEST_F(StateTaskTest, Lease_PeerKnowsOfASuspicion_IsNotRenewed)
{
  auto& a = Start("a");
  auto& b = Start("b");
  Run();
  b.store.down = true;
  a.task.SubmitEdit("suspect", [](TableDraft& aDraft, const MeshState&) {
    aDraft.table.Suspect(HostName("b"));
    return true;
  });
  Run();
  const auto update = a.task.UpdateFrom(b.task.End());
  ASSERT_TRUE(update);
  EXPECT_TRUE(b.task.ApplyPeerUpdate(update->entries, update->next));
  const auto before = b.task.LeaseLeft();
  b.task.RenewLeaseFromPeer(a.task.LastSyncedAt(), update->next);
  EXPECT_LE(b.task.LeaseLeft(), before);
}

TEST_F(StateTaskTest, Update_FromPeerWithAGap_IsNotTaken)
{
  auto& a = Start("a");
  const auto end = a.task.End();
  auto entry = EncodeHost(RecordOf("c"));
  entry.offset = end + 1;
  EXPECT_FALSE(a.task.ApplyPeerUpdate({ entry }, end + 2));
  EXPECT_EQ(a.task.State().FindHost(HostName("c")), nullptr);
}

TEST_F(StateTaskTest, Update_OutOfTurn_IsTakenWithoutTheStore)
{
  auto& a = Start("a", std::chrono::seconds(2));
  Run();
  const auto end = a.task.End();
  const auto before = a.store.reads;
  auto first = EncodeHost(RecordOf("c"));
  first.offset = end;
  auto second = EncodeHost(RecordOf("d"));
  second.offset = end + 1;
  EXPECT_FALSE(a.task.ApplyPeerUpdate({ second }, end + 2));
  EXPECT_TRUE(a.task.ApplyPeerUpdate({ first }, end + 1));
  EXPECT_EQ(a.task.End(), end + 2);
  EXPECT_NE(a.task.State().FindHost(HostName("d")), nullptr);
  EXPECT_EQ(a.store.reads, before);
}

TEST_F(StateTaskTest, Update_OwnChangeOfTheTable_PeersGetWhatChanged)
{
  auto& a = Start("a");
  auto& b = Start("b", std::chrono::seconds(2));
  a.task.SubmitEdit("give", Give({ 0, 9 }, "a"));
  Run();
  b.task.ApplyPeerUpdate(a.task.UpdateFrom(b.task.End())->entries,
                         a.task.End());
  std::vector<StateUpdate> sent;
  a.task.SetOnAppended(
    [&sent](const StateUpdate& aUpdate) { sent.push_back(aUpdate); });
  a.task.SubmitEdit("give", Give({ 20, 29 }, "b"));
  Run(milliseconds(5));
  ASSERT_EQ(sent.size(), 1U);
  ASSERT_EQ(sent.front().entries.size(), 1U);
  EXPECT_FALSE(IsTable(sent.front().entries.front()));
  const auto before = b.store.reads;
  EXPECT_TRUE(b.task.ApplyPeerUpdate(sent.front().entries, sent.front().next));
  EXPECT_EQ(b.task.State().Table(), a.task.State().Table());
  EXPECT_EQ(HolderAt(b, 25), HostName("b"));
  EXPECT_EQ(b.store.reads, before);
}

TEST_F(StateTaskTest, Update_ChangeOfAnUnknownTable_StoreIsRead)
{
  auto& a = Start("a", std::chrono::seconds(2));
  auto& b = Start("b");
  b.task.SubmitEdit("give", Give({ 0, 9 }, "b"));
  Run();
  const auto end = a.task.End();
  RangeTable unknown;
  unknown.revision = 7;
  auto next = unknown;
  ++next.revision;
  auto entry = EncodeChange(*Difference(unknown, next));
  entry.offset = end;
  a.task.ApplyPeerUpdate({ entry }, end + 1);
  EXPECT_EQ(a.task.End(), end);
  Run();
  EXPECT_EQ(HolderAt(a, 5), HostName("b"));
}

TEST_F(StateTaskTest, Host_RemovedByOthers_JoinsAgain)
{
  auto& a = Start("a");
  auto& b = Start("b");
  Run();
  a.task.SubmitEdit("remove", [](TableDraft& aDraft, const MeshState&) {
    aDraft.dropped.push_back(HostName("b"));
    return true;
  });
  Run();
  EXPECT_NE(a.task.State().FindHost(HostName("b")), nullptr);
  EXPECT_TRUE(b.task.Joined());
}

}
