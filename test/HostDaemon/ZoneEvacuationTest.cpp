#include <gtest/gtest.h>

#include "src/HostDaemon/LaggingPeers.h"
#include "src/HostDaemon/ZoneEvacuation.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

const ZoneName kOwnZone("north");
const std::set<ZoneName> kEvacuated{ kOwnZone };
constexpr MonoTime kNow{ std::chrono::hours(1) };

/** Guards against requests that reach the server 5 s after the order: the end
 * of starts counts from the notice, and from the order if the notice is late.
 */
TEST(ZoneEvacuationTest, RefusesStarts_NoticeIsEarlyOrLate_KeepsTheLimit)
{
  for (const auto age : { milliseconds(0), milliseconds(2500) }) {
    ZoneEvacuation evacuation(milliseconds(5000));
    evacuation.Update(kOwnZone, {}, kNow, kNow);
    EXPECT_EQ(evacuation.Update(kOwnZone, kEvacuated, kNow - age, kNow),
              ZoneEvacuation::Change::kBegun);
    EXPECT_FALSE(evacuation.TakesKeys());
    EXPECT_FALSE(evacuation.RefusesStarts(kNow + milliseconds(1400)));
    EXPECT_TRUE(evacuation.RefusesStarts(kNow + milliseconds(3000)));
    EXPECT_TRUE(evacuation.RefusesStarts(kNow - age + milliseconds(4500)));
    EXPECT_EQ(evacuation.Update(kOwnZone, {}, kNow, kNow),
              ZoneEvacuation::Change::kEnded);
    EXPECT_FALSE(evacuation.RefusesStarts(kNow + milliseconds(9000)));
  }
}

/** Guards against a restarted daemon that takes an old evacuation for a new
 * one, or starts requests before it knows of it. */
TEST(ZoneEvacuationTest, RefusesStarts_DaemonHasJustStarted_StartsNone)
{
  ZoneEvacuation evacuation(milliseconds(5000));
  EXPECT_TRUE(evacuation.RefusesStarts(kNow));
  evacuation.Update(kOwnZone, kEvacuated, kNow, kNow);
  EXPECT_TRUE(evacuation.RefusesStarts(kNow));
}

/** Deployments that evacuate no zones start requests as before. */
TEST(ZoneEvacuationTest, RefusesStarts_LimitIsNotSet_StartsAtOnce)
{
  EXPECT_FALSE(ZoneEvacuation(std::nullopt).RefusesStarts(kNow));
}

/** Guards against a broadcast on a slow link that is repeated by direct sends
 * to all hosts, and against hosts that stay behind for good. */
TEST(LaggingPeersTest, OnReport_HostsLackAPosition_FewAreSentItAtOnce)
{
  LaggingPeers peers;
  const auto due = [&](StorePosition aPosition, Duration aAt) {
    int count = 0;
    for (int host = 0; host < 20; ++host) {
      const HostName name(std::to_string(host));
      count += peers.OnReport(name, aPosition, { {}, 9 }, kNow + aAt) ? 1 : 0;
    }
    return count;
  };
  EXPECT_EQ(due({ {}, 8 }, milliseconds(0)), 0);
  EXPECT_EQ(due({ {}, 8 }, milliseconds(500)), 0);
  EXPECT_EQ(due({ {}, 8 }, milliseconds(1000)), 4);
  EXPECT_EQ(due({ {}, 8 }, milliseconds(1500)), 4);
  EXPECT_EQ(due({ {}, 9 }, milliseconds(2000)), 0);
  EXPECT_EQ(due({ {}, 8 }, milliseconds(2500)), 0); // A new lag.
}

/** A host that follows frequent records at a small distance lacks none of them
 * for long. */
TEST(LaggingPeersTest, OnReport_HostFollowsAtADistance_IsSentNothing)
{
  LaggingPeers peers;
  for (int report = 0; report < 10; ++report) {
    EXPECT_FALSE(peers.OnReport(HostName("a"),
                                { {}, report + 1 },
                                { {}, report + 2 },
                                kNow + report * milliseconds(500)));
  }
}

}
