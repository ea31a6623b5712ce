#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "platform/Heartbeats.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::platform::test {

using namespace pistachioshift::test;
using std::chrono::seconds;

/** Three hosts whose ranges are rebalanced as the busy keys change. */
class HeartbeatReplyTest : public ::testing::Test
{
protected:
  /** A backend server takes a longer reply for none. */
  static constexpr size_t kMaxReplyBytes = 4096;
  static constexpr double kCapacity = 100.0;

  HeartbeatReplyTest()
  {
    uint32_t first = 0;
    for (const auto* host : { "a", "b", "c" }) {
      m_targets.push_back(PlacementTarget{ HolderOf(host), kCapacity });
      const uint32_t last =
        m_targets.size() == 3 ? kShardKeys - 1 : first + kShardKeys / 3;
      m_table.Assign(kOrders, { first, last }, HolderOf(host), {});
      first = last + 1;
    }
  }

  /** One second, in which a region of keys is busy. */
  void Step(uint32_t aBusy)
  {
    m_clock.Advance(seconds(1));
    LoadMap load(60.0);
    std::vector<LoadBucket> buckets;
    for (uint32_t key = aBusy; key < aBusy + 200; ++key) {
      buckets.push_back(LoadBucket{ { key, key }, 0.7 });
    }
    load.Add(buckets);
    for (const auto& move : m_rebalancer.Plan(
           m_table.RowsOf(kOrders), m_targets, load, m_clock.Now())) {
      m_table.Assign(
        kOrders, move.range, HolderOf(move.to.Value()), "5c0e7a21d94b36f8");
    }
  }

  /** Bytes of the longest reply to a heartbeat. */
  size_t LongestReply() const
  {
    size_t longest = 0;
    for (const auto& target : m_targets) {
      HeartbeatReply reply;
      reply.renews = true;
      for (const auto& row : m_table.RowsOf(kOrders)) {
        if (row.holder == target.holder) {
          reply.ranges.push_back({ row.range, row.fence, row.handover });
        }
      }
      longest = std::max(longest, EncodeReply(reply).size());
    }
    return longest;
  }

  ManualClock m_clock;
  RangeTable m_table;
  std::vector<PlacementTarget> m_targets;
  Rebalancer m_rebalancer;
};

/** Guards against rows that are split by moves and never merged, until the
 * replies are too long to be acknowledgements. */
TEST_F(HeartbeatReplyTest, Reply_BusyKeysChangeForAnHour_IsAcknowledged)
{
  constexpr int kSeconds = 3600;
  constexpr int kChangeInterval = 3;
  uint32_t busy = 0;
  for (int second = 0; second < kSeconds; ++second) {
    if (second % kChangeInterval == 0) {
      busy = (busy + 25031) % (kShardKeys - 200);
    }
    Step(busy);
    ASSERT_LE(LongestReply(), kMaxReplyBytes) << "after " << second << " s";
  }
}

}
