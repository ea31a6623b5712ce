#include <gtest/gtest.h>

#include <netinet/in.h>

#include <event2/event.h>
#include <event2/listener.h>

#include "src/HostDaemon/UpdateBroadcaster.h"
#include "test/HostDaemon/FakeStore.h"
#include "test/HostDaemon/UnusedDialect.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** A host whose coordinator is a socket that counts connections. */
class UpdateBroadcasterTest : public ::testing::Test
{
protected:
  UpdateBroadcasterTest()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_listener.reset(evconnlistener_new_bind(
      m_base.get(),
      [](
        evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
        static_cast<UpdateBroadcasterTest*>(aSelf)->m_connections += 1;
        evutil_closesocket(aSocket);
      },
      this,
      LEV_OPT_CLOSE_ON_FREE,
      -1,
      reinterpret_cast<sockaddr*>(&address), // NOLINT
      sizeof(address)));
    socklen_t length = sizeof(address);
    getsockname(evconnlistener_get_fd(m_listener.get()),
                reinterpret_cast<sockaddr*>(&address), // NOLINT
                &length);
    auto first = RecordOf("first");
    first.cpuMillis = 500;
    first.inner = Endpoint{ "127.0.0.1", ntohs(address.sin_port) };
    m_topic.Append({ EncodeHost(first) }, WriterPosition{ "first", 1, 0 });
    m_state.Start();
    Run(milliseconds(30));
  }

  void Run(Duration aFor)
  {
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(aFor).count();
    const timeval wait{ 0, static_cast<suseconds_t>(micros) };
    event_base_loopexit(m_base.get(), &wait);
    event_base_dispatch(m_base.get());
  }

  static StoreRecords OneRecord(int64_t aEnd)
  {
    return StoreRecords{ { StoreEntry{ "config", "{}", aEnd - 1 } },
                         aEnd,
                         aEnd };
  }

  struct Deleter
  {
    void operator()(event_base* aBase) const { event_base_free(aBase); }
    void operator()(evconnlistener* aListener) const
    {
      evconnlistener_free(aListener);
    }
  };

  std::unique_ptr<event_base, Deleter> m_base{ event_base_new() };
  std::unique_ptr<evconnlistener, Deleter> m_listener;
  SystemClock m_clock;
  Logger m_logger{ "test", LogLevel::kError };
  Metrics m_metrics;
  UnusedDialect m_dialect;
  RandomEngine m_random{ 1 };
  FakeTopic m_topic;
  FakeStore m_store{ m_base.get(), m_topic };
  StateTask<FakeStore> m_state{ m_base.get(),
                                m_clock,
                                m_logger,
                                m_store,
                                RecordOf("a") };
  RangeServerTask m_server{ m_base.get(),
                            m_clock,
                            RangeServerSettings{ .endpoint = { "127.0.0.1", 1 },
                                                 .service = kOrders },
                            m_state,
                            m_dialect,
                            m_logger,
                            m_metrics };
  PeersTask m_peers{ m_base.get(), m_clock, BootId(1), m_logger, m_metrics };
  CoordinatorTask m_coordinator{ m_base.get(), m_clock, m_state,
                                 m_server,     m_peers, m_logger };
  UpdateBroadcaster m_broadcaster{ m_base.get(),  m_clock, m_state,
                                   m_coordinator, m_peers, m_random };
  int m_connections = 0;
};

TEST_F(UpdateBroadcasterTest, BroadcastConfiguration_OnlyReader_SendsIt)
{
  m_broadcaster.BroadcastConfiguration(OneRecord(3));
  Run(milliseconds(350));
  EXPECT_GE(m_connections, 1);
}

/**
 * In the pattern ManyReaders all hosts read a configuration at the same moment;
 * a coordinator on a small link must not receive it from each of them.
 */
TEST_F(UpdateBroadcasterTest, BroadcastConfiguration_ArrivesMeanwhile_IsNotSent)
{
  m_broadcaster.BroadcastConfiguration(OneRecord(3));
  m_broadcaster.OnConfigurationReceived({ StoreEra(), 3 });
  Run(milliseconds(350));
  EXPECT_EQ(m_connections, 0);
}

TEST_F(UpdateBroadcasterTest, BroadcastConfiguration_OlderOneArrives_SendsIt)
{
  m_broadcaster.BroadcastConfiguration(OneRecord(3));
  m_broadcaster.OnConfigurationReceived({ StoreEra(), 2 });
  Run(milliseconds(350));
  EXPECT_GE(m_connections, 1);
}

}
