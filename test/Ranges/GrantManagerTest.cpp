#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLongLease = seconds(6);

class GrantManagerTest : public ::testing::Test
{
protected:
  GrantManagerTest()
    : m_manager(GrantSettings{}, m_clock.Now())
  {
    m_table.Assign(kOrders, KeyRange{}, HolderOf("a"), {});
  }

  ServerHeartbeat Heartbeat()
  {
    ServerHeartbeat heartbeat;
    heartbeat.incarnation = IncarnationOf("server-a");
    heartbeat.service = kOrders;
    heartbeat.slots = 9;
    heartbeat.sequence = ++m_sequence;
    heartbeat.holds = m_held;
    return heartbeat;
  }

  HeartbeatReply Send(const ServerHeartbeat& aHeartbeat,
                      Duration aLease = kLongLease)
  {
    return m_manager.OnHeartbeat(
      aHeartbeat, m_table.RowsOf(kOrders), aLease, m_clock.Now());
  }

  /** The backend server then holds exactly the ranges of a reply. */
  void ApplyReply(const HeartbeatReply& aReply)
  {
    m_held.clear();
    for (const auto& granted : aReply.ranges) {
      m_held.push_back(HeldRange{ granted.range, granted.fence });
    }
  }

  ManualClock m_clock;
  RangeTable m_table;
  GrantManager m_manager;
  std::vector<HeldRange> m_held;
  int64_t m_sequence = 0;
};

TEST_F(GrantManagerTest, Heartbeat_First_GrantsTheRowsOfTheTable)
{
  const auto reply = Send(Heartbeat());
  ASSERT_TRUE(reply.renews);
  ASSERT_EQ(reply.ranges.size(), 1U);
  EXPECT_EQ(reply.ranges[0].range, KeyRange());
  EXPECT_TRUE(m_manager.MayServe(ShardKey(5), m_clock.Now()));
}

TEST_F(GrantManagerTest, Heartbeat_LeaseNearlyExpired_HoldEndsWithinTheLease)
{
  const auto reply = Send(Heartbeat(), seconds(1));
  ASSERT_TRUE(reply.renews);
  // The hold must end within the lease even on a clock that is 2% slow.
  EXPECT_LE(reply.holdTime * 1.02, seconds(1));
}

TEST_F(GrantManagerTest, Heartbeat_NoLease_RenewsNothing)
{
  EXPECT_FALSE(Send(Heartbeat(), Duration{}).renews);
  EXPECT_FALSE(m_manager.MayServe(ShardKey(5), m_clock.Now()));
}

TEST_F(GrantManagerTest, MayServe_HoldExpired_False)
{
  const auto reply = Send(Heartbeat());
  m_clock.Advance(reply.holdTime);
  EXPECT_FALSE(m_manager.MayServe(ShardKey(5), m_clock.Now()));
}

TEST_F(GrantManagerTest, Revoke_RequestsStillRun_IsNotRelinquished)
{
  ApplyReply(Send(Heartbeat()));
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  m_manager.Revoke({ 0, 99 }, fence, HolderOf("b"));
  const auto omitting = Send(Heartbeat());
  EXPECT_EQ(omitting.ranges.front().range, (KeyRange{ 100, kShardKeys - 1 }));
  EXPECT_FALSE(m_manager.MayServe(ShardKey(5), m_clock.Now()));
  // The backend server still runs requests for some of the keys.
  ApplyReply(omitting);
  m_held.push_back(HeldRange{ { 40, 50 }, fence });
  Send(Heartbeat());
  EXPECT_TRUE(m_manager.TakeRelinquished().empty());
  m_held.pop_back();
  auto heartbeat = Heartbeat();
  heartbeat.released.push_back(ReleasedRange{ { 0, 99 }, "token" });
  Send(heartbeat);
  const auto relinquished = m_manager.TakeRelinquished();
  ASSERT_EQ(relinquished.size(), 1U);
  EXPECT_EQ(relinquished[0].handover, "token");
  EXPECT_EQ(relinquished[0].next, HolderOf("b"));
}

TEST_F(GrantManagerTest, Revoke_ReplyWasLost_IsNotRelinquished)
{
  ApplyReply(Send(Heartbeat()));
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  m_manager.Revoke({ 0, 99 }, fence, std::nullopt);
  Send(Heartbeat()); // The reply is lost.
  Send(Heartbeat());
  EXPECT_TRUE(m_manager.TakeRelinquished().empty());
}

