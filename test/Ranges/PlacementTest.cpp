#include <gtest/gtest.h>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::seconds;

class PlacementTest : public ::testing::Test
{
protected:
  static std::vector<PlacementTarget> Targets(const std::string& aHosts,
                                              double aCapacity)
  {
    std::vector<PlacementTarget> targets;
    for (const char host : aHosts) {
      targets.push_back(
        PlacementTarget{ HolderOf(std::string(1, host)), aCapacity });
    }
    return targets;
  }

  static MeshState State(const std::string& aHosts)
  {
    std::vector<HostRecord> records;
    for (const char host : aHosts) {
      records.push_back(RecordOf(std::string(1, host)));
    }
    return StateOf(records);
  }

  /** Frees the rows of hosts without a record, as the append does that removes
   * the record of a failed host. */
  static void FreeRowsOfRemovedHosts(RangeTable& aTable,
                                     const MeshState& aState)
  {
    const auto rows = aTable.RowsOf(kOrders);
    for (const auto& row : rows) {
      if (aState.FindHost(row.holder.host) == nullptr) {
        aTable.Free(kOrders, row.range, {});
      }
    }
  }

  static double LoadOn(const RangeTable& aTable,
                       const std::string& aHost,
                       const LoadMap& aLoad)
  {
    double load = 0.0;
    for (const auto& row : aTable.RowsOf(kOrders)) {
      if (row.holder == HolderOf(aHost)) {
        load += aLoad.LoadOf(row.range);
      }
    }
    return load;
  }

  ManualClock m_clock;
  RangeTable m_table;
};

TEST_F(PlacementTest, AssignFreeRows_AllFree_SharesByCapacity)
{
  auto targets = Targets("ab", 1.0);
  targets.push_back(PlacementTarget{ HolderOf("c"), 2.0 });
  ASSERT_TRUE(
    AssignFreeRows(m_table, State("abc"), kOrders, targets, LoadMap()));
  const LoadMap even;
  EXPECT_NEAR(LoadOn(m_table, "a", even), 0.25, 0.01);
  EXPECT_NEAR(LoadOn(m_table, "c", even), 0.5, 0.01);
}

TEST_F(PlacementTest, AssignFreeRows_NoTargets_ChangesNothing)
{
  EXPECT_FALSE(AssignFreeRows(m_table, State("a"), kOrders, {}, LoadMap()));
}

TEST_F(PlacementTest, AssignFreeRows_HostFailed_SpreadsItsKeysOverTheOthers)
{
  const auto targets = Targets("abcde", 1.0);
  AssignFreeRows(m_table, State("abcde"), kOrders, targets, LoadMap());
  const auto rest = Targets("abcd", 1.0);
  FreeRowsOfRemovedHosts(m_table, State("abcd"));
  ASSERT_TRUE(AssignFreeRows(m_table, State("abcd"), kOrders, rest, LoadMap()));
  const LoadMap even;
  for (const auto* host : { "a", "b", "c", "d" }) {
    EXPECT_NEAR(LoadOn(m_table, host, even), 0.25, 0.02) << host;
  }
}

TEST_F(PlacementTest, AssignFreeRows_HolderWasRestarted_AssignsItsKeysAgain)
{
  m_table.Assign(kOrders, KeyRange{}, HolderOf("a"), {});
  auto restarted = RecordOf("a");
  restarted.server->incarnation = IncarnationOf("server-a", 2000);
  EXPECT_TRUE(AssignFreeRows(m_table,
                             StateOf({ restarted, RecordOf("b") }, m_table),
                             kOrders,
                             Targets("b", 1.0),
                             LoadMap()));
}

/** Guards against two holders of a key: a host's record that is older than the
 * row does not show that the holder has ended. */
