#include <algorithm>
#include <deque>

#include <gtest/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceName kCallee("C");

/** Outer requests at a constant rate, 7 of 10 of which make a call that ends
 * after 100 ms. Without an answer to its call, a request ends with a 500. */
class CalleeThrottleTest : public ::testing::Test
{
protected:
  static constexpr int kPerSecond = 50;

  struct Sums
  {
    int arrived = 0;
    int admitted = 0;
    int calls = 0;
    int failed = 0; ///< Requests that end with a 500.
  };

  /** \param aAnsweredPerSecond calls that the callee answers. */
  Sums Run(Duration aFor, double aAnsweredPerSecond)
  {
    Sums sums;
    const auto end = m_now + aFor;
    double capacity = 0.0;
    while (m_now < end) {
      m_now += Duration(seconds(1)) / kPerSecond;
      capacity = std::min(capacity + aAnsweredPerSecond / kPerSecond, 1.0);
      while (!m_calls.empty() && m_calls.front() <= m_now) {
        m_calls.pop_front();
        const bool answered = capacity >= 1.0;
        capacity -= answered ? 1.0 : 0.0;
        sums.calls += 1;
        sums.failed += answered ? 0 : 1;
        m_throttle.OnCallEnded(kCallee,
                               answered ? CalleeResult::kAnswered
                                        : CalleeResult::kFailed,
                               m_now);
      }
      ++sums.arrived;
      if (!m_throttle.Admits(m_now)) {
        continue;
      }
      ++sums.admitted;
      m_throttle.OnStarted(m_now);
      if (sums.admitted % 10 < 7) {
        m_calls.push_back(m_now + milliseconds(100));
      }
    }
    return sums;
  }

  MonoTime m_now{ std::chrono::hours(1) };
  std::deque<MonoTime> m_calls;
  CalleeThrottle m_throttle;
};

// Load pattern: the callee's link is saturated and one call in ten is answered,
// while the servers answer 500 to the rest. Guards against slots that are spent
// on requests that end with a 500: at most half of the unthrottled number.
TEST_F(CalleeThrottleTest, LinkOfCalleeSaturated_MostFailuresAreRefusedInstead)
{
  constexpr double kCallsPerSecond = 0.7 * kPerSecond;
  Run(seconds(3), 0.1 * kCallsPerSecond);
  const auto sums = Run(seconds(10), 0.1 * kCallsPerSecond);
  EXPECT_LE(sums.failed, 0.5 * 0.9 * 10 * kCallsPerSecond);
  EXPECT_GT(sums.admitted, 0);
  EXPECT_EQ(m_throttle.WorstCallee(m_now), kCallee);
}

// Load pattern: all servers of the callee shed 55% of their calls, and retries
// bring the answered share to a half. Guards against requests that are refused
// although half of them would be answered.
TEST_F(CalleeThrottleTest, CalleeShedsHalfOfItsCalls_AllAdmitted)
{
  constexpr double kCallsPerSecond = 0.7 * kPerSecond;
  const auto sums = Run(seconds(8), 0.5 * kCallsPerSecond);
  EXPECT_EQ(sums.admitted, sums.arrived);
}

// The callee recovers. Guards against a throttle that keeps itself in force.
TEST_F(CalleeThrottleTest, CalleeRecovers_AllAdmittedWithinSeconds)
{
  Run(seconds(10), 0.0);
  EXPECT_GT(m_throttle.RefusedShare(m_now), 0.5);
  Run(seconds(6), kPerSecond);
  const auto sums = Run(seconds(2), kPerSecond);
  EXPECT_EQ(sums.admitted, sums.arrived);
  EXPECT_FALSE(m_throttle.WorstCallee(m_now));
}

// Guards against refusals because of single failures: one call in five fails.
TEST_F(CalleeThrottleTest, MostCallsAnswered_AllAdmitted)
{
  for (int call = 0; call < 500; ++call) {
    m_now += milliseconds(20);
    EXPECT_TRUE(m_throttle.Admits(m_now));
    m_throttle.OnStarted(m_now);
    const auto result =
      call % 5 == 4 ? CalleeResult::kFailed : CalleeResult::kAnswered;
    m_throttle.OnCallEnded(kCallee, result, m_now);
  }
}

// Calls that only a tenth of the requests make refuse at most that share.
TEST_F(CalleeThrottleTest, FewRequestsCallTheFailingCallee_OthersAdmitted)
{
  int refused = 0;
  for (int request = 0; request < 2000; ++request) {
    m_now += milliseconds(5);
    if (!m_throttle.Admits(m_now)) {
      ++refused;
      continue;
    }
    m_throttle.OnStarted(m_now);
    if (request % 10 == 0) {
      m_throttle.OnCallEnded(kCallee, CalleeResult::kFailed, m_now);
    }
  }
  EXPECT_LE(refused, 2000 / 5);
  EXPECT_GT(refused, 0);
}

// Failure case: the daemon was restarted and knows of no call.
TEST_F(CalleeThrottleTest, NothingKnown_AllAdmitted)
{
  EXPECT_EQ(m_throttle.RefusedShare(m_now), 0.0);
  for (int request = 0; request < 100; ++request) {
    EXPECT_TRUE(m_throttle.Admits(m_now));
  }
}

}
}
