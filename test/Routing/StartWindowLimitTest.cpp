#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "src/Base/Random.h"
#include "src/Routing/AdmissionController.h"
#include "src/Routing/StartWindowLimit.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StartWindowLimitTest : public ::testing::Test
{
protected:
  /** Starts a request each time the limit allows one. */
  void StartAll(Duration aFor, Duration aEvery = milliseconds(1))
  {
    const auto end = m_now + aFor;
    for (; m_now < end; m_now += aEvery) {
      while (m_limit.MayStart(m_now) && m_starts.size() < 5000) {
        m_limit.OnStart(m_now);
        m_starts.push_back(m_now);
        if (!m_limit.PerSecond()) {
          break;
        }
      }
    }
  }

  /** Most starts in any second of which the end is at aFrom or later. */
  size_t MostInASecond(MonoTime aFrom) const
  {
    size_t most = 0;
    for (size_t last = 0; last < m_starts.size(); ++last) {
      if (m_starts[last] < aFrom) {
        continue;
      }
      const auto first = std::upper_bound(
        m_starts.begin(), m_starts.end(), m_starts[last] - seconds(1));
      const auto begin = static_cast<size_t>(first - m_starts.begin());
      most = std::max(most, last + 1 - begin);
    }
    return most;
  }

  static constexpr double BoundOf(double aRate) { return aRate * 1.5 + 8.0; }

  StartWindowLimit m_limit;
  MonoTime m_now{ seconds(100) };
  std::vector<MonoTime> m_starts;
};

/** Guards against a cold server that gets the burst of a whole second. */
TEST_F(StartWindowLimitTest, Set_NoStartsBefore_StaysBelowTheBound)
{
  for (const double rate : { 1.0, 12.0, 14.0, 40.0 }) {
    m_starts.clear();
    m_now += seconds(10);
    const auto from = m_now;
    m_limit.Set(rate, m_now);
    StartAll(seconds(10));
    EXPECT_LE(MostInASecond(from), BoundOf(rate)) << rate;
    EXPECT_NEAR(static_cast<double>(m_starts.size()), 10.0 * rate, 3.0 + rate);
    m_limit.Set(std::nullopt, m_now);
  }
}

/**
 * Guards against 31 requests within a second at a server that became cold
 * within that second, while it was at full load.
 */
TEST_F(StartWindowLimitTest, Set_FullLoadBefore_EarlierStartsCount)
{
  StartAll(seconds(2), milliseconds(10)); // 100 a second.
  const auto from = m_now;
  m_limit.Set(14.0, m_now);
  EXPECT_FALSE(m_limit.MayStart(m_now));
  StartAll(seconds(5));
  const auto first = *std::lower_bound(m_starts.begin(), m_starts.end(), from);
  EXPECT_LE(MostInASecond(first), BoundOf(14.0));
  const auto after =
    m_starts.end() - std::lower_bound(m_starts.begin(), m_starts.end(), from);
  EXPECT_GE(after, 4 * 14); // The server is not left idle.
}

/** Guards against a limit that is set again and again and lets a burst through
 * each time. */
TEST_F(StartWindowLimitTest, Set_Toggled_StaysBelowTheBound)
{
  RandomEngine random(7);
  const auto from = m_now;
  for (int step = 0; step < 200; ++step) {
    m_limit.Set(14.0, m_now);
    StartAll(milliseconds(1 + random() % 200));
    m_limit.Set(std::nullopt, m_now);
  }
  EXPECT_LE(MostInASecond(from), BoundOf(14.0));
}

/** The pace holds for the queue of the admission controller, too, and a limit
 * that the server states stays in force. */
TEST(AdmissionPaceTest, SetPace_QueueWaits_StartsAtThePaceOnly)
{
  AdmissionSettings settings;
  settings.slots = 9;
  settings.classes = { AdmissionClass{ 1.0, 100 } };
  settings.initialService = milliseconds(10);
  AdmissionController gate(settings);
  MonoTime now{ seconds(100) };
  gate.SetPace(14.0, std::nullopt, now);
  RandomEngine random(5);
  int started = 0;
  int refused = 0;
  const auto run = [&](Duration aFor) {
    for (const auto end = now + aFor; now < end; now += milliseconds(5)) {
      const auto handle = [&](const AdmissionActions& aActions) {
        refused += static_cast<int>(aActions.refusals.size());
        for (const auto& refusal : aActions.refusals) {
          EXPECT_GT(refusal.retryAfter, Duration{});
        }
        for (const auto& id : aActions.starts) {
          ++started;
          gate.Finished(id, ServiceResult::kDone, now);
        }
      };
      handle(gate.Expire(now));
      handle(gate.Admit(
        { DrawRequestId(random), ClassIndex(0), now + milliseconds(200) },
        now));
    }
  };
  run(seconds(4));
  EXPECT_LE(started, 4 * 14 + 4);
  EXPECT_GE(started, 4 * 14 - 4);
  EXPECT_GT(refused, 600);
  gate.SetRate(2.0, now);
  started = 0;
  run(seconds(4));
  EXPECT_LE(started, 4 * 2 + 3);
}

}
