#include <gtest/gtest.h>

#include "src/HostDaemon/LeaveSchedule.h"

namespace pistachioshift {

using std::chrono::milliseconds;

/** A stop with a grace period of 6 s, asked every 50 ms as the daemon does. */
class LeaveScheduleTest : public ::testing::Test
{
protected:
  static constexpr Duration kGrace = milliseconds(6000);
  static constexpr Duration kInterval = milliseconds(50);

  /** Asks up to a time after the start; the steps that were due until then. */
  LeaveSteps AskUntil(Duration aTime, const LeaveWork& aWork)
  {
    LeaveSteps due;
    while (m_elapsed < aTime) {
      m_elapsed += kInterval;
      const auto steps = m_schedule.Next(m_start + m_elapsed, aWork);
      due.refuseCallers |= steps.refuseCallers;
      due.drainPeers |= steps.drainPeers;
      due.force |= steps.force;
      due.sayGoodbye |= steps.sayGoodbye;
      due.finishSending |= steps.finishSending;
      due.exit |= steps.exit;
    }
    return due;
  }

  MonoTime m_start{ std::chrono::hours(1) };
  Duration m_elapsed{};
  LeaveSchedule m_schedule{ m_start, kGrace };
};

// Guards against an exit before callers have seen that the daemon isn't ready.
TEST_F(LeaveScheduleTest, Next_IdleFromTheStart_ExitsOnlyAfterTheNotice)
{
  const auto early = AskUntil(milliseconds(2250), {});
  EXPECT_FALSE(early.refuseCallers);
  EXPECT_FALSE(early.exit);
  const auto later = AskUntil(milliseconds(3000), {});
  EXPECT_TRUE(later.refuseCallers);
  EXPECT_TRUE(later.drainPeers);
  EXPECT_TRUE(later.exit);
  EXPECT_FALSE(later.force);
}

// Guards against an exit while a request is in progress, and against a stop
// that a request without an answer holds up beyond the grace period.
TEST_F(LeaveScheduleTest, Next_CallerWaits_ForcedBeforeTheGraceEnds)
{
  const LeaveWork work{ .callers = 1 };
  EXPECT_FALSE(AskUntil(milliseconds(5400), work).exit);
  const auto end = AskUntil(kGrace - kInterval, work);
  EXPECT_TRUE(end.force);
  EXPECT_TRUE(end.exit);
}

// Guards against keys that nobody serves while the process runs on for its own
// callers, and against connections that are ended while a peer's request runs.
TEST_F(LeaveScheduleTest, Next_OwnCallersWait_PeersAreServedUntilTheyAreDone)
{
  const LeaveWork busy{ .calls = 2, .callers = 1 };
  EXPECT_FALSE(AskUntil(milliseconds(4200), busy).drainPeers);
  const auto due = AskUntil(milliseconds(4400), { .calls = 2 });
  EXPECT_TRUE(due.drainPeers);
  EXPECT_FALSE(due.sayGoodbye);
}

// Guards against peers' requests that keep the daemon running to the end.
TEST_F(LeaveScheduleTest, Next_OwnCallersNeverDone_PeersAreDrainedWhenForced)
{
  const LeaveWork busy{ .calls = 2, .callers = 1 };
  const auto due = AskUntil(milliseconds(5500), busy);
  EXPECT_TRUE(due.drainPeers);
  EXPECT_TRUE(due.force);
  EXPECT_EQ(m_schedule.ForcedAt(), m_start + milliseconds(5500));
}

// Guards against an exit that drops a finished answer whose caller, or whose
// link, takes the bytes slowly.
TEST_F(LeaveScheduleTest, Next_FinishedAnswerWaits_NoExitUntilItIsSent)
{
  EXPECT_FALSE(AskUntil(milliseconds(5400), { .unsentBytes = 1 }).exit);
  EXPECT_TRUE(AskUntil(milliseconds(5800), {}).exit);
}

// Guards against a forced exit that drops answers although time is left.
TEST_F(LeaveScheduleTest, Next_ForcedAnswerWaits_UsesTheTimeThatIsLeft)
{
  EXPECT_TRUE(AskUntil(milliseconds(5500), { .callers = 1 }).force);
  EXPECT_FALSE(AskUntil(milliseconds(5800), { .unsentBytes = 1 }).exit);
  EXPECT_TRUE(AskUntil(milliseconds(5950), { .unsentBytes = 1 }).exit);
}

// Guards against a forced exit that waits although nothing is left to send.
TEST_F(LeaveScheduleTest, Next_ForcedAllSent_ExitsAtOnce)
{
  EXPECT_TRUE(AskUntil(milliseconds(5500), { .callers = 1 }).force);
  const auto end = AskUntil(milliseconds(5600), {});
  EXPECT_TRUE(end.finishSending);
  EXPECT_TRUE(end.exit);
}

// Guards against an exit that resets connections to other daemons while they
// have not taken everything, and against a peer that holds up the exit.
TEST_F(LeaveScheduleTest, Next_PeersHaveNotClosed_ExitWaitsForThemBriefly)
{
  Duration finished{};
  while (finished == Duration{} && m_elapsed < kGrace) {
    const auto steps = AskUntil(m_elapsed + kInterval, {});
    EXPECT_FALSE(steps.exit && !steps.finishSending);
    finished = steps.finishSending ? m_elapsed : Duration{};
  }
  EXPECT_FALSE(
    AskUntil(finished + milliseconds(100), { .connections = 1 }).exit);
  EXPECT_TRUE(
    AskUntil(finished + milliseconds(400), { .connections = 1 }).exit);
}

// Guards against an unknown outcome where the stopping daemon still knows it:
// queries that cross its goodbye were dropped with the connection.
TEST_F(LeaveScheduleTest, Next_Goodbye_ConnectionsAreEndedInALaterStep)
{
  LeaveSteps steps;
  while (!steps.sayGoodbye && m_elapsed < kGrace) {
    steps = AskUntil(m_elapsed + kInterval, { .connections = 1 });
    EXPECT_FALSE(steps.finishSending);
  }
  const auto next = AskUntil(m_elapsed + kInterval, { .connections = 1 });
  EXPECT_TRUE(next.finishSending);
  EXPECT_FALSE(next.exit);
}

// Guards against a stop whose forced end never ends the connections.
TEST_F(LeaveScheduleTest, Next_CallsNeverEnd_ConnectionsAreEndedBeforeTheExit)
{
  const LeaveWork work{ .calls = 1, .peersHaveUnsent = true };
  const auto forced = AskUntil(milliseconds(5750), work);
  EXPECT_TRUE(forced.finishSending);
  EXPECT_FALSE(forced.exit);
  EXPECT_TRUE(AskUntil(milliseconds(5950), work).exit);
}

// Guards against an exit in the step that fails what still runs: its answers
// are not written before the event loop goes on.
TEST_F(LeaveScheduleTest, Next_CheckComesLate_StepsAreNotTakenAtOnce)
{
  const LeaveWork work{ .calls = 1, .callers = 1 };
  EXPECT_FALSE(AskUntil(milliseconds(5450), work).force);
  const auto late = m_schedule.Next(m_start + milliseconds(5870), work);
  EXPECT_TRUE(late.force);
  EXPECT_FALSE(late.exit);
  EXPECT_TRUE(AskUntil(milliseconds(5950), {}).exit);
}

}
