#include <gtest/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSlots = 9;
constexpr Duration kService = milliseconds(100);
constexpr ClassIndex kUrgent(0);
constexpr ClassIndex kLater(1);
constexpr ClassIndex kNested(2);

class NestedCallTest : public ::testing::Test
{
protected:
  static AdmissionSettings Settings()
  {
    AdmissionSettings settings;
    settings.slots = kSlots;
    settings.classes = { { 4.0, 100 }, { 1.0, 100 }, { 1.0, 100 } };
    settings.nestedClass = kNested;
    settings.initialService = kService;
    return settings;
  }

  AdmissionActions Send(ClassIndex aClass, Duration aLeft = milliseconds(400))
  {
    m_last = RequestId{ 1, ++m_count };
    return Note(m_gate.Admit({ m_last, aClass, m_now + aLeft }, m_now));
  }

  AdmissionActions Note(AdmissionActions aActions)
  {
    m_started.insert(
      m_started.end(), aActions.starts.begin(), aActions.starts.end());
    return aActions;
  }

  AdmissionActions FinishOldest()
  {
    const auto id = m_started.front();
    m_started.erase(m_started.begin());
    return Note(m_gate.Finished(id, ServiceResult::kDone, m_now));
  }

  /** Nested calls at a rate for two seconds, each run at once. */
  void RunNested(int aPerSecond)
  {
    for (int call = 0; call < 2 * aPerSecond; ++call) {
      m_now += Duration(seconds(1)) / aPerSecond;
      Send(kNested);
      const auto id = m_started.back();
      m_started.pop_back();
      m_gate.Finished(id, ServiceResult::kDone, m_now + kService);
    }
  }

  MonoTime m_now{ std::chrono::hours(1) };
  uint64_t m_count = 0;
  RequestId m_last;
  std::vector<RequestId> m_started;
  AdmissionController m_gate{ Settings() };
};

// Callers of nested calls hold slots. Guards against nested calls that are
// refused, or overtaken, because outer requests fill the slots and the queue.
TEST_F(NestedCallTest, SlotsAndQueueFullOfOuterRequests_NestedStartsNext)
{
  for (uint32_t count = 0; count < kSlots; ++count) {
    Send(kUrgent);
  }
  while (Send(kUrgent).refusals.empty()) {
  }
  ASSERT_GT(m_gate.QueuedCount(), 0U);
  EXPECT_TRUE(Send(kNested, milliseconds(250)).refusals.empty());
  const auto nested = m_last;
  m_now += milliseconds(50);
  const auto actions = FinishOldest();
  ASSERT_EQ(actions.starts.size(), 1U);
  EXPECT_EQ(actions.starts[0], nested);
}

// Guards against outer requests that are queued on the assumption that queued
// nested calls do not delay them.
TEST_F(NestedCallTest, NestedCallsQueued_OuterThatWouldBeLate_RefusedOnArrival)
{
  for (uint32_t count = 0; count < 2 * kSlots; ++count) {
    ASSERT_TRUE(Send(kNested).refusals.empty());
  }
  // Waits for 100 ms of running and 100 ms of queued calls, and runs 100 ms.
  EXPECT_EQ(Send(kLater, milliseconds(290)).refusals.size(), 1U);
  EXPECT_TRUE(Send(kLater, milliseconds(500)).refusals.empty());
}

// Load pattern: steady nested calls, and outer requests beyond the capacity.
TEST_F(NestedCallTest, NestedCallsArrive_OuterRequestsLeaveTheirSlotsFree)
{
  RunNested(20); // Two slots at a time; the moving average reaches 1 - 1/e.
  EXPECT_EQ(m_gate.ReservedSlots(m_now), 2U);
  for (uint32_t count = 0; count < kSlots; ++count) {
    Send(kUrgent);
  }
  EXPECT_EQ(m_gate.RunningCount(), kSlots - 2);
  EXPECT_EQ(m_gate.QueuedCount(), 2U);
  EXPECT_FALSE(m_gate.HasFreeSlot(m_now));
  EXPECT_EQ(Send(kNested).starts.size(), 1U);
}

TEST_F(NestedCallTest, ManyNestedCalls_AtMostAThirdOfTheSlotsIsKept)
{
  RunNested(200);
  EXPECT_EQ(m_gate.ReservedSlots(m_now), kSlots / 3);
}

// Guards against slots that stay unused after the callers have gone, and
// against queued requests that nothing starts then.
TEST_F(NestedCallTest, NestedCallsEnd_SlotsGoToQueuedOuterRequests)
{
  RunNested(20);
  for (uint32_t count = 0; count < kSlots; ++count) {
    Send(kUrgent, seconds(20));
  }
  const auto wakeup = m_gate.NextWakeup(m_now);
  ASSERT_TRUE(wakeup);
  EXPECT_GT(*wakeup, m_now);
  EXPECT_LE(*wakeup, m_now + seconds(1));
  m_now += seconds(4);
  EXPECT_EQ(m_gate.Expire(m_now).starts.size(), 2U);
  EXPECT_EQ(m_gate.ReservedSlots(m_now), 0U);
}

// Failure case: the daemon was restarted and knows of no nested call yet.
TEST_F(NestedCallTest, NothingKnown_OuterRequestsGetAllSlots)
{
  for (uint32_t count = 0; count < kSlots; ++count) {
    EXPECT_EQ(Send(kLater).starts.size(), 1U);
  }
}

// Sites without nested calls: a class for them changes no decision.
TEST_F(NestedCallTest, NoNestedCalls_DecisionsAsWithoutTheClass)
{
  auto plain = Settings();
  plain.classes.pop_back();
  plain.nestedClass.reset();
  AdmissionController other(plain);
  std::vector<RequestId> running;
  for (int step = 0; step < 3000; ++step) {
    m_now += milliseconds(step % 7);
    const AdmissionRequest request{ RequestId{ 1, ++m_count },
                                    ClassIndex(step % 3 == 0 ? 0 : 1),
                                    m_now + milliseconds(150 + step % 211) };
    const auto mine = m_gate.Admit(request, m_now);
    const auto its = other.Admit(request, m_now);
    ASSERT_EQ(mine.starts, its.starts);
    ASSERT_EQ(mine.refusals.size(), its.refusals.size());
    running.insert(running.end(), mine.starts.begin(), mine.starts.end());
    if (step % 2 == 0 && !running.empty()) {
      const auto ended = running.front();
      running.erase(running.begin());
      const auto after = m_gate.Finished(ended, ServiceResult::kDone, m_now);
      ASSERT_EQ(after.starts,
                other.Finished(ended, ServiceResult::kDone, m_now).starts);
      running.insert(running.end(), after.starts.begin(), after.starts.end());
    }
    ASSERT_EQ(m_gate.NextWakeup(m_now), other.NextWakeup(m_now));
  }
}

}
}
