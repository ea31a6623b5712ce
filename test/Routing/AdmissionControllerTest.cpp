#include <map>
#include <queue>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

AdmissionSettings
SettingsOf(uint32_t aSlots,
           const std::vector<double>& aWeights,
           uint32_t aBound)
{
  AdmissionSettings settings;
  settings.slots = aSlots;
  for (const auto weight : aWeights) {
    settings.classes.push_back(AdmissionClass{ weight, aBound });
  }
  return settings;
}

class AdmissionControllerTest : public ::testing::Test
{
protected:
  AdmissionRequest Next(uint32_t aClass, Duration aDeadline)
  {
    return { RequestId{ 1, ++m_count }, ClassIndex(aClass), m_now + aDeadline };
  }

  MonoTime m_now{ std::chrono::hours(1) };
  uint64_t m_count = 0;
};

// Makes random calls to an admission controller and checks the returned
// actions.
class RandomAdmissionCalls
{
public:
  explicit RandomAdmissionCalls(AdmissionSettings aSettings)
    : m_controller(std::move(aSettings))
    , m_slots(m_controller.Limit())
  {
  }

  void Step()
  {
    m_now += milliseconds(*rc::gen::inRange(0, 4));
    switch (*rc::gen::inRange(0, 10)) {
      case 0:
        return Check(m_controller.Expire(m_now));
      case 1:
        return ChangeLimit();
      case 2:
        return CancelRandom();
      case 3:
        return m_controller.Restarted(m_now);
      case 4:
      case 5:
      case 6:
        return FinishRandom();
      default:
        return Admit();
    }
  }

  void RefuseAll()
  {
    Check(m_controller.RefuseQueued(RefusalReason::kDraining));
    RC_ASSERT(m_pending.empty());
    RC_ASSERT(m_controller.QueuedCount() == 0U);
  }

private:
  void Admit()
  {
    const RequestId id{ 1, ++m_count };
    const ClassIndex requestClass(*rc::gen::inRange<uint32_t>(0, 2));
    const auto deadline = m_now + milliseconds(*rc::gen::inRange(-1, 60));
    m_pending.insert(id);
    Check(m_controller.Admit({ id, requestClass, deadline }, m_now));
    RC_ASSERT(m_pending.contains(id) == m_controller.IsQueued(id));
  }

  void FinishRandom()
  {
    if (m_running.empty()) {
      return;
    }
    const auto id = *rc::gen::elementOf(m_running);
    const auto result = *rc::gen::element(
      ServiceResult::kDone, ServiceResult::kDone, ServiceResult::kShed);
    m_running.erase(id);
    Check(m_controller.Finished(id, result, m_now));
  }

  void CancelRandom()
  {
    if (m_count > 0) {
      const RequestId id{ 1, *rc::gen::inRange<uint64_t>(1, m_count + 1) };
      Check(m_controller.Cancel(id));
    }
  }

  void ChangeLimit()
  {
    m_slots = *rc::gen::inRange<uint32_t>(0, 5);
    Check(m_controller.SetLimit(m_slots, m_now));
  }

  void Check(const AdmissionActions& aActions)
  {
    for (const auto& id : aActions.starts) {
      RC_ASSERT(m_pending.erase(id) == 1U);
      m_running.insert(id);
    }
    if (!aActions.starts.empty()) {
      RC_ASSERT(m_running.size() <= m_controller.Limit());
      RC_ASSERT(m_running.size() <= m_slots);
    }
    for (const auto& refusal : aActions.refusals) {
      RC_ASSERT(m_pending.erase(refusal.id) == 1U);
    }
    RC_ASSERT(m_controller.RunningCount() == m_running.size());
  }

  AdmissionController m_controller;
  uint32_t m_slots;
  MonoTime m_now{ std::chrono::hours(1) };
  uint64_t m_count = 0;
  std::set<RequestId> m_pending;
  std::set<RequestId> m_running;
};

RC_GTEST_FIXTURE_PROP(AdmissionControllerTest,
                      AnyCalls_RandomWalk_StartOnceWithinLimitOrRefuseForGood,
                      ())
{
  auto settings = SettingsOf(*rc::gen::inRange(1, 5), { 1.0, 3.0 }, 6);
  settings.order = *rc::gen::element(
    QueueOrder::kLaxity, QueueOrder::kDeadline, QueueOrder::kArrival);
  RandomAdmissionCalls calls(settings);
  const auto steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    calls.Step();
  }
  calls.RefuseAll();
}

