#include "test/platform/ServerTaskSupport.h"

namespace pistachioshift::platform::test {

/** A backend server that adds fields to all its answers, or leaves. */
class ServerNoticeTest : public ServerTaskTest
{
protected:
  explicit ServerNoticeTest(Duration aMaxHeartbeatDelay = kShortHeartbeatDelay)
    : ServerTaskTest(std::nullopt, aMaxHeartbeatDelay)
  {
  }

  /** Whether one of the requests that are sent meanwhile reaches the server. */
  bool IsServedWithin(Duration aFor)
  {
    for (auto waited = Duration{}; waited < aFor; waited += kStep) {
      if (Received() > 0) {
        return true;
      }
    }
    return false;
  }

  /// Longer than the checks take on a busy machine.
  static constexpr Duration kPatience = milliseconds(4000);
  static constexpr Duration kStep = milliseconds(50); ///< See Received().
};

TEST_F(ServerNoticeTest, Start_NoLimit_AllAreServed)
{
  Join();
  for (int tick = 0; tick < 100; ++tick) {
    Request();
    Run(milliseconds(5));
  }
  Run(milliseconds(200));
  EXPECT_EQ(m_received, 100);
}

/** Guards against a server that gets more requests than the limit it states. */
TEST_F(ServerNoticeTest, Start_ServerStatesALimit_IsNotExceeded)
{
  Join();
  m_fields.Set("Server-Limit", "10");
  const auto start = m_clock.Now();
  for (int tick = 0; tick < 200; ++tick) {
    Request();
    Run(milliseconds(10));
  }
  const std::chrono::duration<double> elapsed = m_clock.Now() - start;
  EXPECT_LE(m_received, 1.5 * 10.0 * elapsed.count() + 5.0);
  EXPECT_GE(m_received, 15);
  EXPECT_GT(m_ends->refusals.size(), 100U);
  EXPECT_EQ(m_ends->lost, 0);
}

TEST_F(ServerNoticeTest, Start_LimitIsNoLongerStated_AllAreServed)
{
  Join();
  m_fields.Set("Server-Limit", "2");
  for (int tick = 0; tick < 50; ++tick) {
    Request();
    Run(milliseconds(10));
  }
  m_fields.Remove("Server-Limit");
  Request(milliseconds(2000));
  Run(milliseconds(1000)); // The next request that the limit allows.
  const auto before = m_received;
  for (int tick = 0; tick < 50; ++tick) {
    Request();
    Run(milliseconds(10));
  }
  EXPECT_GE(m_received - before, 49);
}

/**
 * Guards against a burst after a restart of the daemon, which does not know the
 * limit yet and has a queue of requests.
 */
TEST_F(ServerNoticeTest, Start_LimitIsUnknownAfterRestart_FewUntilFirstAnswer)
{
  m_fields.Set("Server-Limit", "1");
  Join();
  for (int request = 0; request < 9; ++request) {
    Request();
  }
  Run(milliseconds(300));
  EXPECT_LE(m_received, 4);
}

/**
 * Guards against requests to a server that has said in an answer that it
 * leaves, later than the time allowed for that.
 */
TEST_F(ServerNoticeTest, Start_ServerSaysThatItLeaves_GetsNothingAfterDrainTime)
{
  Join();
  Request();
  Run(milliseconds(50));
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kReady);
  m_fields.Set("Server-Leaving", "1");
  Request();
  Run(milliseconds(50));
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kDraining);
  Request();
  Run(milliseconds(50));
  EXPECT_EQ(m_received, 3);
  Run(milliseconds(300));
  Request();
  Run(milliseconds(50));
  EXPECT_EQ(m_received, 3);
  EXPECT_EQ(m_ends->refusals,
            std::vector<RefusalReason>{ RefusalReason::kDraining });
}

/** The previous process of the daemon has heard of the leave. */
TEST_F(ServerNoticeTest, Start_LeaveIsKnownFromBeforeARestart_GetsNothing)
{
  auto record = m_record;
  record.server->state = ServerState::kDraining;
  record.server->leaving = true;
  m_topic.Append({ EncodeHost(record) }, WriterPosition{ "a", 1, 1 });
  Join();
  Request();
  Run(milliseconds(50));
  EXPECT_EQ(m_received, 0);
}

