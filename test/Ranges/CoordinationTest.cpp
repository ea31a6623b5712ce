#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

class CoordinationTest : public ::testing::Test
{
protected:
  static HostRecord Host(const std::string& aName,
                         const std::string& aZone,
                         int32_t aCpuMillis)
  {
    auto host = RecordOf(aName);
    host.zone = ZoneName(aZone);
    host.cpuMillis = aCpuMillis;
    return host;
  }

  static std::vector<HostName> Names(const std::vector<std::string>& aNames)
  {
    return { aNames.begin(), aNames.end() };
  }

  static bool AnyHost(const HostRecord&) { return true; }
};

/** The coordinator of some hundred hosts needs more than the smallest has. */
TEST_F(CoordinationTest, CoordinationOrder_SmallHostFirstByName_LargestIsFirst)
{
  const auto state =
    StateOf({ Host("a", "z", 100), Host("b", "z", 500), Host("c", "z", 500) });
  EXPECT_EQ(CoordinationOrder(state), Names({ "b", "c", "a" }));
}

TEST_F(CoordinationTest, CoordinationOrder_LargestIsLeaving_IsLast)
{
  auto leaving = Host("a", "z", 500);
  leaving.server->state = ServerState::kDraining;
  const auto state =
    StateOf({ leaving, Host("b", "z", 100), Host("c", "z", 100) });
  EXPECT_EQ(CoordinationOrder(state), Names({ "b", "c", "a" }));
}

TEST_F(CoordinationTest, CoordinationOrder_SuspectedHost_IsLeftOut)
{
  RangeTable table;
  table.Suspect(HostName("a"));
  const auto state =
    StateOf({ Host("a", "z", 500), Host("b", "z", 100) }, table);
  EXPECT_EQ(CoordinationOrder(state), Names({ "b" }));
}

TEST_F(CoordinationTest, PlanBroadcast_FirstRelayFailed_NextOneRelays)
{
  const auto state = StateOf({ Host("a", "z", 100),
                               Host("b", "z", 500),
                               Host("c", "z", 100),
                               Host("self", "z", 100) });
  const auto groups =
    PlanBroadcast(state, HostName("self"), [](const HostRecord& aHost) {
      return aHost.host != HostName("b");
    });
  for (const auto& group : groups) {
    EXPECT_NE(group.relay, HostName("b"));
  }
}

RC_GTEST_FIXTURE_PROP(CoordinationTest,
                      PlanBroadcast_AnyHosts_ReachesEachOnceWithinItsZone,
                      ())
{
  const auto count = *rc::gen::inRange(1, 40);
  std::vector<HostRecord> hosts;
  for (int index = 0; index < count; ++index) {
    const auto zone = std::string(1, *rc::gen::element('x', 'y', 'z'));
    hosts.push_back(
      Host("h" + std::to_string(index), zone, *rc::gen::element(100, 500)));
  }
  const auto state = StateOf(hosts);
  const HostName self("h0");
  std::set<HostName> reached;
  for (const auto& group : PlanBroadcast(state, self, AnyHost)) {
    RC_ASSERT(reached.insert(group.relay).second);
    for (const auto& member : group.members) {
      RC_ASSERT(reached.insert(member).second);
      RC_ASSERT(state.FindHost(member)->zone ==
                state.FindHost(group.relay)->zone);
      RC_ASSERT(state.FindHost(member)->cpuMillis <=
                state.FindHost(group.relay)->cpuMillis);
    }
  }
  RC_ASSERT(!reached.contains(self));
  RC_ASSERT(reached.size() == hosts.size() - 1);
}

/**
 * Each change used to be sent by its writer to all hosts, over as many
 * connections. With 300 hosts no sender may have more than some twenty
 * receivers.
 */
TEST_F(CoordinationTest, PlanBroadcast_ThreeHundredHosts_SendersStaySmall)
{
  constexpr int kHosts = 300;
  std::vector<HostRecord> hosts;
  hosts.reserve(kHosts);
  for (int index = 0; index < kHosts; ++index) {
    hosts.push_back(Host("h" + std::to_string(index),
                         "zone-" + std::to_string(index % 6),
                         index < 24 ? 500 : 100));
  }
  const auto groups = PlanBroadcast(StateOf(hosts), HostName("h0"), AnyHost);
  EXPECT_LE(groups.size(), 20U);
  for (const auto& group : groups) {
    EXPECT_LE(group.members.size(), 18U);
    EXPECT_EQ(StateOf(hosts).FindHost(group.relay)->cpuMillis, 500);
  }
}

}
