#include <gtest/gtest.h>

#include "test/platform/ServerTaskSupport.h"

namespace pistachioshift::platform::test {

/** The last requests start 1 s after the daemon learns of an evacuation. */
class RangeServerEvacuationTest : public ServerTaskTest
{
protected:
  RangeServerEvacuationTest()
    : ServerTaskTest(milliseconds(3000))
  {
    m_server.SetOnReleased(
      [this](const RangeRelease& aOne) { m_released = aOne.ranges; });
  }

  void Evacuate()
  {
    m_server.SetEvacuatedZones({ m_record.zone }, m_clock.Now());
  }
  void End() { m_server.SetEvacuatedZones({}, m_clock.Now()); }

  const ServerStatus& Published() { return *m_state.OwnRecord().server; }

  /** The server holds all keys and has heard of the evacuation. */
  void JoinWithKeys()
  {
    RangeTable table;
    table.Assign(kOrders, {}, HolderOf("a"), "");
    table.era = m_topic.Position().era;
    m_topic.Append({ EncodeTable(table) }, ExpectedEnd{ m_topic.End() });
    m_server.SetSharded(true);
    End();
    Join();
  }

  std::vector<GrantedRange> Granted(const ServerHeartbeat& aHeartbeat)
  {
    return m_server.OnHeartbeat(aHeartbeat)->ranges;
  }

  std::vector<Relinquished> m_released;
};

/** Guards against requests that reach the server of an evacuated zone. */
TEST_F(RangeServerEvacuationTest, Start_AfterTheLimit_RefusesAsNotRun)
{
  End();
  Join();
  EXPECT_EQ(Received(), 1);
  Evacuate();
  EXPECT_EQ(Published().state, ServerState::kDraining);
  EXPECT_FALSE(Published().leaving);
  EXPECT_EQ(Received(), 1);
  Run(milliseconds(1000));
  EXPECT_EQ(Received(), 0);
  EXPECT_EQ(m_ends->refusals.back(), RefusalReason::kDraining);
  End();
  EXPECT_EQ(Published().state, ServerState::kReady);
  EXPECT_EQ(Received(), 1);
}

/** Guards against starts of a restarted daemon that has not read the records,
 * and against its server that is published as ready meanwhile. */
TEST_F(RangeServerEvacuationTest, Start_ZonesAreNotKnownYet_RefusesAsNotRun)
{
  Join();
  EXPECT_EQ(Received(), 0);
  EXPECT_EQ(Published().state, ServerState::kDraining);
  m_server.SetEvacuatedZones({ m_record.zone }, std::nullopt);
  EXPECT_EQ(Received(), 0);
  End();
  EXPECT_EQ(Received(), 1);
  EXPECT_EQ(Published().state, ServerState::kReady);
}

/** Guards against keys that move without what the server has handed over. */
TEST_F(RangeServerEvacuationTest, OnHeartbeat_ServerHoldsKeys_ReleasesThem)
{
  JoinWithKeys();
  const auto granted = Granted(Heartbeat());
  ASSERT_EQ(granted.size(), 1U);
  Evacuate();
  EXPECT_TRUE(Granted(Heartbeat()).empty());
  auto released = Heartbeat();
  released.holds.emplace();
  released.released.push_back({ granted[0].range, "token" });
  EXPECT_TRUE(Granted(released).empty());
  ASSERT_EQ(m_released.size(), 1U);
  EXPECT_EQ(m_released[0].handover, "token");
}

TEST_F(RangeServerEvacuationTest, OnHeartbeat_ServerRestarted_GetsNoKeys)
{
  JoinWithKeys();
  Evacuate();
  auto heartbeat = Heartbeat();
  heartbeat.incarnation = IncarnationOf("server-a", 5000);
  EXPECT_TRUE(Granted(heartbeat).empty());
  EXPECT_EQ(Published().incarnation, heartbeat.incarnation);
  EXPECT_EQ(Published().state, ServerState::kDraining);
}

/** Guards against grants that are revoked for good by an evacuation. */
TEST_F(RangeServerEvacuationTest, End_BeforeTheServerHasHeard_KeepsItsKeys)
{
  JoinWithKeys();
  Evacuate();
  End();
  EXPECT_EQ(Granted(Heartbeat()).size(), 1U);
}

/** Guards against an end of the evacuation that takes back a leave. */
TEST_F(RangeServerEvacuationTest, OnLeave_DuringAnEvacuation_OutlastsIt)
{
  JoinWithKeys();
  Evacuate();
  m_server.OnLeave({ ServerId("server-a") });
  End();
  EXPECT_TRUE(Granted(Heartbeat()).empty());
  EXPECT_EQ(Published().state, ServerState::kDraining);
  EXPECT_TRUE(Published().leaving);
}

}