TEST_F(PlacementTest, AssignFreeRows_RecordIsOlderThanTheRow_KeepsTheHolder)
{
  const RangeHolder holder{ HostName("a"), IncarnationOf("server-a", 2000) };
  m_table.Assign(kOrders, KeyRange{}, holder, {});
  EXPECT_FALSE(
    AssignFreeRows(m_table,
                   StateOf({ RecordOf("a"), RecordOf("b") }, m_table),
                   kOrders,
                   Targets("b", 1.0),
                   LoadMap()));
  EXPECT_EQ(m_table.RowsOf(kOrders)[0].holder, holder);
}

TEST_F(PlacementTest, AssignFreeRows_ReleasedWithAToken_KeepsTheToken)
{
  m_table.Assign(kOrders, KeyRange{}, HolderOf("a"), {});
  m_table.Free(kOrders, { 0, 9 }, "token");
  AssignFreeRows(m_table, State("ab"), kOrders, Targets("ab", 1.0), LoadMap());
  EXPECT_EQ(m_table.Find(kOrders, ShardKey(0))->handover, "token");
}

/** Load pattern HotNeighbours: a few adjacent keys get 40% of all requests. */
TEST_F(PlacementTest, Plan_HotNeighbours_AreSpreadBelowCapacity)
{
  const std::string hosts = "abcdefghij";
  const auto targets = Targets(hosts, 40.0);
  AssignFreeRows(m_table, State(hosts), kOrders, targets, LoadMap());
  LoadMap load(140.0);
  std::vector<LoadBucket> hot;
  for (uint32_t key = 20000; key < 20200; ++key) {
    hot.push_back(LoadBucket{ { key, key }, 0.5 });
  }
  load.Add(hot);
  const auto maxLoad = [&] {
    double result = 0.0;
    for (const char host : hosts) {
      result = std::max(result, LoadOn(m_table, std::string(1, host), load));
    }
    return result;
  };
  const auto baseline = maxLoad();
  ASSERT_GT(baseline, 100.0); // One host holds all hot keys.
  Rebalancer rebalancer;
  for (int round = 0; round < 10; ++round) {
    m_clock.Advance(seconds(1));
    for (const auto& move : rebalancer.Plan(
           m_table.RowsOf(kOrders), targets, load, m_clock.Now())) {
      m_table.Assign(kOrders, move.range, HolderOf(move.to.Value()), {});
    }
  }
  EXPECT_LT(maxLoad(), 40.0);
}

TEST_F(PlacementTest, Plan_SingleHotKeyOnABusyHost_OtherHostsAreStillRelieved)
{
  const auto targets = Targets("abcd", 100.0);
  m_table.Assign(kOrders, { 0, 0 }, HolderOf("a"), {});
  m_table.Assign(kOrders, { 1, 30000 }, HolderOf("b"), {});
  m_table.Assign(kOrders, { 30001, 45000 }, HolderOf("c"), {});
  m_table.Assign(kOrders, { 45001, kShardKeys - 1 }, HolderOf("d"), {});
  LoadMap load;
  load.Add(
    { LoadBucket{ { 0, 0 }, 300.0 }, LoadBucket{ { 1, 30000 }, 150.0 } });
  const auto moves =
    Rebalancer().Plan(m_table.RowsOf(kOrders), targets, load, m_clock.Now());
  ASSERT_FALSE(moves.empty());
  EXPECT_EQ(moves.front().from, HostName("b"));
}

TEST_F(PlacementTest, Plan_FirstKeyOfARangeIsHot_OtherKeysMove)
{
  const auto targets = Targets("ab", 100.0);
  m_table.Assign(kOrders, { 0, 30000 }, HolderOf("a"), {});
  m_table.Assign(kOrders, { 30001, kShardKeys - 1 }, HolderOf("b"), {});
  LoadMap load;
  load.Add({ LoadBucket{ { 0, 0 }, 100.0 }, LoadBucket{ { 1, 30000 }, 40.0 } });
  const auto moves =
    Rebalancer().Plan(m_table.RowsOf(kOrders), targets, load, m_clock.Now());
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves.front().from, HostName("a"));
  EXPECT_GT(moves.front().range.first, 0U);
}

