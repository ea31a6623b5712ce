#include <gtest/gtest.h>

#include <map>

#include "src/Routing/RouteTable.h"

namespace pistachioshift::test {

class RouteTableTest : public ::testing::Test
{
protected:
  static Route Make(const char* aName, const char* aHost, const char* aPrefix)
  {
    Route route;
    route.name = RouteName(aName);
    route.host = aHost;
    route.pathPrefix = aPrefix;
    route.targets = { RouteTarget{ ServiceName(aName), 1 } };
    return route;
  }

  RouteTable m_table{ { Make("root", "a.example", "/"),
                        Make("deep", "a.example", "/x/y/"),
                        Make("wide", "a.example", "/x/") } };
};

TEST_F(RouteTableTest, Match_SeveralPrefixes_LongestWins)
{
  EXPECT_EQ(m_table.Match("a.example", "/x/y/z")->name, RouteName("deep"));
  EXPECT_EQ(m_table.Match("a.example", "/x/z")->name, RouteName("wide"));
  EXPECT_EQ(m_table.Match("a.example", "/z")->name, RouteName("root"));
}

TEST_F(RouteTableTest, Match_PathWithoutTrailingSlashOfPrefix_IsNoMatch)
{
  EXPECT_EQ(m_table.Match("a.example", "/xy")->name, RouteName("root"));
}

TEST_F(RouteTableTest, Match_HostInOtherCaseWithPort_Matches)
{
  EXPECT_NE(m_table.Match("A.Example:8080", "/"), nullptr);
  EXPECT_EQ(m_table.Match("b.example", "/"), nullptr);
}

TEST_F(RouteTableTest, ChooseTarget_Weights_DetermineShares)
{
  auto route = Make("split", "a.example", "/");
  route.targets = { RouteTarget{ ServiceName("main"), 90 },
                    RouteTarget{ ServiceName("trial"), 10 } };
  RandomEngine random(7);
  std::map<ServiceName, int> drawn;
  for (int count = 0; count < 10000; ++count) {
    ++drawn[ChooseTarget(route, random)];
  }
  EXPECT_NEAR(drawn[ServiceName("trial")], 1000, 100);
}

TEST_F(RouteTableTest, ChooseTarget_WeightZero_IsNeverDrawn)
{
  auto route = Make("split", "a.example", "/");
  route.targets = { RouteTarget{ ServiceName("main"), 1 },
                    RouteTarget{ ServiceName("off"), 0 } };
  RandomEngine random(7);
  for (int count = 0; count < 1000; ++count) {
    EXPECT_EQ(ChooseTarget(route, random), ServiceName("main"));
  }
}

}
