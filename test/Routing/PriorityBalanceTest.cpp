#include <map>
#include <queue>

#include <gtest/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kService = milliseconds(100);

/** A server with 6 slots that serves 60 requests per second, and classes with
 * the weights of adjacent priorities. */
class PriorityBalanceTest : public ::testing::Test
{
protected:
  static AdmissionSettings Settings()
  {
    AdmissionSettings settings;
    settings.slots = 6;
    settings.classes = { { 1.0, 100 }, { 0.25, 100 }, { 0.0625, 100 } };
    settings.initialService = kService;
    settings.balancesPriorities = true;
    return settings;
  }

  /** Share of each class that is served in the second half of 40 s.
   * \param aPerSecond requests of each class. */
  std::vector<double> Served(const std::vector<int>& aPerSecond)
  {
    std::vector<double> due(3, 0.0);
    std::vector<double> arrived(3, 0.0);
    std::vector<double> started(3, 0.0);
    for (int step = 0; step < 40000; ++step) {
      AdvanceTo(m_now + milliseconds(1), started, step >= 20000);
      for (uint32_t index = 0; index < 3; ++index) {
        due[index] += aPerSecond[index] / 1000.0;
        if (due[index] < 1.0) {
          continue;
        }
        due[index] -= 1.0;
        arrived[index] += step >= 20000 ? 1.0 : 0.0;
        const RequestId id{ 1, ++m_count };
        m_classOf[id] = index;
        Apply(m_gate.Admit({ id, ClassIndex(index), m_now + milliseconds(300) },
                           m_now),
              started,
              step >= 20000);
      }
    }
    for (size_t index = 0; index < 3; ++index) {
      started[index] /= arrived[index];
    }
    return started;
  }

  void Apply(const AdmissionActions& aActions,
             std::vector<double>& aStarted,
             bool aCounts)
  {
    for (const auto& id : aActions.starts) {
      m_ends.emplace(m_now + kService, id);
      aStarted[m_classOf.at(id)] += aCounts ? 1.0 : 0.0;
    }
  }

  void AdvanceTo(MonoTime aTime, std::vector<double>& aStarted, bool aCounts)
  {
    while (!m_ends.empty() && m_ends.front().first <= aTime) {
      const auto [end, id] = m_ends.front();
      m_ends.pop();
      m_now = end;
      Apply(
        m_gate.Finished(id, ServiceResult::kDone, m_now), aStarted, aCounts);
    }
    m_now = aTime;
    Apply(m_gate.Expire(m_now), aStarted, aCounts);
  }

  static void ExpectOrderAndFloor(const std::vector<double>& aServed,
                                  const std::vector<int>& aPerSecond)
  {
    double served = 0.0;
    double all = 0.0;
    for (size_t index = 0; index < 3; ++index) {
      served += aServed[index] * aPerSecond[index];
      all += aPerSecond[index];
    }
    EXPECT_GE(served, 0.9 * 60); // The slots are used.
    for (size_t index = 0; index < 3; ++index) {
      EXPECT_GE(aServed[index], 0.25 * served / all) << index;
      // The margin below which single refusals are not compared.
      EXPECT_GE(aServed[index] + 0.05, aServed[std::min<size_t>(index + 1, 2)])
        << index;
    }
  }

  MonoTime m_now{ std::chrono::hours(1) };
  uint64_t m_count = 0;
  std::map<RequestId, uint32_t> m_classOf;
  std::queue<std::pair<MonoTime, RequestId>> m_ends;
  AdmissionController m_gate{ Settings() };
};

// Load pattern: most requests are urgent. Guards against a less urgent kind
// that is served better because it has few requests.
TEST_F(PriorityBalanceTest, MostLoadIsUrgent_LessUrgentNotServedBetter)
{
  const std::vector<int> load{ 150, 10, 10 };
  ExpectOrderAndFloor(Served(load), load);
}

// Load pattern: all kinds alike, at twice the capacity. Guards against a least
// urgent kind that is hardly served.
TEST_F(PriorityBalanceTest, EvenLoadBeyondCapacity_NoKindStarves)
{
  const std::vector<int> load{ 40, 40, 40 };
  ExpectOrderAndFloor(Served(load), load);
}

// Failure case: the daemon was restarted, or nothing is refused.
TEST_F(PriorityBalanceTest, NoRefusals_AllStandingsNormal)
{
  PriorityBalance balance(3);
  for (int request = 0; request < 300; ++request) {
    m_now += milliseconds(10);
    balance.OnArrival(request % 3, m_now);
  }
  for (size_t index = 0; index < 3; ++index) {
    EXPECT_EQ(balance.StandingOf(index), PriorityStanding::kNormal);
  }
}

}
}
