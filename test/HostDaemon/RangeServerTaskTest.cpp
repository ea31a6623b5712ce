#include <gtest/gtest.h>

#include "src/HostDaemon/RangeServerTask.h"
#include "test/HostDaemon/FakeStore.h"
#include "test/HostDaemon/UnusedDialect.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** A daemon that starts while its backend server is already running. */
class RangeServerTaskTest : public ::testing::Test
{
protected:
  RangeServerTaskTest()
    : m_store(m_base.get(), m_topic)
    , m_state(m_base.get(), m_clock, m_logger, m_store, RecordOf("a"))
    , m_server(m_base.get(),
               m_clock,
               RangeServerSettings{ .endpoint = { "127.0.0.1", 1 },
                                    .service = kOrders },
               m_state,
               m_dialect,
               m_logger,
               m_metrics)
  {
    m_state.AddListener(m_server);
    // Written by the previous process of the daemon.
    m_topic.Append({ EncodeHost(RecordOf("a")) }, WriterPosition{ "a", 1, 0 });
  }

  void Join()
  {
    m_state.Start();
    const timeval wait{ 0, 60000 };
    event_base_loopexit(m_base.get(), &wait);
    event_base_dispatch(m_base.get());
  }

  struct BaseDeleter
  {
    void operator()(event_base* aBase) const { event_base_free(aBase); }
  };

  std::unique_ptr<event_base, BaseDeleter> m_base{ event_base_new() };
  SystemClock m_clock;
  Logger m_logger{ "test", LogLevel::kError };
  Metrics m_metrics;
  UnusedDialect m_dialect;
  FakeTopic m_topic;
  FakeStore m_store;
  StateTask<FakeStore> m_state;
  RangeServerTask m_server;
};

TEST_F(RangeServerTaskTest, Join_ServerKeptRunning_IsReady)
{
  Join();
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kReady);
}

/**
 * A daemon that was started again acknowledges the leave of its backend server
 * before it has read which one that is. The server was in use again afterwards.
 */
TEST_F(RangeServerTaskTest, OnLeave_BeforeTheDaemonHasJoined_IsRemembered)
{
  m_server.OnLeave(ServerId("server-a"));
  Join();
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kDraining);
}

TEST_F(RangeServerTaskTest, OnHeartbeat_DrainingBeforeJoined_IsRemembered)
{
  ServerHeartbeat heartbeat;
  heartbeat.incarnation = IncarnationOf("server-a");
  heartbeat.service = kOrders;
  heartbeat.state = ServerState::kDraining;
  heartbeat.sequence = 1;
  EXPECT_FALSE(m_server.OnHeartbeat(heartbeat).renews);
  Join();
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kDraining);
}

TEST_F(RangeServerTaskTest, OnLeave_OfAnotherServer_ChangesNothing)
{
  m_server.OnLeave(ServerId("server-b"));
  Join();
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kReady);
}

}
