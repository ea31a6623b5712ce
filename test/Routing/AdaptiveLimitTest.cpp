#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;

class AdaptiveLimitTest : public ::testing::Test
{
protected:
  MonoTime m_now{ std::chrono::hours(1) };
};

RC_GTEST_FIXTURE_PROP(AdaptiveLimitTest, AnyEvents_Limit_WithinOneAndSlots, ())
{
  const auto slots = *rc::gen::inRange<uint32_t>(1, 20);
  AdaptiveLimit limit(slots);
  const auto steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    m_now += milliseconds(1);
    const auto started = m_now - milliseconds(*rc::gen::inRange(0, 10));
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        limit.OnShed(started, m_now);
        break;
      case 1:
        limit.OnFailed(started, m_now);
        break;
      case 2:
        limit.OnRestart(m_now);
        break;
      default:
        limit.OnDone();
    }
    RC_ASSERT(limit.Value() >= 1U && limit.Value() <= slots);
  }
}

TEST_F(AdaptiveLimitTest, OnShed_SameRound_DecreasesOnce)
{
  AdaptiveLimit limit(10);
  const auto started = m_now - milliseconds(5);
  limit.OnShed(started, m_now);
  limit.OnShed(started, m_now);
  EXPECT_EQ(limit.Value(), 7U);
  limit.OnShed(m_now, m_now + milliseconds(5));
  EXPECT_EQ(limit.Value(), 4U);
}

// The backend server sheds each request beyond 6 at once; it has 16 slots.
TEST_F(AdaptiveLimitTest, ShedsAboveSix_ManyRounds_StaysNearSix)
{
  AdaptiveLimit limit(16);
  int sent = 0;
  int shed = 0;
  for (int round = 0; round < 1000; ++round) {
    const auto started = m_now;
    const auto count = limit.Value();
    m_now += milliseconds(5);
    for (uint32_t index = 0; index < count; ++index) {
      if (index < 6) {
        limit.OnDone();
      } else {
        limit.OnShed(started, m_now);
        ++shed;
      }
      ++sent;
    }
  }
  EXPECT_GE(sent - shed, 1000 * 6 * 8 / 10);
  EXPECT_LE(shed, sent / 50);
}

TEST_F(AdaptiveLimitTest, SheddingEnds_Answers_LimitReturnsToSlots)
{
  AdaptiveLimit limit(16);
  for (int count = 0; count < 8; ++count) {
    limit.OnShed(m_now, m_now);
    m_now += milliseconds(5);
  }
  EXPECT_EQ(limit.Value(), 1U);
  for (int count = 0; count < 400; ++count) {
    limit.OnDone();
  }
  EXPECT_EQ(limit.Value(), 16U);
}

TEST_F(AdaptiveLimitTest, OnRestart_Answers_SlowStartToSlots)
{
  AdaptiveLimit limit(9);
  limit.OnRestart(m_now);
  EXPECT_EQ(limit.Value(), 1U);
  for (int count = 0; count < 8; ++count) {
    limit.OnDone();
  }
  EXPECT_EQ(limit.Value(), 9U);
}

}
}
