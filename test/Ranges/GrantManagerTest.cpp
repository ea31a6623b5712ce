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

  ServerHeartbeat Beat()
  {
    ServerHeartbeat beat;
    beat.incarnation = IncarnationOf("server-a");
    beat.service = kOrders;
    beat.slots = 9;
    beat.sequence = ++m_sequence;
    beat.holds = m_held;
    return beat;
  }

  HeartbeatReply Send(const ServerHeartbeat& aBeat,
                      Duration aLease = kLongLease)
  {
    return m_manager.OnHeartbeat(
      aBeat, m_table.RowsOf(kOrders), aLease, m_clock.Now());
  }

  /** The backend server does what a reply says. */
  void Obey(const HeartbeatReply& aReply)
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

TEST_F(GrantManagerTest, Heartbeat_First_GrantsItsRows)
{
  const auto reply = Send(Beat());
  ASSERT_TRUE(reply.renews);
  ASSERT_EQ(reply.ranges.size(), 1U);
  EXPECT_EQ(reply.ranges[0].range, KeyRange());
  EXPECT_TRUE(m_manager.MayServe(ShardKey(5), m_clock.Now()));
}

TEST_F(GrantManagerTest, Heartbeat_LeaseNearlyOver_GrantsNoLonger)
{
  const auto reply = Send(Beat(), seconds(1));
  ASSERT_TRUE(reply.renews);
  // A clock that is 2% slow must still end the hold within the lease.
  EXPECT_LE(reply.holdTime * 1.02, seconds(1));
}

TEST_F(GrantManagerTest, Heartbeat_NoLease_RenewsNothing)
{
  EXPECT_FALSE(Send(Beat(), Duration{}).renews);
  EXPECT_FALSE(m_manager.MayServe(ShardKey(5), m_clock.Now()));
}

TEST_F(GrantManagerTest, Serve_HoldRunsOut_Stops)
{
  const auto reply = Send(Beat());
  m_clock.Advance(reply.holdTime);
  EXPECT_FALSE(m_manager.MayServe(ShardKey(5), m_clock.Now()));
}

TEST_F(GrantManagerTest, Leave_StillWorkedOn_IsNotRelinquished)
{
  Obey(Send(Beat()));
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  m_manager.Revoke({ 0, 99 }, fence, HolderOf("b"));
  const auto omitting = Send(Beat());
  EXPECT_EQ(omitting.ranges.front().range, (KeyRange{ 100, kShardKeys - 1 }));
  EXPECT_FALSE(m_manager.MayServe(ShardKey(5), m_clock.Now()));
  // It keeps what it still works on.
  Obey(omitting);
  m_held.push_back(HeldRange{ { 40, 50 }, fence });
  Send(Beat());
  EXPECT_TRUE(m_manager.TakeRelinquished().empty());
  m_held.pop_back();
  auto beat = Beat();
  beat.released.push_back(ReleasedRange{ { 0, 99 }, "token" });
  Send(beat);
  const auto relinquished = m_manager.TakeRelinquished();
  ASSERT_EQ(relinquished.size(), 1U);
  EXPECT_EQ(relinquished[0].handover, "token");
  EXPECT_EQ(relinquished[0].next, HolderOf("b"));
}

TEST_F(GrantManagerTest, Leave_ReplyWasLost_IsNotRelinquished)
{
  Obey(Send(Beat()));
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  m_manager.Revoke({ 0, 99 }, fence, std::nullopt);
  Send(Beat()); // The backend server never gets this reply.
  Send(Beat());
  EXPECT_TRUE(m_manager.TakeRelinquished().empty());
}

TEST_F(GrantManagerTest, Leave_HeartbeatWithoutHolds_ProvesNothing)
{
  Obey(Send(Beat()));
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  m_manager.Revoke({ 0, 99 }, fence, std::nullopt);
  Send(Beat());
  auto beat = Beat();
  beat.holds.reset();
  Send(beat);
  EXPECT_TRUE(m_manager.TakeRelinquished().empty());
}

TEST_F(GrantManagerTest, Leave_Released_IsNotGrantedAgainBeforeTheTableChanged)
{
  Obey(Send(Beat()));
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  m_manager.Revoke({ 0, 99 }, fence, std::nullopt);
  Obey(Send(Beat()));
  Send(Beat());
  ASSERT_EQ(m_manager.TakeRelinquished().size(), 1U);
  // The write may be on its way for as long as it likes.
  const auto reply = Send(Beat());
  EXPECT_EQ(reply.ranges.front().range.first, 100U);
  // It comes back under a higher fence.
  m_table.Assign(kOrders, { 0, 99 }, HolderOf("a"), {});
  EXPECT_EQ(Send(Beat()).ranges.front().range.first, 0U);
}

