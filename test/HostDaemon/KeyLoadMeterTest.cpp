#include <gtest/gtest.h>

#include "src/HostDaemon/KeyLoadMeter.h"

namespace pistachioshift::test {

class KeyLoadMeterTest : public ::testing::Test
{
protected:
  static constexpr size_t kMaxBuckets = 128;

  std::vector<LoadBucket> NextInterval(size_t aMaxBuckets = kMaxBuckets)
  {
    m_clock.Advance(std::chrono::seconds(1));
    return m_meter.EndInterval(m_clock.Now(), aMaxBuckets);
  }

  ManualClock m_clock;
  KeyLoadMeter m_meter;
};

TEST_F(KeyLoadMeterTest, EndInterval_SteadyLoad_ConvergesToItsRate)
{
  NextInterval();
  std::vector<LoadBucket> buckets;
  for (int second = 0; second < 20; ++second) {
    for (int count = 0; count < 30; ++count) {
      m_meter.Count(ShardKey(7), 1.0);
    }
    buckets = NextInterval();
  }
  ASSERT_EQ(buckets.size(), 1U);
  EXPECT_EQ(buckets[0].range, (KeyRange{ 7, 7 }));
  EXPECT_NEAR(buckets[0].load, 30.0, 1.0);
}

TEST_F(KeyLoadMeterTest, EndInterval_HotKeyAmongCold_HasItsOwnBucket)
{
  NextInterval();
  for (uint32_t key = 0; key < 1000; ++key) {
    m_meter.Count(ShardKey(key), key == 500 ? 500.0 : 0.5);
  }
  bool alone = false;
  for (const auto& bucket : NextInterval()) {
    alone = alone || bucket.range == KeyRange{ 500, 500 };
  }
  EXPECT_TRUE(alone);
}

/** The reports of three hundred hosts arrive at one of them. */
TEST_F(KeyLoadMeterTest, EndInterval_FewerBuckets_KeepHotKeyAndTotal)
{
  NextInterval();
  for (uint32_t key = 0; key < 1000; ++key) {
    m_meter.Count(ShardKey(key), key == 500 ? 500.0 : 0.5);
  }
  constexpr size_t kFew = 24;
  const auto buckets = NextInterval(kFew);
  EXPECT_LE(buckets.size(), kFew);
  double total = 0.0;
  bool alone = false;
  for (const auto& bucket : buckets) {
    total += bucket.load;
    alone = alone || bucket.range == KeyRange{ 500, 500 };
  }
  EXPECT_TRUE(alone);
  EXPECT_NEAR(total, 999.5 * 0.2835, 1.0); // One second of three.
}

TEST_F(KeyLoadMeterTest, EndInterval_LoadEnds_KeyIsDropped)
{
  NextInterval();
  m_meter.Count(ShardKey(7), 1.0);
  NextInterval();
  std::vector<LoadBucket> buckets;
  for (int second = 0; second < 20; ++second) {
    buckets = NextInterval();
  }
  EXPECT_TRUE(buckets.empty());
}

}