TEST_F(PlacementTest, Plan_ManyHosts_MoreConcurrentMoves)
{
  const std::string names = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMN";
  const auto targets = Targets(names, 10.0);
  const auto size = kShardKeys / names.size();
  LoadMap load;
  for (size_t index = 0; index < names.size(); ++index) {
    const auto first = static_cast<uint32_t>(index * size);
    const KeyRange range{ first, static_cast<uint32_t>(first + size - 1) };
    m_table.Assign(kOrders, range, HolderOf(names.substr(index, 1)), {});
    load.Add({ LoadBucket{ range, index % 2 == 0 ? 12.0 : 4.0 } });
  }
  const auto moves =
    Rebalancer().Plan(m_table.RowsOf(kOrders), targets, load, m_clock.Now());
  EXPECT_GE(moves.size(), names.size() / 4);
}

TEST_F(PlacementTest, Plan_BelowMinUtilization_MovesNothing)
{
  const auto targets = Targets("ab", 100.0);
  m_table.Assign(kOrders, { 0, 60000 }, HolderOf("a"), {});
  m_table.Assign(kOrders, { 60001, kShardKeys - 1 }, HolderOf("b"), {});
  Rebalancer rebalancer;
  EXPECT_TRUE(
    rebalancer
      .Plan(m_table.RowsOf(kOrders), targets, LoadMap(30.0), m_clock.Now())
      .empty());
}

TEST_F(PlacementTest, Plan_HostWithoutKeys_GetsSome)
{
  const auto targets = Targets("abc", 100.0);
  AssignFreeRows(
    m_table, State("ab"), kOrders, Targets("ab", 100.0), LoadMap());
  Rebalancer rebalancer;
  const auto moves = rebalancer.Plan(
    m_table.RowsOf(kOrders), targets, LoadMap(30.0), m_clock.Now());
  ASSERT_FALSE(moves.empty());
  EXPECT_EQ(moves.front().to, HostName("c"));
}

TEST_F(PlacementTest, Plan_PendingMove_IsNotPlannedAgain)
{
  const auto targets = Targets("abc", 100.0);
  AssignFreeRows(
    m_table, State("ab"), kOrders, Targets("ab", 100.0), LoadMap());
  Rebalancer rebalancer;
  const auto rows = m_table.RowsOf(kOrders);
  const LoadMap load(30.0);
  ASSERT_FALSE(rebalancer.Plan(rows, targets, load, m_clock.Now()).empty());
  EXPECT_TRUE(rebalancer.Plan(rows, targets, load, m_clock.Now()).empty());
}

TEST(LoadMapTest, Split_HotRange_PiecesHaveEqualLoad)
{
  LoadMap load(1.0);
  load.Add({ LoadBucket{ { 100, 199 }, 99.0 } });
  const auto pieces = load.Split(KeyRange{}, 4);
  ASSERT_EQ(pieces.size(), 4U);
  for (const auto& piece : pieces) {
    EXPECT_NEAR(load.LoadOf(piece), 25.0, 1.5);
  }
}

TEST(LoadMapTest, Split_SingleKey_GivesOnePiece)
{
  const LoadMap load;
  EXPECT_EQ(load.Split({ 5, 5 }, 3).size(), 1U);
}

TEST(LeaseTest, Remaining_BeforeTakeover_IsZero)
{
  ManualClock clock;
  Lease lease;
  // This read was just too early to show the suspicion.
  lease.Renew(clock.Now());
  const auto suspectedAt = clock.Now();
  clock.Advance(lease.Remaining(clock.Now()));
  EXPECT_LT(clock.Now() - suspectedAt, kTakeoverWait);
  EXPECT_LE(lease.Remaining(clock.Now()), Duration{});
}

/**
 * After the loss of all hosts, backend servers register one by one. The first
 * ones must not get the keys of all the others.
 */