// All classes always have queued requests, so each gets its weighted share.
RC_GTEST_FIXTURE_PROP(AdmissionControllerTest,
                      AllClasses_Backlogged_ServedByWeight,
                      ())
{
  const auto weights = *rc::gen::container<std::vector<double>>(
    3, rc::gen::map(rc::gen::inRange(1, 20), [](int aValue) {
      return static_cast<double>(aValue);
    }));
  AdmissionController controller(SettingsOf(1, weights, 1000));
  constexpr int kRequests = 300;
  std::map<RequestId, uint32_t> classOf;
  std::optional<RequestId> running;
  for (int index = 0; index < 3 * kRequests; ++index) {
    const auto request =
      Next(static_cast<uint32_t>(index % 3), std::chrono::hours(1));
    classOf[request.id] = request.requestClass.Value();
    for (const auto& id : controller.Admit(request, m_now).starts) {
      running = id;
    }
  }
  std::vector<double> served(3, 0.0);
  for (int step = 0; step < kRequests; ++step) {
    m_now += milliseconds(5);
    running =
      controller.Finished(*running, ServiceResult::kDone, m_now).starts.at(0);
    served[classOf[*running]] += 1.0;
  }
  const double total = weights[0] + weights[1] + weights[2];
  for (size_t index = 0; index < 3; ++index) {
    const double fair = kRequests * weights[index] / total;
    RC_ASSERT(served[index] >= fair - 3.0);
  }
}

// If service times are as expected, no queued request is refused later: a
// request that can't finish in time is refused on arrival.
RC_GTEST_FIXTURE_PROP(AdmissionControllerTest,
                      Queued_SteadyService_StartsInTime,
                      ())
{
  constexpr milliseconds kService(5);
  const auto slots = *rc::gen::inRange(1, 6);
  auto settings = SettingsOf(slots, { 1.0 }, 1000);
  settings.initialService = kService;
  AdmissionController controller(settings);
  using Completion = std::pair<MonoTime, RequestId>;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
    completions;
  const auto apply = [&](const AdmissionActions& aActions) {
    for (const auto& id : aActions.starts) {
      completions.emplace(m_now + kService, id);
    }
  };
  const auto arrivals = *rc::gen::inRange(1, 150);
  for (int index = 0; index < arrivals; ++index) {
    const auto next =
      m_now + std::chrono::microseconds(*rc::gen::inRange(0, 6000 / slots));
    while (!completions.empty() && completions.top().first <= next) {
      const auto [end, id] = completions.top();
      completions.pop();
      m_now = end;
      const auto actions = controller.Finished(id, ServiceResult::kDone, m_now);
      RC_ASSERT(actions.refusals.empty());
      apply(actions);
    }
    m_now = next;
    apply(
      controller.Admit(Next(0, milliseconds(*rc::gen::inRange(5, 40))), m_now));
  }
}

// Sustained overload: each class alone offers more load than the slots can
// serve.
RC_GTEST_FIXTURE_PROP(AdmissionControllerTest,
                      AllClasses_Overload_NoneStarvesAndWaitIsShort,
                      ())
{
  const auto slots = *rc::gen::inRange<uint32_t>(1, 5);
  const auto weights = *rc::gen::container<std::vector<double>>(
    2, rc::gen::map(rc::gen::inRange(1, 6), [](int aValue) {
      return static_cast<double>(aValue);
    }));
  const std::vector<milliseconds> services{ milliseconds(2), milliseconds(20) };
  AdmissionController controller(SettingsOf(slots, weights, 1000));
  using Completion = std::pair<MonoTime, RequestId>;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
    completions;
  std::map<RequestId, std::pair<uint32_t, MonoTime>> requests;
  std::vector<double> work(2, 0.0);
  Duration longest{};
  const auto start = m_now;
  const auto apply = [&](const AdmissionActions& aActions) {
    for (const auto& id : aActions.starts) {
      const auto [index, arrived] = requests.at(id);
      completions.emplace(m_now + services[index], id);
      if (m_now - start > seconds(2)) {
        work[index] += static_cast<double>(services[index].count());
      }
      // Requests that were queued before the overload is detected are ordered
      // by laxity alone and may wait longer.
      if (arrived - start > seconds(2)) {
        longest = std::max(longest, m_now - arrived);
      }
    }
  };
  for (int tick = 0; tick < 6000; ++tick) {
    const auto next = m_now + milliseconds(1);
    while (!completions.empty() && completions.top().first <= next) {
      const auto [end, id] = completions.top();
      completions.pop();
      m_now = end;
      apply(controller.Finished(id, ServiceResult::kDone, m_now));
    }
    m_now = next;
    for (uint32_t index = 0; index < 2; ++index) {
      for (uint32_t count = 0; count < slots; ++count) {
        const auto left = milliseconds(200 + m_count * 37 % 1800);
        const auto request = Next(index, left);
        requests[request.id] = { index, m_now };
        apply(controller.Admit(request, m_now));
      }
    }
  }
  const double all = work[0] + work[1];
  for (size_t index = 0; index < 2; ++index) {
    const auto fair = weights[index] / (weights[0] + weights[1]);
    RC_ASSERT(work[index] >= 0.5 * fair * all);
  }
  RC_ASSERT(all >= 0.95 * 4000.0 * slots);
  RC_ASSERT(longest <= milliseconds(400));
}