/** The previous process stopped, and its server went on. */
TEST_F(ServerNoticeTest, Start_OnlyTheDaemonWasStopped_IsServed)
{
  auto record = m_record;
  record.server->state = ServerState::kDraining;
  m_topic.Append({ EncodeHost(record) }, WriterPosition{ "a", 1, 1 });
  Join();
  EXPECT_EQ(Received(), 1);
}

/**
 * Guards against a leave that is forgotten over a restart of the daemon, which
 * had acknowledged it but could not write it to the store.
 */
TEST_F(ServerNoticeTest, Start_NoHeartbeatSinceARestart_GetsNothing)
{
  JoinSilently();
  EXPECT_EQ(Received(), 0);
  EXPECT_EQ(m_ends->refusals,
            std::vector<RefusalReason>{ RefusalReason::kCold });
  SendHeartbeat();
  EXPECT_EQ(Received(), 0);
  Run(kHeartbeatInterval);
  SendHeartbeat();
  EXPECT_EQ(Received(), 1);
}

/**
 * Guards against the same, with a heartbeat that was sent before the leave and
 * reaches the next process.
 */
TEST_F(ServerNoticeTest, Start_OneLateHeartbeatSinceARestart_GetsNothing)
{
  JoinSilently();
  SendHeartbeat();
  Run(kHeartbeatInterval);
  EXPECT_EQ(Received(), 0);
  EXPECT_EQ(m_ends->refusals,
            std::vector<RefusalReason>{ RefusalReason::kCold });
}

/** Guards against a restart that costs a heartbeat interval: the answer to a
 * check is newer than any leave that an earlier process has acknowledged. */
TEST_F(ServerNoticeTest, Start_HealthySinceARestart_NeedsNoHeartbeat)
{
  m_server.SetHealthPath(kHealthPath);
  JoinSilently();
  EXPECT_EQ(Received(), 1);
}

TEST_F(ServerNoticeTest, Start_HealthPathIsKnownLate_IsCheckedThen)
{
  JoinSilently();
  EXPECT_EQ(Received(), 0);
  m_server.SetHealthPath(kHealthPath);
  Run(milliseconds(50));
  EXPECT_EQ(Received(), 1);
}

TEST_F(ServerNoticeTest, Start_UnhealthySinceARestart_GetsNothing)
{
  m_healthy = false;
  m_server.SetHealthPath(kHealthPath);
  JoinSilently();
  SendHeartbeat(); // Sent before the leave.
  Run(milliseconds(1200));
  EXPECT_EQ(Received(), 0);
}

TEST_F(ServerNoticeTest, Start_AnotherServerIsHealthy_GetsNothing)
{
  m_healthyServer = "server-b";
  m_server.SetHealthPath(kHealthPath);
  JoinSilently();
  EXPECT_EQ(Received(), 0);
}

TEST_F(ServerNoticeTest, Start_BusyAtTheFirstCheck_IsCheckedAgain)
{
  m_healthy = false;
  m_server.SetHealthPath(kHealthPath);
  JoinSilently();
  m_healthy = true;
  EXPECT_TRUE(IsServedWithin(kPatience));
}

/** Two that were held up arrive together. */
TEST_F(ServerNoticeTest, Start_LateHeartbeatsArriveTogether_GetsNothing)
{
  JoinSilently();
  SendHeartbeat();
  SendHeartbeat();
  EXPECT_EQ(Received(), 0);
}

/** A daemon that has been restarted, with heartbeats that may be late by more
 * than a test lasts. */
class LateHeartbeatTest : public ServerNoticeTest
{
protected:
  LateHeartbeatTest()
    : ServerNoticeTest(std::chrono::hours(1))
  {
  }

  /** Two heartbeats that were sent before the restart, at the usual interval.
   */
  void SendLateHeartbeats()
  {
    SendHeartbeat();
    Run(kHeartbeatInterval);
    SendHeartbeat();
  }

  /** Assigns all keys to this host. */
  void DivideKeys()
  {
    m_server.SetSharded(true);
    RangeTable table;
    table.Assign(kOrders, KeyRange{}, HolderOf("a"), {});
    table.era = m_topic.Position().era;
    m_topic.Append({ EncodeTable(table) }, ExpectedEnd{ m_topic.End() });
  }
};

/**
 * Guards against a leave that is forgotten over a restart of the daemon, which
 * could not write it to the store: heartbeats that were sent before the leave
 * arrive at the next process one after the other.
 */