TEST_F(GrantManagerTest, Revoke_HeartbeatWithoutHolds_IsNotRelinquished)
{
  ApplyReply(Send(Heartbeat()));
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  m_manager.Revoke({ 0, 99 }, fence, std::nullopt);
  Send(Heartbeat());
  auto heartbeat = Heartbeat();
  heartbeat.holds.reset();
  Send(heartbeat);
  EXPECT_TRUE(m_manager.TakeRelinquished().empty());
}

TEST_F(GrantManagerTest, Revoke_Released_IsNotGrantedAgainBeforeTheTableChanged)
{
  ApplyReply(Send(Heartbeat()));
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  m_manager.Revoke({ 0, 99 }, fence, std::nullopt);
  ApplyReply(Send(Heartbeat()));
  Send(Heartbeat());
  ASSERT_EQ(m_manager.TakeRelinquished().size(), 1U);
  // The write of the table may take arbitrarily long.
  const auto reply = Send(Heartbeat());
  EXPECT_EQ(reply.ranges.front().range.first, 100U);
  // The range is assigned again, under a higher fence.
  m_table.Assign(kOrders, { 0, 99 }, HolderOf("a"), {});
  EXPECT_EQ(Send(Heartbeat()).ranges.front().range.first, 0U);
}

TEST_F(GrantManagerTest, Heartbeat_OfAnEarlierIncarnation_IsIgnored)
{
  auto current = Heartbeat();
  current.incarnation = IncarnationOf("server-a", 2000);
  Send(current);
  EXPECT_TRUE(m_manager.IsStale(Heartbeat()));
  EXPECT_FALSE(Send(Heartbeat()).renews);
  EXPECT_EQ(m_manager.Incarnation(), IncarnationOf("server-a", 2000));
}

/** Two servers that claim one start time: none has proved the other's end. */
TEST_F(GrantManagerTest, Heartbeat_OtherServerWithTheSameStart_IsIgnored)
{
  Send(Heartbeat());
  auto other = Heartbeat();
  other.incarnation = IncarnationOf("server-b");
  EXPECT_TRUE(m_manager.IsStale(other));
}

TEST_F(GrantManagerTest,
       Heartbeat_OfAnEarlierIncarnationAfterARestart_IsIgnored)
{
  GrantManager restarted(GrantSettings{}, m_clock.Now());
  restarted.Adopt(IncarnationOf("server-a", 2000));
  EXPECT_TRUE(restarted.IsStale(Heartbeat()));
}

TEST_F(GrantManagerTest, Heartbeat_Repeated_IsIgnored)
{
  const auto heartbeat = Heartbeat();
  Send(heartbeat);
  EXPECT_FALSE(Send(heartbeat).renews);
}

TEST_F(GrantManagerTest, Heartbeat_Draining_AllRangesAreRevoked)
{
  ApplyReply(Send(Heartbeat()));
  auto heartbeat = Heartbeat();
  heartbeat.state = ServerState::kDraining;
  EXPECT_TRUE(Send(heartbeat).ranges.empty());
  m_held.clear();
  Send(Heartbeat());
  const auto relinquished = m_manager.TakeRelinquished();
  ASSERT_EQ(relinquished.size(), 1U);
  EXPECT_EQ(relinquished[0].range, KeyRange());
}

TEST_F(GrantManagerTest, Heartbeat_DrainingWithARevocation_TheRestIsRevokedToo)
{
  ApplyReply(Send(Heartbeat()));
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  m_manager.Revoke({ 100, 199 }, fence, HolderOf("b"));
  auto heartbeat = Heartbeat();
  heartbeat.state = ServerState::kDraining;
  EXPECT_TRUE(Send(heartbeat).ranges.empty());
  m_held.clear();
  Send(Heartbeat());
  uint32_t keys = 0;
  for (const auto& item : m_manager.TakeRelinquished()) {
    keys += item.range.Size();
    EXPECT_EQ(item.next.has_value(), item.range.Contains(ShardKey(150)));
  }
  EXPECT_EQ(keys, kShardKeys);
}