TEST_F(PlacementTest,
       AssignFreeRows_ServersRestartOneByOne_KeysReturnToTheirHost)
{
  const std::string names = "abcdefgh";
  const auto before = Targets(names, 1.0);
  std::vector<HostRecord> records;
  for (const char name : names) {
    records.push_back(RecordOf(std::string(1, name)));
  }
  AssignFreeRows(m_table, StateOf(records), kOrders, before, LoadMap());
  const auto rows = m_table.RowsOf(kOrders);
  std::vector<PlacementTarget> registered;
  for (auto& record : records) {
    const auto& host = record.host.Value();
    record.server->incarnation = IncarnationOf("server-" + host, 2000);
    registered.push_back(PlacementTarget{
      RangeHolder{ record.host, record.server->incarnation }, 1.0 });
    EXPECT_TRUE(AssignFreeRows(
      m_table, StateOf(records, m_table), kOrders, registered, LoadMap()));
  }
  const auto& after = m_table.RowsOf(kOrders);
  ASSERT_EQ(after.size(), rows.size());
  for (size_t index = 0; index < rows.size(); ++index) {
    EXPECT_EQ(after[index].range, rows[index].range);
    EXPECT_EQ(after[index].holder.host, rows[index].holder.host);
    EXPECT_GT(after[index].fence, rows[index].fence);
  }
}

/** A host that gave keys away still reports their load for some seconds. */
TEST_F(PlacementTest, LoadOf_OverlappingBuckets_AddsThemUp)
{
  LoadMap load(0.0);
  load.Add({ { { 0, 99 }, 10.0 }, { { 50, 59 }, 4.0 }, { { 200, 200 }, 3.0 } });
  load.Add({ { { 40, 59 }, 2.0 } });
  EXPECT_NEAR(load.LoadOf({ 0, 99 }), 16.0, 1e-9);
  EXPECT_NEAR(load.LoadOf({ 55, 59 }), 0.5 + 2.0 + 0.5, 1e-9);
  EXPECT_NEAR(load.LoadOf({ 100, 199 }), 0.0, 1e-9);
  EXPECT_NEAR(load.LoadOf({ 150, kShardKeys - 1 }), 3.0, 1e-9);
}

/**
 * After the loss of all hosts, the coordinator assigns all ranges of 300 hosts
 * while it still takes in records and reports. The time of one assignment must
 * not grow with the product of hosts, rows and buckets: with twenty rounds,
 * that would exceed the time limit of the tests.
 */
TEST_F(PlacementTest,
       AssignFreeRows_HalfOfThreeHundredHostsLost_SpreadsTheirKeys)
{
  constexpr uint32_t kHosts = 300;
  constexpr uint32_t kBucketsPerHost = 28;
  std::vector<HostRecord> records;
  std::vector<PlacementTarget> targets;
  std::vector<LoadBucket> buckets;
  constexpr auto kWidth = kShardKeys / (kHosts * kBucketsPerHost);
  for (uint32_t host = 0; host < kHosts; ++host) {
    records.push_back(RecordOf("host-" + std::to_string(host)));
    targets.push_back(
      PlacementTarget{ HolderOf(records.back().host.Value()), 1.0 });
    for (uint32_t bucket = 0; bucket < kBucketsPerHost; ++bucket) {
      const auto first = (host * kBucketsPerHost + bucket) * kWidth;
      buckets.push_back({ { first, first + kWidth - 1 }, 1.0 });
    }
  }
  LoadMap load;
  load.Add(buckets);
  AssignFreeRows(m_table, StateOf(records), kOrders, targets, load);
  targets.resize(kHosts / 2);
  records.resize(kHosts / 2);
  FreeRowsOfRemovedHosts(m_table, StateOf(records));
  const auto state = StateOf(records, m_table);
  for (int round = 0; round < 20; ++round) {
    auto table = m_table;
    ASSERT_TRUE(AssignFreeRows(table, state, kOrders, targets, load));
    for (const auto& target : targets) {
      ASSERT_LT(LoadOn(table, target.holder.host.Value(), load),
                3.0 * load.LoadOf({}) / static_cast<double>(targets.size()));
    }
  }
}

}
