#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "src/Base/Random.h"
#include "src/Routing/AdmissionController.h"
#include "src/Routing/RequestRateLimit.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RequestRateLimitTest : public ::testing::Test
{
protected:
  /** Starts requests whenever the limit allows one; returns how many. */
  int StartAll(Duration aFor)
  {
    int started = 0;
    const auto end = m_now + aFor;
    for (; m_now < end; m_now += milliseconds(1)) {
      while (m_limit.MayStart(m_now)) {
        m_limit.OnStart(m_now);
        ++started;
      }
    }
    return started;
  }

  RequestRateLimit m_limit;
  MonoTime m_now{ seconds(100) };
};

TEST_F(RequestRateLimitTest, MayStart_NoLimit_AlwaysTrue)
{
  for (int request = 0; request < 1000; ++request) {
    EXPECT_TRUE(m_limit.MayStart(m_now));
    m_limit.OnStart(m_now);
  }
}

TEST_F(RequestRateLimitTest, OnStart_Limited_FollowsTheRate)
{
  for (const double rate : { 2.5, 25.9, 55.5, 400.0 }) {
    m_limit.Set(rate, m_now);
    StartAll(seconds(1)); // Uses up the burst.
    EXPECT_NEAR(StartAll(seconds(4)), 4.0 * rate, 1.0) << rate;
    m_limit.Set(std::nullopt, m_now);
  }
}

/** A server that answers nothing any more could not lift its limit. */
TEST_F(RequestRateLimitTest, Set_Zero_LetsARequestThroughNowAndThen)
{
  m_limit.Set(0.0, m_now);
  const auto started = StartAll(seconds(4));
  EXPECT_GE(started, 1);
  EXPECT_LE(started, 5);
}

/** Each answer names the limit again; that must not refill the bucket. */
TEST_F(RequestRateLimitTest, Set_RepeatedOrChanged_AllowsNoNewBurst)
{
  m_limit.Set(10.0, m_now);
  StartAll(milliseconds(1));
  for (int answer = 0; answer < 100; ++answer) {
    m_limit.Set(answer % 2 == 0 ? 9.0 : 10.0, m_now);
  }
  EXPECT_FALSE(m_limit.MayStart(m_now));
}

/**
 * Pattern NamedLimit: three times as many requests as a server takes, of two
 * priorities, while it still has free slots.
 */
class NamedLimitTest : public ::testing::Test
{
protected:
  static constexpr double kRate = 20.0;
  static constexpr Duration kService = milliseconds(90);

  static AdmissionSettings Settings()
  {
    AdmissionSettings settings;
    settings.slots = 14;
    settings.classes = { AdmissionClass{ 4.0, 256 },
                         AdmissionClass{ 1.0, 256 } };
    settings.initialService = kService;
    return settings;
  }

  void Run(Duration aFor)
  {
    const auto end = m_clock.Now() + aFor;
    for (int tick = 0; m_clock.Now() < end; ++tick) {
      Arrive(ClassIndex(tick % 2));
      const auto until = m_clock.Now() + kArrivalInterval;
      while (m_clock.Now() < until) {
        m_clock.Advance(milliseconds(1));
        Advance();
      }
    }
  }

  void Arrive(ClassIndex aClass)
  {
    const auto id = DrawRequestId(m_random);
    m_classes[id] = aClass;
    const auto now = m_clock.Now();
    Apply(m_controller.Admit({ id, aClass, now + milliseconds(300) }, now));
  }

  void Advance()
  {
    const auto now = m_clock.Now();
    while (!m_ends.empty() && m_ends.begin()->first <= now) {
      const auto id = m_ends.begin()->second;
      m_ends.erase(m_ends.begin());
      Apply(m_controller.Finished(id, ServiceResult::kDone, now));
    }
    const auto wakeup = m_controller.NextWakeup(now);
    if (wakeup && *wakeup <= now) {
      Apply(m_controller.Expire(now));
    }
  }

  void Apply(const AdmissionActions& aActions)
  {
    for (const auto& id : aActions.starts) {
      m_starts.push_back(m_clock.Now());
      m_startsByClass[m_classes[id]] += 1;
      m_ends.emplace(m_clock.Now() + kService, id);
    }
    for (const auto& refusal : aActions.refusals) {
      m_longestRetryAfter = std::max(m_longestRetryAfter, refusal.retryAfter);
      m_refusals += 1;
    }
  }

  /** Most starts within four seconds. */
  long MostStarts() const
  {
    long most = 0;
    for (auto first = m_starts.begin(); first != m_starts.end(); ++first) {
      const auto last =
        std::lower_bound(first, m_starts.end(), *first + seconds(4));
      most = std::max<long>(most, last - first);
    }
    return most;
  }

  static constexpr Duration kArrivalInterval = milliseconds(16);

  ManualClock m_clock;
  RandomEngine m_random{ 7 };
  AdmissionController m_controller{ Settings() };
  std::map<RequestId, ClassIndex> m_classes;
  std::multimap<MonoTime, RequestId> m_ends;
  std::vector<MonoTime> m_starts;
  std::map<ClassIndex, int> m_startsByClass;
  Duration m_longestRetryAfter{};
  int m_refusals = 0;
};

TEST_F(NamedLimitTest, Overload_RateIsLimited_StaysWithinTheLimitAndUsesIt)
{
  Apply(m_controller.SetRate(kRate, m_clock.Now()));
  Run(seconds(12));
  EXPECT_LE(static_cast<double>(MostStarts()), 1.5 * 4.0 * kRate + 5.0);
  EXPECT_GE(static_cast<double>(m_starts.size()), 0.9 * 12.0 * kRate);
}

TEST_F(NamedLimitTest, Overload_RateIsLimited_UrgentClassComesFirst)
{
  Apply(m_controller.SetRate(kRate, m_clock.Now()));
  Run(seconds(12));
  EXPECT_GT(m_startsByClass[ClassIndex(0)], 2 * m_startsByClass[ClassIndex(1)]);
}

TEST_F(NamedLimitTest, Overload_RateIsLimited_RefusalsNameATimeThatFollowsIt)
{
  Apply(m_controller.SetRate(2.0, m_clock.Now()));
  Run(seconds(4));
  EXPECT_GT(m_refusals, 0);
  EXPECT_GE(m_longestRetryAfter, milliseconds(200));
  EXPECT_LE(m_longestRetryAfter, seconds(5));
}

TEST_F(NamedLimitTest, SetRate_LimitEnds_StartsWhatTheSlotsAllow)
{
  Apply(m_controller.SetRate(0.5, m_clock.Now()));
  Run(seconds(4));
  Apply(m_controller.SetRate(std::nullopt, m_clock.Now()));
  const auto before = m_starts.size();
  Run(seconds(4));
  EXPECT_GE(m_starts.size() - before, 240U);
}

}
