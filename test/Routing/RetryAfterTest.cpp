#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;

// Load pattern: callers that are refused together come back together. With
// evenly drawn numbers, no tenth of the spread gets more than its share.
TEST(RetryAfterTest, CallersRefusedTogether_ReturnSpreadOut)
{
  for (const auto left : { milliseconds(600), milliseconds(1500) }) {
    std::vector<Duration> returns;
    returns.reserve(100);
    for (int caller = 0; caller < 100; ++caller) {
      returns.push_back(
        SpreadRetryAfter(milliseconds(700), left, caller / 100.0));
    }
    EXPECT_GE(returns.back() - returns.front(), milliseconds(60));
    for (size_t index = 10; index < returns.size(); ++index) {
      EXPECT_GE(returns[index] - returns[index - 10], milliseconds(6));
    }
  }
}

// Guards against times that callers shorten to the same time.
RC_GTEST_PROP(RetryAfterTest, AnyTimes_WithinAThirdOfTheTimeLeft, ())
{
  const milliseconds expected(*rc::gen::inRange(1, 5000));
  const Duration left = milliseconds(*rc::gen::inRange(1, 5000));
  const auto draw = *rc::gen::inRange(0, 1000) / 1000.0;
  const auto delay = SpreadRetryAfter(expected, left, draw);
  RC_ASSERT(delay >= Duration{});
  RC_ASSERT(delay <= left / 3 + std::chrono::microseconds(1));
}

TEST(RetryAfterTest, TimeLeftUnknown_NotBeforeCapacityIsExpected)
{
  EXPECT_EQ(SpreadRetryAfter(milliseconds(700), Duration{}, 0.0),
            milliseconds(700));
  EXPECT_LE(SpreadRetryAfter(milliseconds(700), Duration{}, 0.999),
            milliseconds(1050));
}

}
}