TEST_F(GrantManagerTest,
       RelinquishExpired_SameIncarnationReturns_OldRowsAreNeverRenewed)
{
  ApplyReply(Send(Heartbeat()));
  m_manager.RelinquishExpired(m_table.RowsOf(kOrders));
  EXPECT_EQ(m_manager.TakeRelinquished().size(), 1U);
  EXPECT_TRUE(Send(Heartbeat()).ranges.empty());
}

TEST_F(GrantManagerTest,
       HoldsExpired_PreviousProcessMayHaveGranted_OnlyAfterItsHold)
{
  EXPECT_FALSE(m_manager.HoldsExpired(m_clock.Now()));
  m_clock.Advance(GrantSettings().maxEarlierHold);
  EXPECT_TRUE(m_manager.HoldsExpired(m_clock.Now()));
}

/**
 * Whichever replies are lost, a range is relinquished only once the backend
 * server holds no key of it.
 */
RC_GTEST_FIXTURE_PROP(GrantManagerTest,
                      Relinquished_LostReplies_NeverStillHeld,
                      ())
{
  const auto steps = *rc::gen::inRange(1, 60);
  for (int step = 0; step < steps; ++step) {
    m_clock.Advance(milliseconds(*rc::gen::inRange(1, 900)));
    if (*rc::gen::inRange(0, 4) == 0) {
      const auto first = *rc::gen::inRange<uint32_t>(0, kShardKeys);
      const auto* row = m_table.Find(kOrders, ShardKey(first));
      if (row->holder == HolderOf("a")) {
        m_manager.Revoke({ first, row->range.last }, row->fence, std::nullopt);
      }
    }
    std::vector<RangeRow> own;
    for (const auto& row : m_table.RowsOf(kOrders)) {
      if (row.holder == HolderOf("a")) {
        own.push_back(row);
      }
    }
    const auto reply =
      m_manager.OnHeartbeat(Heartbeat(), own, kLongLease, m_clock.Now());
    for (const auto& item : m_manager.TakeRelinquished()) {
      for (const auto& held : m_held) {
        RC_ASSERT(!held.range.Overlaps(item.range));
      }
      if (*rc::gen::arbitrary<bool>()) {
        m_table.Assign(kOrders, item.range, HolderOf("b"), {});
      } else {
        m_table.Assign(kOrders, item.range, HolderOf("a"), {});
      }
    }
    const bool replyArrives = *rc::gen::inRange(0, 3) > 0;
    if (replyArrives && reply.renews) {
      ApplyReply(reply);
    }
  }
}

/**
 * An append whose reply was lost is repeated after the next read. If the range
 * was assigned to the same holder again in the meantime, the repetition must
 * not free it.
 */
TEST_F(GrantManagerTest,
       ReassignRelinquished_RepeatedAfterANewAssignment_ChangesNothing)
{
  const auto state = StateOf({ RecordOf("a") }, m_table);
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  const RangeRelease release{ kOrders,
                              HolderOf("a"),
                              { Relinquished{
                                { 10, 19 }, fence, "token", std::nullopt } },
                              std::nullopt };
  EXPECT_TRUE(ReassignRelinquished(m_table, state, release));
  EXPECT_TRUE(m_table.Find(kOrders, ShardKey(15))->IsFree());
  m_table.Assign(kOrders, { 10, 19 }, HolderOf("a"), "token");
  EXPECT_FALSE(ReassignRelinquished(m_table, state, release));
  EXPECT_EQ(m_table.Find(kOrders, ShardKey(15))->holder, HolderOf("a"));
}

/**
 * The process that takes over from the sender of a release knows nothing of it
 * and may grant the range again under the same fence.
 */
TEST_F(GrantManagerTest,
       ReassignRelinquished_SenderWasRestartedSince_ChangesNothing)
{
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  const RangeRelease release{ kOrders,
                              HolderOf("a"),
                              { Relinquished{
                                { 10, 19 }, fence, "token", std::nullopt } },
                              RecordOf("a").epoch };
  auto restarted = RecordOf("a");
  ++restarted.epoch;
  EXPECT_FALSE(
    ReassignRelinquished(m_table, StateOf({ restarted }, m_table), release));
  EXPECT_TRUE(HoldsReleased(m_table, release));
  EXPECT_TRUE(ReassignRelinquished(
    m_table, StateOf({ RecordOf("a") }, m_table), release));
  EXPECT_FALSE(HoldsReleased(m_table, release));
}

}