TEST_F(LateHeartbeatTest, Start_TwoSinceARestart_GetsNothing)
{
  m_healthy = false;
  m_server.SetHealthPath(kHealthPath);
  JoinSilently();
  SendLateHeartbeats();
  EXPECT_EQ(Received(), 0);
  EXPECT_EQ(m_ends->refusals,
            std::vector<RefusalReason>{ RefusalReason::kCold });
}

TEST_F(LateHeartbeatTest, Start_NoHealthCheckIsDeclared_GetsNothing)
{
  m_server.SetHealthPath("");
  JoinSilently();
  SendLateHeartbeats();
  EXPECT_EQ(Received(), 0);
}

/** The same for a request with a key: the server accepts it for as long as the
 * hold lasts that it got from the process before. */
TEST_F(LateHeartbeatTest, Start_WithAKeySinceARestart_GetsNothing)
{
  m_healthy = false;
  DivideKeys();
  m_server.SetHealthPath(kHealthPath);
  JoinSilently();
  SendLateHeartbeats();
  Request(milliseconds(500), "/r/1", "7");
  Run(milliseconds(50));
  EXPECT_EQ(m_received, 0);
}

/** A request with a key waits for the check, as it does for the grant. */
TEST_F(LateHeartbeatTest, Start_WithAKeyAndBusyAtTheFirstCheck_IsServedLater)
{
  m_healthy = false;
  DivideKeys();
  m_server.SetHealthPath(kHealthPath);
  JoinSilently();
  SendHeartbeat();
  Request(kPatience, "/r/1", "7");
  m_healthy = true;
  for (auto waited = Duration{}; m_received == 0 && waited < kPatience;
       waited += kStep) {
    Run(kStep);
  }
  EXPECT_EQ(m_received, 1);
}

/** Guards against a server that stays unused because it was busy for longer
 * than the first checks took. */
TEST_F(LateHeartbeatTest, Start_BusyForLongSinceARestart_IsCheckedAgain)
{
  m_healthy = false;
  m_server.SetHealthPath(kHealthPath);
  JoinSilently();
  Run(milliseconds(5000));
  m_healthy = true;
  EXPECT_EQ(Received(), 0);
  SendHeartbeat();
  Run(milliseconds(50));
  EXPECT_EQ(Received(), 1);
}

/** No earlier process can have acknowledged a leave. */
TEST_F(ServerNoticeTest, Start_FirstProcessOfTheHost_FirstHeartbeatSuffices)
{
  m_topic.Append({ RemoveHost(HostName("a")) }, ExpectedEnd{ m_topic.End() });
  JoinSilently();
  SendHeartbeat();
  EXPECT_EQ(Received(), 1);
}

/** The same leave, repeated in heartbeats: its drain time may be over. */
TEST_F(ServerNoticeTest,
       Start_FirstHeartbeatSinceARestartIsDraining_GetsNothing)
{
  JoinSilently();
  SendHeartbeat(ServerState::kDraining);
  EXPECT_EQ(Received(), 0);
}

/** A leave during which this process has been running. */
TEST_F(ServerNoticeTest, Start_ServerDrains_IsServedForTheDrainTime)
{
  Join();
  SendHeartbeat(ServerState::kDraining);
  EXPECT_EQ(Received(), 1);
  Run(milliseconds(300));
  SendHeartbeat(ServerState::kDraining);
  EXPECT_EQ(Received(), 0);
}

/**
 * Guards against a drain time that is counted from a heartbeat after the one
 * that was acknowledged, which arrived before the daemon had read the store.
 */
TEST_F(ServerNoticeTest, Start_DrainingBeforeTheFirstJoin_GetsNothing)
{
  auto record = m_record;
  record.server.reset();
  m_topic.Append({ EncodeHost(record) }, WriterPosition{ "a", 1, 1 });
  SendHeartbeat(ServerState::kDraining);
  JoinSilently();
  SendHeartbeat(ServerState::kDraining);
  EXPECT_EQ(Received(), 0);
}

/** A heartbeat that was sent before the leave may arrive after it. */
TEST_F(ServerNoticeTest, Start_LateHeartbeatAfterALeave_GetsNothing)
{
  auto record = m_record;
  record.server.reset();
  m_topic.Append({ EncodeHost(record) }, WriterPosition{ "a", 1, 1 });
  m_server.OnLeave({ ServerId("server-a") });
  JoinSilently();
  SendHeartbeat();
  EXPECT_EQ(Received(), 0);
  EXPECT_TRUE(m_state.OwnRecord().server->leaving);
}

