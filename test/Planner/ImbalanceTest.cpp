#include <algorithm>
#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Planner"

namespace pistachioshift {
namespace {

class ImbalanceTest : public ::testing::Test
{};

RC_GTEST_FIXTURE_PROP(ImbalanceTest,
                      ImbalanceLowerBound_AnyAssignment_IsNoLower,
                      ())
{
  const auto servers = *rc::gen::inRange<size_t>(1, 5);
  const auto keys = *rc::gen::container<std::vector<int>>(
    *rc::gen::inRange<size_t>(1, 10), rc::gen::inRange(1, 100));
  const std::vector<double> loads(keys.begin(), keys.end());
  std::vector<double> sums(servers, 0.0);
  for (const auto load : loads) {
    sums[*rc::gen::inRange<size_t>(0, servers)] += load;
  }
  const auto mean = std::accumulate(loads.begin(), loads.end(), 0.0) /
                    static_cast<double>(servers);
  const auto largest = *std::max_element(sums.begin(), sums.end());
  RC_ASSERT(ImbalanceLowerBound(loads, servers) <= largest / mean + 1e-9);
}

TEST_F(ImbalanceTest,
       ImbalanceLowerBound_MoreHeavyKeysThanServers_CountsSharedServer)
{
  EXPECT_DOUBLE_EQ(ImbalanceLowerBound({ 6.0, 1.0, 1.0 }, 2), 1.5);
  EXPECT_DOUBLE_EQ(ImbalanceLowerBound({ 1.0, 1.0, 1.0 }, 2), 4.0 / 3.0);
  EXPECT_DOUBLE_EQ(ImbalanceLowerBound({}, 2), 1.0);
}

TEST_F(ImbalanceTest, ImbalanceOf_MovingEntry_CountsAtTarget)
{
  ServiceLoad load;
  load.servers = { { DaemonId(1) }, { DaemonId(2) } };
  load.entries = { { { RangeIndex(0), "" }, DaemonId(1), 3.0 },
                   { { RangeIndex(1), "" }, DaemonId(1), 3.0 } };
  EXPECT_DOUBLE_EQ(ImbalanceOf(load), 2.0);
  load.entries[1].movingTo = DaemonId(2);
  EXPECT_DOUBLE_EQ(ImbalanceOf(load), 1.0);
}

}
}
