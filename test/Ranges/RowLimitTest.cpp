#include <algorithm>
#include <map>
#include <string>

#include <gtest/gtest.h>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::seconds;

class RowLimitTest : public ::testing::Test
{
protected:
  static constexpr double kCapacity = 40.0;

  static std::vector<PlacementTarget> Targets(const std::string& aHosts)
  {
    std::vector<PlacementTarget> targets;
    for (const char host : aHosts) {
      targets.push_back(
        PlacementTarget{ HolderOf(std::string(1, host)), kCapacity });
    }
    return targets;
  }

  static MeshState State(const std::string& aHosts, const RangeTable& aTable)
  {
    std::vector<HostRecord> records;
    for (const char host : aHosts) {
      records.push_back(RecordOf(std::string(1, host)));
    }
    return StateOf(records, aTable);
  }

  /** Rows of equal size that the hosts hold by turns. */
  void AssignByTurns(const std::string& aHosts, uint32_t aRowsPerHost)
  {
    const auto rows = static_cast<uint32_t>(aHosts.size()) * aRowsPerHost;
    for (uint32_t row = 0; row < rows; ++row) {
      const KeyRange range{ row * kShardKeys / rows,
                            (row + 1) * kShardKeys / rows - 1 };
      const auto host = aHosts.substr(row % aHosts.size(), 1);
      m_table.Assign(kOrders, range, HolderOf(host), "token");
    }
  }

  size_t MostRows() const
  {
    std::map<HostName, size_t> counts;
    size_t most = 0;
    for (const auto& row : m_table.RowsOf(kOrders)) {
      most = std::max(most, ++counts[row.holder.host]);
    }
    return most;
  }

  double LoadOn(const HostName& aHost, const LoadMap& aLoad) const
  {
    double load = 0.0;
    for (const auto& row : m_table.RowsOf(kOrders)) {
      load += row.holder.host == aHost ? aLoad.LoadOf(row.range) : 0.0;
    }
    return load;
  }

  double MaxLoad(const std::string& aHosts, const LoadMap& aLoad) const
  {
    double most = 0.0;
    for (const char host : aHosts) {
      most = std::max(most, LoadOn(HostName(std::string(1, host)), aLoad));
    }
    return most;
  }

  size_t PlanAndApply(const std::string& aHosts, const LoadMap& aLoad)
  {
    m_clock.Advance(seconds(1));
    const auto moves = m_rebalancer.Plan(
      m_table.RowsOf(kOrders), Targets(aHosts), aLoad, m_clock.Now());
    for (const auto& move : moves) {
      m_table.Assign(kOrders, move.range, HolderOf(move.to.Value()), "token");
    }
    return moves.size();
  }

  ManualClock m_clock;
  RangeTable m_table;
  Rebalancer m_rebalancer;
};

/** Load pattern: 200 adjacent keys get 40% of the requests, and other ones some
 * seconds later. Guards against rows without bound, and against a limit that
 * ends the relief early: fifty regions in a row are spread. */
TEST_F(RowLimitTest, Plan_HotRegionsChange_RowsAreBoundedAndHotKeysSpread)
{
  constexpr uint32_t kChanges = 400;
  constexpr uint32_t kSpreadChanges = 50;
  const std::string hosts = "abcdefghij";
  AssignByTurns(hosts, 1);
  for (uint32_t change = 0; change < kChanges; ++change) {
    const auto first = (change * 25031) % (kShardKeys - 200);
    LoadMap load(140.0);
    load.Add({ LoadBucket{ { first, first + 199 }, 100.0 } });
    for (int second = 0; second < 20; ++second) {
      PlanAndApply(hosts, load);
      ASSERT_LE(MostRows(), RebalanceSettings().maxRows);
    }
    if (change < kSpreadChanges) {
      EXPECT_LT(MaxLoad(hosts, load), kCapacity) << "change " << change;
    }
  }
}

/** Failure case: half of the hosts are lost when all have as many rows as moves
 * may lead to. */
TEST_F(RowLimitTest, AssignFreeRows_HalfOfTheHostsLost_RowsFitIntoTheReply)
{
  AssignByTurns("abcdef", static_cast<uint32_t>(RebalanceSettings().maxRows));
  const auto rows = m_table.RowsOf(kOrders);
  for (const auto& row : rows) {
    if (row.holder.host > HostName("c")) {
      m_table.Free(kOrders, row.range, {});
    }
  }
  LoadMap load(10.0);
  load.Add({ LoadBucket{ { 0, 30000 }, 90.0 } });
  ASSERT_TRUE(AssignFreeRows(
    m_table, State("abc", m_table), kOrders, Targets("abc"), load));
  EXPECT_LE(MostRows(), kMaxRowsPerHost);
}

/** After the loss of hosts, those that return take rows over again. */
TEST_F(RowLimitTest, Plan_HostsReturnWithoutRows_RowsSpreadToTheLimit)
{
  AssignByTurns("abc", static_cast<uint32_t>(kMaxRowsPerHost));
  const LoadMap load(10.0);
  for (int second = 0; second < 120; ++second) {
    PlanAndApply("abcdefg", load);
    ASSERT_LE(MostRows(), kMaxRowsPerHost);
  }
  EXPECT_LE(MostRows(), RebalanceSettings().maxRows);
  EXPECT_EQ(PlanAndApply("abcdefg", load), 0U);
}

}
