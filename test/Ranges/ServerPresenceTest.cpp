#include <gtest/gtest.h>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

constexpr bool kEarlierProcess = true;

/** A backend server that is about to be stopped. */
class ServerPresenceTest : public ::testing::Test
{
protected:
  /** A heartbeat of an incarnation that is not stale. */
  void Hear(const ServerIncarnation& aIncarnation,
            bool aEarlierProcess = !kEarlierProcess)
  {
    if (m_current != aIncarnation) {
      m_current = aIncarnation;
      m_presence.Begin(aIncarnation, m_clock.Now());
    }
    m_presence.OnHeartbeat(aEarlierProcess, m_clock.Now());
  }

  LeaveEffect Leave(const ServerLeave& aLeave)
  {
    return m_presence.OnLeave(aLeave, m_clock.Now(), m_clock.WallNow());
  }

  bool MayStart() const
  {
    return m_presence.Proven() && !m_presence.Drained(m_clock.Now());
  }

  static ServerLeave LeaveOf(const ServerIncarnation& aIncarnation)
  {
    return { aIncarnation.id, aIncarnation.startedAt };
  }

  ManualClock m_clock;
  PresenceSettings m_settings;
  ServerPresence m_presence{ m_settings };
  std::optional<ServerIncarnation> m_current;
  const ServerIncarnation m_first = IncarnationOf("server-a", 1000);
  const ServerIncarnation m_second = IncarnationOf("server-a", 2000);
};

TEST_F(ServerPresenceTest, OnLeave_OfTheRunningServer_StartsForTheDrainTime)
{
  Hear(m_first);
  EXPECT_EQ(Leave(LeaveOf(m_first)), LeaveEffect::kLeaves);
  EXPECT_EQ(Leave(LeaveOf(m_first)), LeaveEffect::kNone);
  EXPECT_TRUE(MayStart());
  m_clock.Advance(m_settings.drainTime);
  EXPECT_FALSE(MayStart());
}

/** Guards against a leave that is forgotten because the daemon has not heard
 * yet that the server was started again under its id. */
TEST_F(ServerPresenceTest, Begin_LeaveWasAcknowledgedBefore_HasLeft)
{
  Hear(m_first);
  Leave(LeaveOf(m_second));
  Hear(m_second);
  EXPECT_TRUE(m_presence.Left());
  EXPECT_FALSE(MayStart());
}

/** It may also be an earlier start, if the time of day was set back. */
TEST_F(ServerPresenceTest, Begin_HigherStartAfterALeave_IsUsedOnceProven)
{
  Hear(m_first);
  Leave(LeaveOf(m_first));
  Hear(m_second);
  EXPECT_FALSE(m_presence.Left());
  EXPECT_FALSE(MayStart());
  m_presence.OnHealthy();
  EXPECT_TRUE(MayStart());
}

/**
 * Guards against a leave that is forgotten over a restart of the daemon:
 * heartbeats that were sent before it arrive at the next process.
 */
TEST_F(ServerPresenceTest,
       OnHeartbeat_SeveralLateOnesAfterARestart_ProveNothing)
{
  for (int heartbeat = 0; heartbeat < 9; ++heartbeat) {
    Hear(m_first, kEarlierProcess);
    EXPECT_FALSE(MayStart());
    m_clock.Advance(milliseconds(1000));
  }
}

TEST_F(ServerPresenceTest, OnHeartbeat_TooLateToBeFromBeforeTheRestart_IsProof)
{
  Hear(m_first, kEarlierProcess);
  m_clock.Advance(m_settings.maxHeartbeatDelay);
  Hear(m_first, kEarlierProcess);
  EXPECT_TRUE(MayStart());
}

/** A server that leaves does not answer a health check that it runs. */
TEST_F(ServerPresenceTest, OnHealthy_AfterARestart_IsProof)
{
  Hear(m_first, kEarlierProcess);
  m_presence.OnHealthy();
  EXPECT_TRUE(MayStart());
  Hear(m_second, kEarlierProcess);
  EXPECT_TRUE(MayStart());
}

/** Guards against a leave that is acknowledged and ignored, of a server that
 * started after the time of day had been set back. */
TEST_F(ServerPresenceTest, OnLeave_OfALowerStart_HasToBeProvenAgain)
{
  Hear(m_second);
  EXPECT_EQ(Leave(LeaveOf(m_first)), LeaveEffect::kDoubts);
  EXPECT_FALSE(MayStart());
  Hear(m_second);
  EXPECT_FALSE(MayStart());
  m_presence.OnHealthy();
  EXPECT_TRUE(MayStart());
}

TEST_F(ServerPresenceTest, OnLeave_OfAnotherServer_ChangesNothing)
{
  Hear(m_first);
  EXPECT_EQ(Leave(LeaveOf(IncarnationOf("server-b", 1))), LeaveEffect::kNone);
  EXPECT_TRUE(MayStart());
}

}
