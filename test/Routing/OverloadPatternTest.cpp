#include <gtest/gtest.h>

#include <map>

#include "src/Base/Random.h"
#include "src/Routing/AdmissionController.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** Answers in one run. */
struct Result
{
  int answered = 0;
  int inTime = 0;     ///< Within the target latency.
  Duration latency{}; ///< Sum over all answers.

  Duration Mean() const { return latency / std::max(answered, 1); }
};

/**
 * Sustained overload by a factor of 1.5: half as many requests again as the
 * slots can serve. Deadlines are much later than the target latency.
 */
class OverloadPatternTest : public ::testing::Test
{
protected:
  static constexpr uint32_t kSlots = 9;
  static constexpr Duration kService = milliseconds(250);
  static constexpr Duration kDeadline = milliseconds(2000);
  static constexpr Duration kTargetLatency = milliseconds(600);
  static constexpr Duration kDuration = std::chrono::seconds(20);

  /** Simulates the load with requests that stay for at most aMaxStay. */
  static Result Simulate(Duration aMaxStay)
  {
    AdmissionSettings settings;
    settings.slots = kSlots;
    settings.classes = { AdmissionClass{ 1.0, 256 } };
    settings.initialService = kService;
    AdmissionController controller(settings);
    RandomEngine random(11);
    ManualClock clock;
    const auto end = clock.Now() + kDuration;
    std::map<RequestId, MonoTime> arrived;
    std::multimap<MonoTime, RequestId> completions;
    Result result;
    const auto apply = [&](const AdmissionActions& aActions) {
      for (const auto& id : aActions.starts) {
        completions.emplace(clock.Now() + kService, id);
      }
    };
    constexpr auto kArrivalInterval = kService / kSlots * 2 / 3;
    while (clock.Now() < end) {
      const auto id = DrawRequestId(random);
      arrived[id] = clock.Now();
      const auto due = clock.Now() + std::min(aMaxStay, kDeadline);
      apply(controller.Admit({ id, ClassIndex(0), due }, clock.Now()));
      clock.Advance(kArrivalInterval);
      while (!completions.empty() &&
             completions.begin()->first <= clock.Now()) {
        const auto done = completions.begin()->second;
        const auto latency = completions.begin()->first - arrived[done];
        result.latency += latency;
        result.inTime += latency <= kTargetLatency ? 1 : 0;
        ++result.answered;
        completions.erase(completions.begin());
        apply(controller.Finished(done, ServiceResult::kDone, clock.Now()));
      }
    }
    return result;
  }
};

TEST_F(OverloadPatternTest,
       SustainedOverload_StayOfTwoTargetLatencies_SameThroughputLowerLatency)
{
  const auto baseline = Simulate(kDeadline);
  const auto bounded = Simulate(2 * kTargetLatency);
  EXPECT_GE(bounded.answered, baseline.answered * 95 / 100);
  EXPECT_LT(bounded.Mean(), baseline.Mean());
  EXPECT_LE(bounded.Mean(), 2 * kTargetLatency);
}

TEST_F(OverloadPatternTest,
       SustainedOverload_StayOfOneTargetLatency_MoreAnswersInTime)
{
  const auto two = Simulate(2 * kTargetLatency);
  const auto one = Simulate(kTargetLatency);
  EXPECT_GE(one.answered, two.answered * 95 / 100);
  EXPECT_GE(one.inTime, two.inTime * 3 / 2);
}

/**
 * Pattern ColdServer: after the loss of all hosts a server is six times as slow
 * as expected for some seconds. Requests that it cannot serve must be refused
 * at once, not after they have waited for a slot.
 */
TEST_F(OverloadPatternTest, ColdServer_NoAnswerYet_RefusesAtOnce)
{
  AdmissionSettings settings;
  settings.slots = 7;
  settings.classes = { AdmissionClass{ 1.0, 256 } };
  settings.initialService = milliseconds(150);
  AdmissionController controller(settings);
  constexpr auto kColdService = milliseconds(1400);
  constexpr auto kArrivalInterval = milliseconds(40);
  RandomEngine random(3);
  ManualClock clock;
  std::map<RequestId, MonoTime> arrived;
  std::multimap<MonoTime, RequestId> completions;
  Duration waited{};
  int refused = 0;
  int answered = 0;
  const auto apply = [&](const AdmissionActions& aActions) {
    for (const auto& id : aActions.starts) {
      completions.emplace(clock.Now() + kColdService, id);
    }
    for (const auto& refusal : aActions.refusals) {
      waited += clock.Now() - arrived[refusal.id];
      ++refused;
    }
  };
  for (int count = 0; count < 100; ++count) {
    clock.Advance(kArrivalInterval);
    const auto id = DrawRequestId(random);
    arrived[id] = clock.Now();
    while (!completions.empty() && completions.begin()->first <= clock.Now()) {
      const auto done = completions.begin()->second;
      completions.erase(completions.begin());
      ++answered;
      apply(controller.Finished(done, ServiceResult::kDone, clock.Now()));
    }
    apply(controller.Expire(clock.Now()));
    // As the owner bounds the stay: one goal or three service times.
    const Duration stay = std::max<Duration>(
      milliseconds(800), 3 * controller.ExpectedService(ClassIndex(0)));
    const auto due = clock.Now() + std::min<Duration>(stay, milliseconds(2500));
    apply(controller.Admit(AdmissionRequest{ id, ClassIndex(0), due },
                           clock.Now()));
  }
  EXPECT_GE(answered, 14); // All slots are used all the time.
  EXPECT_GE(refused, 60);
  EXPECT_LE(waited / refused, milliseconds(150));
}

/**
 * Grey failure: the server sheds every other request, whatever its load. A
 * limit that adapts to these refusals shrinks although the server has capacity.
 */
TEST_F(OverloadPatternTest, RandomShedding_IgnoredByLimit_KeepsAllSlots)
{
  AdmissionSettings settings;
  settings.slots = kSlots;
  settings.classes = { AdmissionClass{ 1.0, 256 } };
  AdmissionController adapting(settings);
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
    adapting.Admit(request, clock.Now());
    ignoring.Admit(request, clock.Now());
    adapting.Finished(
      id, shed ? ServiceResult::kShed : ServiceResult::kDone, clock.Now());
    ignoring.Finished(
      id, shed ? ServiceResult::kCancelled : ServiceResult::kDone, clock.Now());
  }
  EXPECT_LT(adapting.Limit(), kSlots); // For comparison.
  EXPECT_EQ(ignoring.Limit(), kSlots);
}

}