TEST_F(GrantManagerTest, Heartbeat_OfAnEarlierLife_IsIgnored)
{
  auto current = Beat();
  current.incarnation = IncarnationOf("server-a", 2000);
  Send(current);
  EXPECT_TRUE(m_manager.IsStale(Beat()));
  EXPECT_FALSE(Send(Beat()).renews);
  EXPECT_EQ(m_manager.Incarnation(), IncarnationOf("server-a", 2000));
}

TEST_F(GrantManagerTest, Heartbeat_OfAnEarlierLifeAfterARestart_IsIgnored)
{
  GrantManager restarted(GrantSettings{}, m_clock.Now());
  restarted.Adopt(IncarnationOf("server-a", 2000));
  EXPECT_TRUE(restarted.IsStale(Beat()));
}

TEST_F(GrantManagerTest, Heartbeat_Repeated_IsIgnored)
{
  const auto beat = Beat();
  Send(beat);
  EXPECT_FALSE(Send(beat).renews);
}

TEST_F(GrantManagerTest, Draining_EverythingLeaves)
{
  Obey(Send(Beat()));
  auto beat = Beat();
  beat.state = ServerState::kDraining;
  EXPECT_TRUE(Send(beat).ranges.empty());
  m_held.clear();
  Send(Beat());
  const auto relinquished = m_manager.TakeRelinquished();
  ASSERT_EQ(relinquished.size(), 1U);
  EXPECT_EQ(relinquished[0].range, KeyRange());
}

TEST_F(GrantManagerTest, Draining_PartLeavesAlready_TheRestLeavesToo)
{
  Obey(Send(Beat()));
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  m_manager.Revoke({ 100, 199 }, fence, HolderOf("b"));
  auto beat = Beat();
  beat.state = ServerState::kDraining;
  EXPECT_TRUE(Send(beat).ranges.empty());
  m_held.clear();
  Send(Beat());
  uint32_t keys = 0;
  for (const auto& item : m_manager.TakeRelinquished()) {
    keys += item.range.Size();
    EXPECT_EQ(item.next.has_value(), item.range.Contains(ShardKey(150)));
  }
  EXPECT_EQ(keys, kShardKeys);
}

TEST_F(GrantManagerTest, Lapse_SameLifeReturns_OldRowsAreNeverRenewed)
{
  Obey(Send(Beat()));
  m_manager.RelinquishExpired(m_table.RowsOf(kOrders));
  EXPECT_EQ(m_manager.TakeRelinquished().size(), 1U);
  EXPECT_TRUE(Send(Beat()).ranges.empty());
}

TEST_F(GrantManagerTest, Expired_ProcessBeforeMayHaveGranted_OnlyAfterItsHold)
{
  EXPECT_FALSE(m_manager.HoldsExpired(m_clock.Now()));
  m_clock.Advance(GrantSettings().maxEarlierHold);
  EXPECT_TRUE(m_manager.HoldsExpired(m_clock.Now()));
}

/**
 * Whatever is lost or late between the two, a range is relinquished only when
 * the backend server holds none of it.
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
      m_manager.OnHeartbeat(Beat(), own, kLongLease, m_clock.Now());
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
    const bool arrives = *rc::gen::inRange(0, 3) > 0;
    if (arrives && reply.renews) {
      Obey(reply);
    }
  }
}

/**
 * An append whose answer is lost is made again after the state has been read:
 * by then the range may have come back to the same holder.
 */
TEST_F(GrantManagerTest, HandOn_AgainAfterTheRangeCameBack_LeavesItAlone)
{
  const auto state = StateOf({ RecordOf("a") }, m_table);
  const auto fence = m_table.RowsOf(kOrders).front().fence;
  const Relinquished item{ { 10, 19 }, fence, "token", std::nullopt };
  EXPECT_TRUE(
    ReassignRelinquished(m_table, state, kOrders, HolderOf("a"), { item }));
  EXPECT_TRUE(m_table.Find(kOrders, ShardKey(15))->IsFree());
  m_table.Assign(kOrders, { 10, 19 }, HolderOf("a"), "token");
  EXPECT_FALSE(
    ReassignRelinquished(m_table, state, kOrders, HolderOf("a"), { item }));
  EXPECT_EQ(m_table.Find(kOrders, ShardKey(15))->holder, HolderOf("a"));
}

}
