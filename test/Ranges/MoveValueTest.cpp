#include <gtest/gtest.h>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::seconds;

class MoveValueTest : public ::testing::Test
{
protected:
  /** Moves that are planned for two hosts: "a" has the keys up to aLastOfA. */
  std::vector<PlannedMove> PlanFor(uint32_t aLastOfA, const LoadMap& aLoad)
  {
    m_table.Assign(kOrders, { 0, aLastOfA }, HolderOf("a"), {});
    m_table.Assign(
      kOrders, { aLastOfA + 1, kShardKeys - 1 }, HolderOf("b"), {});
    const std::vector<PlacementTarget> targets{ { HolderOf("a"), 100.0 },
                                                { HolderOf("b"), 100.0 } };
    return m_rebalancer.Plan(
      m_table.RowsOf(kOrders), targets, aLoad, m_clock.Now());
  }

  MoveValueSettings m_settings;
  RangeTable m_table;
  ManualClock m_clock;
  Rebalancer m_rebalancer;
};

/** Load pattern: a host above its capacity beside one that is half used. */
TEST_F(MoveValueTest, MovePays_OverloadedHost_Pays)
{
  EXPECT_TRUE(MovePays({ 130.0, 100.0 },
                       { 50.0, 100.0 },
                       { 20.0, 20.0, 0.01 },
                       1000.0,
                       m_settings));
}

/** Guards against moves between hosts that serve nearly all requests. */
TEST_F(MoveValueTest, MovePays_HostIsLittleUtilized_DoesNotPay)
{
  EXPECT_FALSE(MovePays({ 65.0, 100.0 },
                        { 35.0, 100.0 },
                        { 15.0, 15.0, 0.01 },
                        1000.0,
                        m_settings));
}

/** Load pattern: the peak of a wave, at which no host has capacity to spare. */
TEST_F(MoveValueTest, MovePays_AllHostsOverloaded_DoesNotPay)
{
  EXPECT_FALSE(MovePays({ 180.0, 100.0 },
                        { 120.0, 100.0 },
                        { 30.0, 30.0, 0.01 },
                        3000.0,
                        m_settings));
}

/** Guards against moves of many keys that hardly have load. */
TEST_F(MoveValueTest, MovePays_ManyColdKeys_DoesNotPay)
{
  EXPECT_FALSE(MovePays(
    { 130.0, 100.0 }, { 50.0, 100.0 }, { 2.0, 2.0, 0.1 }, 1000.0, m_settings));
}

/** Load pattern: one key has 60% of a host's capacity, its neighbours as much.
 * Guards against a move of the hot key instead of its neighbours. */
TEST_F(MoveValueTest, Plan_HotKeyAmongBusyNeighbours_OnlyNeighboursMove)
{
  LoadMap load(20.0);
  load.Add({ LoadBucket{ { 10000, 10399 }, 60.0 } });
  load.Add({ LoadBucket{ { 10200, 10200 }, 60.0 } });
  const auto moves = PlanFor(30000, load);
  ASSERT_FALSE(moves.empty());
  double moved = 0.0;
  for (const auto& move : moves) {
    EXPECT_EQ(move.from, HostName("a"));
    EXPECT_FALSE(move.range.Contains(ShardKey(10200)));
    moved += load.LoadOf(move.range);
  }
  EXPECT_GT(moved, 20.0);
}

/** Load pattern: more requests than all hosts can serve, all for one of them.
 * Guards against hosts that stay idle because no placement serves all. */
TEST_F(MoveValueTest, Plan_MoreLoadThanCapacityOnOneHost_FreeCapacityIsUsed)
{
  LoadMap load(60.0);
  load.Add({ LoadBucket{ { 1000, 1999 }, 600.0 } });
  const auto moves = PlanFor(kShardKeys / 2 - 1, load);
  ASSERT_FALSE(moves.empty());
  EXPECT_LT(load.LoadOf(moves.front().range), 130.0);
}

/** Load pattern: even load with a slight imbalance, as after an assignment. */
TEST_F(MoveValueTest, Plan_EvenLoadAtSeventyPercent_MovesNothing)
{
  LoadMap load(140.0);
  EXPECT_TRUE(PlanFor(34000, load).empty());
}

/** Failure case: the load returns to even before the move has happened. */
TEST_F(MoveValueTest, Plan_LoadBecomesEvenAgain_NoMoveBack)
{
  LoadMap hot(100.0);
  hot.Add({ LoadBucket{ { 10000, 10399 }, 80.0 } });
  ASSERT_FALSE(PlanFor(kShardKeys / 2 - 1, hot).empty());
  m_clock.Advance(seconds(5));
  EXPECT_TRUE(PlanFor(kShardKeys / 2 - 1, LoadMap(100.0)).empty());
}

TEST(LoadMapHottestKeyTest, HottestKey_Buckets_IsTheKeyWithTheMostLoad)
{
  LoadMap load(1.0);
  load.Add({ LoadBucket{ { 10, 19 }, 50.0 }, LoadBucket{ { 30, 30 }, 8.0 } });
  EXPECT_EQ(load.HottestKey({}).key, 30U);
  EXPECT_EQ(load.HottestKey({ 0, 29 }).key, 10U);
  EXPECT_EQ(load.HottestKey({ 15, 29 }).key, 15U);
  EXPECT_NEAR(load.HottestKey({}).load, 8.0, 0.01);
}

}