/** A leave of another server does not replace the one that was confirmed. */
TEST_F(ServerNoticeTest, Start_TwoLeavesBeforeTheFirstJoin_BothCount)
{
  auto record = m_record;
  record.server.reset();
  m_topic.Append({ EncodeHost(record) }, WriterPosition{ "a", 1, 1 });
  SendHeartbeat(ServerState::kDraining);
  m_server.OnLeave({ ServerId("server-other") });
  JoinSilently();
  SendHeartbeat();
  EXPECT_EQ(Received(), 0);
}

/**
 * Guards against a server that is used again after its leave: it had started
 * again under its id, and its first heartbeat arrived after the leave.
 */
TEST_F(ServerNoticeTest, OnHeartbeat_FirstOfAStartThatHasLeft_GetsNothing)
{
  Join();
  auto heartbeat = Heartbeat();
  heartbeat.incarnation.startedAt += milliseconds(5000);
  m_server.OnLeave(
    { heartbeat.incarnation.id, heartbeat.incarnation.startedAt });
  Run(milliseconds(300));
  m_server.OnHeartbeat(heartbeat);
  EXPECT_EQ(Received(), 0);
  EXPECT_TRUE(m_state.OwnRecord().server->leaving);
}

/** The same, for a leave that does not say which start it concerns. */
TEST_F(ServerNoticeTest, OnHeartbeat_LateAfterALeaveWithoutAStart_GetsNothing)
{
  Join();
  auto heartbeat = Heartbeat();
  heartbeat.incarnation.startedAt = m_clock.WallNow();
  m_server.OnLeave({ heartbeat.incarnation.id });
  Run(milliseconds(300));
  m_server.OnHeartbeat(heartbeat);
  EXPECT_EQ(Received(), 0);
}

/** A repetition of the leave of an earlier start arrives in between. */
TEST_F(ServerNoticeTest, OnHeartbeat_LateAfterAnEarlierLeaveToo_GetsNothing)
{
  Join();
  auto heartbeat = Heartbeat();
  const auto earlier = heartbeat.incarnation;
  heartbeat.incarnation.startedAt += milliseconds(5000);
  m_server.OnLeave(
    { heartbeat.incarnation.id, heartbeat.incarnation.startedAt });
  m_server.OnLeave({ earlier.id, earlier.startedAt });
  Run(milliseconds(300));
  m_server.OnHeartbeat(heartbeat);
  EXPECT_EQ(Received(), 0);
}

/** Leaves of other ids, however many, do not make room for a server that has
 * left: more of them than are kept. */
TEST_F(ServerNoticeTest, OnHeartbeat_LateAfterManyOtherLeaves_GetsNothing)
{
  Join();
  auto heartbeat = Heartbeat();
  heartbeat.incarnation = IncarnationOf("server-new", 5000);
  m_server.OnLeave(
    { heartbeat.incarnation.id, heartbeat.incarnation.startedAt });
  for (int other = 0; other < 1000; ++other) {
    m_server.OnLeave(
      { ServerId(fmt::format("server-{}", other)), WallTime(milliseconds(1)) });
  }
  Run(milliseconds(300));
  m_server.OnHeartbeat(heartbeat);
  EXPECT_EQ(Received(), 0);
}

/**
 * Guards against a leave that is acknowledged and ignored: the server started
 * again under its id after its time of day had been set back, so that its start
 * time is lower than the one before.
 */
TEST_F(ServerNoticeTest, OnLeave_OfALowerStart_GetsNothing)
{
  m_server.SetHealthPath(kHealthPath);
  Join();
  ASSERT_EQ(Received(), 1);
  m_healthy = false;
  m_server.OnLeave({ ServerId("server-a"), WallTime(milliseconds(900)) });
  EXPECT_EQ(Received(), 0);
  // A heartbeat of the start before is no proof.
  SendHeartbeat();
  EXPECT_EQ(Received(), 0);
}

