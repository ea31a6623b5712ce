#include <functional>
#include <memory>
#include <optional>
#include <tuple>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>
#include <gtest/gtest.h>

#include "Pistachioshift/Inner"
#include "src/Inner/SocketAddress.h"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;

constexpr Duration kTestTimeout = 20s;

/** \brief Counts the frames and stores the close reason of a connection. */
class RecordingListener : public ConnectionListener
{
public:
  void OnFrame(Connection&, Frame) override { ++frames; }
  void OnDrained(Connection&) override {}
  void OnClosed(Connection&, CloseReason aReason) override { end = aReason; }

  int frames = 0;
  std::optional<CloseReason> end;
};

/** \brief Provides a listening socket whose connections are not read unless a
 * test accepts them. */
class ConnectionTest : public ::testing::Test
{
protected:
  ConnectionTest()
    : m_base(event_base_new())
    , m_listeningSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    auto address = internal::ToSocketAddress({ "127.0.0.1", 0 });
    EXPECT_EQ(bind(m_listeningSocket, address.Get(), address.Length()), 0);
    socklen_t length = address.Length();
    getsockname(m_listeningSocket, address.Get(), &length);
    m_peer = internal::ToEndpoint(address);
  }

  ~ConnectionTest() override
  {
    m_connection.reset();
    event_base_free(m_base);
    close(m_listeningSocket);
    for (const int socketFd : m_sockets) {
      close(socketFd);
    }
  }

  void Connect()
  {
    m_connection = Connection::Connect(
      m_base, m_clock, m_peer, ConnectionSettings(), m_listener);
  }

  /** \brief Creates m_connection on one end of a socket pair.
   * \return the other end */
  int ConnectPair()
  {
    int ends[2];
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends), 0);
    evutil_make_socket_nonblocking(ends[0]);
    m_connection = Connection::Accept(
      m_base, m_clock, ends[0], ConnectionSettings(), m_listener);
    m_sockets.push_back(ends[1]);
    return ends[1];
  }

  /** \brief Fills the accept queue of the listening socket. */
  void FillBacklog()
  {
    const auto address = internal::ToSocketAddress(m_peer);
    for (int count = 0; count < 8; ++count) {
      const int socketFd =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      // Connections beyond the queue's capacity stay in progress.
      std::ignore = connect(socketFd, address.Get(), address.Length());
      m_sockets.push_back(socketFd);
    }
  }

  bool RunUntil(const std::function<bool()>& aDone)
  {
    const auto until = m_clock.Now() + kTestTimeout;
    while (!aDone() && m_clock.Now() < until) {
      const auto slice = internal::ToTimeval(10ms);
      event_base_loopexit(m_base, &slice);
      event_base_dispatch(m_base);
    }
    return aDone();
  }

  bool RunUntilEnd()
  {
    return RunUntil([this] { return m_listener->end.has_value(); });
  }

  SystemClock m_clock;
  event_base* m_base;
  int m_listeningSocket;
  Endpoint m_peer;
  std::vector<int> m_sockets;
  std::shared_ptr<RecordingListener> m_listener =
    std::make_shared<RecordingListener>();
  std::shared_ptr<Connection> m_connection;
};

TEST_F(ConnectionTest, Heartbeat_PeerNeverAnswers_EndsWithTimeout)
{
  listen(m_listeningSocket, 8);
  Connect();
  ASSERT_TRUE(RunUntil([this] { return m_connection->Connected(); }));
  m_connection->SetHeartbeatsEnabled(true);
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kHeartbeatTimeout);
}

TEST_F(ConnectionTest, Heartbeat_EnabledBeforeConnected_EndsWithTimeout)
{
  listen(m_listeningSocket, 8);
  Connect();
  m_connection->SetHeartbeatsEnabled(true);
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kHeartbeatTimeout);
}

TEST_F(ConnectionTest, Heartbeat_PeerAnswers_StaysOpen)
{
  listen(m_listeningSocket, 8);
  Connect();
  m_connection->SetHeartbeatsEnabled(true);
  auto other = std::make_shared<RecordingListener>();
  const int socketFd =
    accept4(m_listeningSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  const auto peer =
    Connection::Accept(m_base, m_clock, socketFd, ConnectionSettings(), other);
  // Each heartbeat interval brings one pong. The test waits for more than
  // the number of heartbeats that may be missed.
  ASSERT_TRUE(RunUntil([this] { return m_listener->frames >= 4; }));
  EXPECT_FALSE(m_listener->end);
}

TEST_F(ConnectionTest, Connect_PeerRefuses_EndsAsConnectFailed)
{
  Connect();
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kConnectFailed);
}

TEST_F(ConnectionTest, Connect_PeerDoesNotAccept_EndsAsConnectFailed)
{
  listen(m_listeningSocket, 0);
  FillBacklog();
  Connect();
  m_connection->Send(Ping{ 1 });
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kConnectFailed);
}

TEST_F(ConnectionTest, Frame_TooLong_EndsAsMalformedBeforeItIsRead)
{
  const int peer = ConnectPair();
  const uint32_t length = htonl(static_cast<uint32_t>(kMaxFrameBytes) + 1);
  ASSERT_EQ(write(peer, &length, sizeof length), sizeof length);
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kMalformed);
}

TEST_F(ConnectionTest, Frame_Garbage_EndsAsMalformed)
{
  const int peer = ConnectPair();
  const std::string bytes = std::string("\0\0\0\x08", 4) + "garbage!";
  ASSERT_EQ(write(peer, bytes.data(), bytes.size()),
            static_cast<ssize_t>(bytes.size()));
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kMalformed);
  EXPECT_EQ(m_listener->frames, 0);
}

TEST_F(ConnectionTest, Frame_Truncated_IsNotDelivered)
{
  const int peer = ConnectPair();
  const auto frame = EncodeFrame(Pong{ 1, TablePosition() });
  const auto truncatedSize = frame.size() - 1;
  ASSERT_EQ(write(peer, frame.data(), truncatedSize),
            static_cast<ssize_t>(truncatedSize));
  shutdown(peer, SHUT_WR);
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kClosed);
  EXPECT_EQ(m_listener->frames, 0);
}

}
}