// Guards against a class that is refused for ever after answers that took long,
// because a caller read slowly: nothing would correct the estimate.
TEST_F(AdmissionControllerTest, Admit_IdleAndServiceWasLong_IsTried)
{
  AdmissionSettings settings;
  settings.slots = 2;
  settings.classes = { AdmissionClass{ 1.0, 8 } };
  AdmissionController controller(settings);
  const auto slow = Next(0, seconds(20));
  ASSERT_EQ(controller.Admit(slow, m_now).starts.size(), 1U);
  m_now += seconds(10);
  controller.Finished(slow.id, ServiceResult::kDone, m_now);
  const auto tried = Next(0, seconds(1));
  EXPECT_EQ(controller.Admit(tried, m_now).starts.size(), 1U);
  const auto second = controller.Admit(Next(0, seconds(1)), m_now);
  ASSERT_EQ(second.refusals.size(), 1U);
  EXPECT_EQ(second.refusals[0].reason, RefusalReason::kCannotFinish);
}

TEST_F(AdmissionControllerTest, Admit_CannotFinishBehindQueue_RefusedOnArrival)
{
  auto settings = SettingsOf(1, { 1.0 }, 100);
  settings.initialService = milliseconds(10);
  AdmissionController controller(settings);
  EXPECT_EQ(controller.Admit(Next(0, milliseconds(100)), m_now).starts.size(),
            1U);
  EXPECT_TRUE(
    controller.Admit(Next(0, milliseconds(25)), m_now).refusals.empty());
  const auto actions = controller.Admit(Next(0, milliseconds(25)), m_now);
  ASSERT_EQ(actions.refusals.size(), 1U);
  EXPECT_EQ(actions.refusals[0].reason, RefusalReason::kCannotFinish);
  EXPECT_EQ(actions.refusals[0].retryAfter, milliseconds(20));
}

TEST_F(AdmissionControllerTest, Admit_LessLaxity_StartsFirst)
{
  AdmissionController controller(SettingsOf(1, { 1.0 }, 100));
  const auto first = Next(0, milliseconds(500));
  const auto lessUrgent = Next(0, milliseconds(400));
  const auto urgent = Next(0, milliseconds(100));
  controller.Admit(first, m_now);
  controller.Admit(lessUrgent, m_now);
  controller.Admit(urgent, m_now);
  const auto actions =
    controller.Finished(first.id, ServiceResult::kDone, m_now);
  ASSERT_EQ(actions.starts.size(), 1U);
  EXPECT_EQ(actions.starts[0], urgent.id);
}

TEST_F(AdmissionControllerTest, Admit_QueueAtBound_QueueFull)
{
  AdmissionController controller(SettingsOf(1, { 1.0 }, 1));
  controller.Admit(Next(0, milliseconds(500)), m_now);
  controller.Admit(Next(0, milliseconds(500)), m_now);
  const auto actions = controller.Admit(Next(0, milliseconds(500)), m_now);
  ASSERT_EQ(actions.refusals.size(), 1U);
  EXPECT_EQ(actions.refusals[0].reason, RefusalReason::kQueueFull);
}

TEST_F(AdmissionControllerTest, Expire_PastLatestStart_RefusesAtNextWakeup)
{
  auto settings = SettingsOf(1, { 1.0 }, 10);
  settings.initialService = milliseconds(10);
  AdmissionController controller(settings);
  controller.Admit(Next(0, milliseconds(500)), m_now);
  controller.Admit(Next(0, milliseconds(50)), m_now);
  ASSERT_EQ(controller.NextWakeup(m_now), m_now + milliseconds(40));
  EXPECT_TRUE(
    controller.Expire(*controller.NextWakeup(m_now)).refusals.empty());
  const auto late = *controller.NextWakeup(m_now) + milliseconds(1);
  EXPECT_EQ(controller.Expire(late).refusals.size(), 1U);
  EXPECT_FALSE(controller.NextWakeup(m_now).has_value());
}

TEST_F(AdmissionControllerTest, Constructor_NoClassOrZeroWeight_Throws)
{
  EXPECT_THROW(AdmissionController(SettingsOf(1, {}, 1)), RoutingError);
  EXPECT_THROW(AdmissionController(SettingsOf(1, { 0.0 }, 1)), RoutingError);
  AdmissionController controller(SettingsOf(1, { 1.0 }, 1));
  EXPECT_THROW(controller.Admit(Next(7, milliseconds(1)), m_now), RoutingError);
}

}
}