/** The same leave, announced by a heartbeat, which is acknowledged too. */
TEST_F(ServerNoticeTest, OnHeartbeat_DrainingWithALowerStart_GetsNothing)
{
  m_server.SetHealthPath(kHealthPath);
  Join();
  m_healthy = false;
  auto heartbeat = Heartbeat();
  heartbeat.incarnation.startedAt -= milliseconds(100);
  heartbeat.state = ServerState::kDraining;
  EXPECT_TRUE(m_server.OnHeartbeat(heartbeat));
  EXPECT_EQ(Received(), 0);
}

/** A silent server whose leave may have been acknowledged is not published as
 * one that still takes requests. */
TEST_F(ServerNoticeTest, OnLeave_OfALowerStartWhileSilent_IsDraining)
{
  m_server.SetHealthPath(kHealthPath);
  Join();
  Run(milliseconds(3800));
  ASSERT_EQ(m_state.OwnRecord().server->state, ServerState::kSilent);
  m_healthy = false;
  m_server.OnLeave({ ServerId("server-a"), WallTime(milliseconds(900)) });
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kDraining);
}

/** A late leave of an earlier start costs the running server one check. */
TEST_F(ServerNoticeTest, OnLeave_LateOfAnEarlierStart_ServesAfterACheck)
{
  m_server.SetHealthPath(kHealthPath);
  Join();
  m_server.OnLeave({ ServerId("server-a"), WallTime(milliseconds(900)) });
  Run(milliseconds(50));
  EXPECT_EQ(Received(), 1);
}

/**
 * Guards against the same, where the heartbeat of the start before, which has
 * the higher start time, arrives after the leave and is the first one.
 */
TEST_F(ServerNoticeTest, OnHeartbeat_HigherStartAfterALeave_GetsNothing)
{
  m_server.SetHealthPath(kHealthPath);
  Join();
  m_healthy = false;
  auto heartbeat = Heartbeat();
  heartbeat.incarnation.startedAt += milliseconds(5000);
  m_server.OnLeave({ heartbeat.incarnation.id,
                     heartbeat.incarnation.startedAt - milliseconds(100) });
  m_server.OnHeartbeat(heartbeat);
  EXPECT_EQ(Received(), 0);
}

/** A server that started again under the id of the one that left. */
TEST_F(ServerNoticeTest, OnHeartbeat_SameIdStartedAfterALeave_IsServed)
{
  m_server.SetHealthPath(kHealthPath);
  Join();
  m_server.OnLeave({ ServerId("server-a") });
  auto heartbeat = Heartbeat();
  heartbeat.incarnation.startedAt = m_clock.WallNow() + milliseconds(1);
  m_server.OnHeartbeat(heartbeat);
  Run(milliseconds(50));
  EXPECT_EQ(Received(), 1);
}

/** Callers are not sent to a server that may have left, nor is it written as
 * leaving: heartbeats that go on bring it back. */
TEST_F(ServerNoticeTest, OnTick_NoHeartbeatSinceARestart_IsPublishedAsDraining)
{
  JoinSilently();
  Run(milliseconds(3800));
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kDraining);
  EXPECT_FALSE(m_state.OwnRecord().server->leaving);
  SendHeartbeat();
  EXPECT_EQ(Received(), 0);
  Run(kHeartbeatInterval);
  SendHeartbeat();
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kReady);
  EXPECT_EQ(Received(), 1);
}

/** A server that has left stays excluded when its heartbeats end. */
TEST_F(ServerNoticeTest, OnTick_SilentAfterALeave_StaysDraining)
{
  Join();
  m_server.OnLeave({ ServerId("server-a") });
  Run(milliseconds(3800));
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kDraining);
  EXPECT_TRUE(m_state.OwnRecord().server->leaving);
}

/** A new server at the same address is not the one that left. */
TEST_F(ServerNoticeTest, OnHeartbeat_NewServerAfterALeave_IsServed)
{
  Join();
  m_fields.Set("Server-Leaving", "1");
  Request();
  Run(milliseconds(50));
  m_fields.Remove("Server-Leaving");
  auto heartbeat = Heartbeat();
  heartbeat.incarnation = IncarnationOf("server-new", 5000);
  m_server.OnHeartbeat(heartbeat);
  Run(milliseconds(50));
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kReady);
  EXPECT_FALSE(m_state.OwnRecord().server->leaving);
  Run(milliseconds(300));
  Request();
  Run(milliseconds(50));
  EXPECT_EQ(m_received, 2);
}

}
