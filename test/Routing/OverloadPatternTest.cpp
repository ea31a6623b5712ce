#include <gtest/gtest.h>

#include <map>

#include "src/Base/Random.h"
#include "src/Routing/AdmissionController.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** What callers got in one run. */
struct Served
{
  int answered = 0;
  int inTime = 0;     ///< Within their goal.
  Duration latency{}; ///< Sum over all answers.

  Duration Mean() const { return latency / std::max(answered, 1); }
};

/**
 * Pattern LateOverload: half as many requests again as the slots can serve, all
 * with deadlines far beyond the latency that callers want.
 */
class OverloadPatternTest : public ::testing::Test
{
protected:
  static constexpr uint32_t kSlots = 9;
  static constexpr Duration kService = milliseconds(250);
  static constexpr Duration kDeadline = milliseconds(2000);
  static constexpr Duration kGoal = milliseconds(600);
  static constexpr Duration kLength = std::chrono::seconds(20);

  /** Runs the load with requests that stay for `aStay` at most. */
  static Served Play(Duration aStay)
  {
    AdmissionSettings settings;
    settings.slots = kSlots;
    settings.classes = { AdmissionClass{ 1.0, 256 } };
    settings.initialService = kService;
    AdmissionController gate(settings);
    RandomEngine random(11);
    ManualClock clock;
    const auto end = clock.Now() + kLength;
    std::map<RequestId, MonoTime> arrived;
    std::multimap<MonoTime, RequestId> ends;
    Served served;
    const auto apply = [&](const AdmissionActions& aActions) {
      for (const auto& id : aActions.starts) {
        ends.emplace(clock.Now() + kService, id);
      }
    };
    constexpr auto kBetween = kService / kSlots * 2 / 3;
    while (clock.Now() < end) {
      const auto id = DrawRequestId(random);
      arrived[id] = clock.Now();
      const auto due = clock.Now() + std::min(aStay, kDeadline);
      apply(gate.Admit({ id, ClassIndex(0), due }, clock.Now()));
      clock.Advance(kBetween);
      while (!ends.empty() && ends.begin()->first <= clock.Now()) {
        const auto done = ends.begin()->second;
        const auto latency = ends.begin()->first - arrived[done];
        served.latency += latency;
        served.inTime += latency <= kGoal ? 1 : 0;
        ++served.answered;
        ends.erase(ends.begin());
        apply(gate.Finished(done, ServiceResult::kDone, clock.Now()));
      }
    }
    return served;
  }
};

TEST_F(OverloadPatternTest, LateOverload_StayOfTwoGoals_ServesAsManySooner)
{
  const auto baseline = Play(kDeadline);
  const auto bounded = Play(2 * kGoal);
  EXPECT_GE(bounded.answered, baseline.answered * 95 / 100);
  EXPECT_LT(bounded.Mean(), baseline.Mean());
  EXPECT_LE(bounded.Mean(), 2 * kGoal);
}

TEST_F(OverloadPatternTest, LateOverload_StayOfOneGoal_MoreAreInTime)
{
  const auto two = Play(2 * kGoal);
  const auto one = Play(kGoal);
  EXPECT_GE(one.answered, two.answered * 95 / 100);
  EXPECT_GE(one.inTime, two.inTime * 3 / 2);
}

/** Pattern GreySheds: a server refuses part of its requests at random. */
TEST_F(OverloadPatternTest, GreySheds_NotLearnedFrom_KeepAllSlots)
{
  AdmissionSettings settings;
  settings.slots = kSlots;
  settings.classes = { AdmissionClass{ 1.0, 256 } };
  AdmissionController learning(settings);
  AdmissionController ignoring(settings);
  RandomEngine random(5);
  ManualClock clock;
  for (int count = 0; count < 200; ++count) {
    clock.Advance(milliseconds(20));
    const auto id = DrawRequestId(random);
    const AdmissionRequest request{ id,
                                    ClassIndex(0),
                                    clock.Now() + kDeadline };
    const bool shed = count % 2 == 0;
    learning.Admit(request, clock.Now());
    ignoring.Admit(request, clock.Now());
    learning.Finished(
      id, shed ? ServiceResult::kShed : ServiceResult::kDone, clock.Now());
    ignoring.Finished(
      id, shed ? ServiceResult::kCancelled : ServiceResult::kDone, clock.Now());
  }
  EXPECT_LT(learning.Limit(), kSlots); // The baseline.
  EXPECT_EQ(ignoring.Limit(), kSlots);
}

}
