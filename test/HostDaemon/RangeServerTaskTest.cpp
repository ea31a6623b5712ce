#include <gtest/gtest.h>

#include "src/HostDaemon/RangeServerTask.h"
#include "test/HostDaemon/FakeStore.h"
#include "test/HostDaemon/UnusedDialect.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

const Endpoint kServerAddress{ "127.0.0.1", 1 };

/** A daemon that starts while its backend server is already running. */
class RangeServerTaskTest : public ::testing::Test
{
protected:
  RangeServerTaskTest()
    : m_store(m_base.get(), m_topic)
    , m_state(m_base.get(), m_clock, m_logger, m_store, RecordOf("a"))
    , m_server(
        m_base.get(),
        m_clock,
        RangeServerSettings{ .endpoint = kServerAddress, .service = kOrders },
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
    Run(milliseconds(60));
  }

  void Run(Duration aFor)
  {
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(aFor).count();
    const timeval wait{ micros / 1000000,
                        static_cast<suseconds_t>(micros % 1000000) };
    event_base_loopexit(m_base.get(), &wait);
    event_base_dispatch(m_base.get());
  }

  static ServerHeartbeat Heartbeat(const std::string& aServer,
                                   int64_t aStartedAt = 1000)
  {
    ServerHeartbeat heartbeat;
    heartbeat.address = kServerAddress;
    heartbeat.incarnation = IncarnationOf(aServer, aStartedAt);
    heartbeat.service = kOrders;
    heartbeat.slots = 9;
    heartbeat.sequence = 1;
    return heartbeat;
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
  m_server.OnLeave({ ServerId("server-a") });
  Join();
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kDraining);
}

TEST_F(RangeServerTaskTest, OnHeartbeat_DrainingBeforeJoined_IsRemembered)
{
  auto heartbeat = Heartbeat("server-a");
  heartbeat.state = ServerState::kDraining;
  EXPECT_FALSE(m_server.OnHeartbeat(heartbeat)->renews);
  Join();
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kDraining);
}

TEST_F(RangeServerTaskTest, OnLeave_OfAnotherServer_ChangesNothing)
{
  m_server.OnLeave({ ServerId("server-b") });
  Join();
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kReady);
}

/** A leave that arrives late is not that of a later start under the same id. */
TEST_F(RangeServerTaskTest, OnLeave_OfAnEarlierIncarnation_ChangesNothing)
{
  Join();
  m_server.OnLeave({ ServerId("server-a"), WallTime(milliseconds(999)) });
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kReady);
  m_server.OnLeave({ ServerId("server-a"), WallTime(milliseconds(1000)) });
  EXPECT_EQ(m_state.OwnRecord().server->state, ServerState::kDraining);
}

/**
 * Guards against a heartbeat of another writer that replaces the running
 * server: its keys went to other hosts while it still held them.
 */
TEST_F(RangeServerTaskTest, OnHeartbeat_FromAnotherAddress_ReplacesNothing)
{
  Join();
  ASSERT_TRUE(m_server.OnHeartbeat(Heartbeat("server-a")));
  for (const auto& address :
       { Endpoint{}, Endpoint{ "127.0.0.1", 2 }, Endpoint{ "127.0.0.2", 1 } }) {
    auto other = Heartbeat("server-other", 5000);
    other.address = address;
    EXPECT_FALSE(m_server.OnHeartbeat(other));
    other.state = ServerState::kDraining;
    EXPECT_FALSE(m_server.OnHeartbeat(other));
  }
  auto other = Heartbeat("server-other", 5000);
  other.service = ServiceName("unknown");
  EXPECT_FALSE(m_server.OnHeartbeat(other));
  const auto& server = m_state.OwnRecord().server;
  EXPECT_EQ(server->incarnation, IncarnationOf("server-a"));
  EXPECT_EQ(server->state, ServerState::kReady);
  // The running server is not stale either.
  auto next = Heartbeat("server-a");
  next.sequence = 2;
  EXPECT_TRUE(m_server.OnHeartbeat(next)->renews);
}

/** Neither does such a heartbeat keep a silent server in use. */
TEST_F(RangeServerTaskTest, OnHeartbeat_FromAnotherAddress_IsNoSignOfLife)
{
  Join();
  for (int tick = 0; tick < 40; ++tick) {
    auto other = Heartbeat("server-a");
    other.address.port = 2;
    other.sequence = tick + 1;
    EXPECT_FALSE(m_server.OnHeartbeat(other));
    Run(milliseconds(100));
  }
  EXPECT_NE(m_state.OwnRecord().server->state, ServerState::kReady);
}

}
