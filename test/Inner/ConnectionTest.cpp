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

constexpr Duration kPatience = 20s;

/** \brief Notes what a connection reports. */
class Recorder : public ConnectionListener
{
public:
  void OnFrame(Connection&, Frame) override { ++frames; }
  void OnDrained(Connection&) override {}
  void OnClosed(Connection&, CloseReason aEnd) override { end = aEnd; }

  int frames = 0;
  std::optional<CloseReason> end;
};

/** \brief A listening socket that is never read; an unread peer. */
class ConnectionTest : public ::testing::Test
{
protected:
  ConnectionTest()
    : m_base(event_base_new())
    , m_listening(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    auto address = internal::ToSocketAddress({ "127.0.0.1", 0 });
    EXPECT_EQ(bind(m_listening, address.Get(), address.Length()), 0);
    socklen_t length = address.Length();
    getsockname(m_listening, address.Get(), &length);
    m_peer = internal::ToEndpoint(address);
  }

  ~ConnectionTest() override
  {
    m_connection.reset();
    event_base_free(m_base);
    close(m_listening);
    for (const int one : m_sockets) {
      close(one);
    }
  }

  void Connect()
  {
    m_connection = Connection::Connect(
      m_base, m_clock, m_peer, ConnectionSettings(), m_recorder);
  }

  /** \brief Accepts one end of a pair. \return the other one. */
  int AcceptPair()
  {
    int ends[2];
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends), 0);
    evutil_make_socket_nonblocking(ends[0]);
    m_connection = Connection::Accept(
      m_base, m_clock, ends[0], ConnectionSettings(), m_recorder);
    m_sockets.push_back(ends[1]);
    return ends[1];
  }

  /** \brief Fills the queue of connections that wait to be accepted. */
  void FillBacklog()
  {
    const auto address = internal::ToSocketAddress(m_peer);
    for (int count = 0; count < 8; ++count) {
      const int one =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      // Those that don't fit stay in progress.
      std::ignore = connect(one, address.Get(), address.Length());
      m_sockets.push_back(one);
    }
  }

  bool RunUntil(const std::function<bool()>& aDone)
  {
    const auto until = m_clock.Now() + kPatience;
    while (!aDone() && m_clock.Now() < until) {
      const auto slice = internal::ToTimeval(10ms);
      event_base_loopexit(m_base, &slice);
      event_base_dispatch(m_base);
    }
    return aDone();
  }

  bool RunUntilEnd()
  {
    return RunUntil([this] { return m_recorder->end.has_value(); });
  }

  SystemClock m_clock;
  event_base* m_base;
  int m_listening;
  Endpoint m_peer;
  std::vector<int> m_sockets;
  std::shared_ptr<Recorder> m_recorder = std::make_shared<Recorder>();
  std::shared_ptr<Connection> m_connection;
};

TEST_F(ConnectionTest, Busy_PeerNeverAnswers_EndsAsSilent)
{
  listen(m_listening, 8);
  Connect();
  ASSERT_TRUE(RunUntil([this] { return m_connection->Connected(); }));
  m_connection->SetHeartbeatsEnabled(true);
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_recorder->end, CloseReason::kHeartbeatTimeout);
}

TEST_F(ConnectionTest, Busy_BeforeConnected_EndsAsSilentToo)
{
  listen(m_listening, 8);
  Connect();
  m_connection->SetHeartbeatsEnabled(true);
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_recorder->end, CloseReason::kHeartbeatTimeout);
}

TEST_F(ConnectionTest, Busy_PeerAnswers_StaysOpen)
{
  listen(m_listening, 8);
  Connect();
  m_connection->SetHeartbeatsEnabled(true);
  auto other = std::make_shared<Recorder>();
  const int one =
    accept4(m_listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  const auto peer =
    Connection::Accept(m_base, m_clock, one, ConnectionSettings(), other);
  // A ping and a pong an interval; more of them than may be missed.
  ASSERT_TRUE(RunUntil([this] { return m_recorder->frames >= 4; }));
  EXPECT_FALSE(m_recorder->end);
}

TEST_F(ConnectionTest, Connect_PeerRefuses_EndsAsNotConnected)
{
  Connect();
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_recorder->end, CloseReason::kConnectFailed);
}

TEST_F(ConnectionTest, Connect_PeerDoesNotAccept_EndsAsNotConnected)
{
  listen(m_listening, 0);
  FillBacklog();
  Connect();
  m_connection->Send(Ping{ 1 });
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_recorder->end, CloseReason::kConnectFailed);
}

TEST_F(ConnectionTest, Frame_TooLong_EndsAsMalformedBeforeItIsRead)
{
  const int peer = AcceptPair();
  const uint32_t length = htonl(static_cast<uint32_t>(kMaxFrameBytes) + 1);
  ASSERT_EQ(write(peer, &length, sizeof length), sizeof length);
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_recorder->end, CloseReason::kMalformed);
}

TEST_F(ConnectionTest, Frame_Garbage_EndsAsMalformed)
{
  const int peer = AcceptPair();
  const std::string bytes = std::string("\0\0\0\x08", 4) + "garbage!";
  ASSERT_EQ(write(peer, bytes.data(), bytes.size()),
            static_cast<ssize_t>(bytes.size()));
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_recorder->end, CloseReason::kMalformed);
  EXPECT_EQ(m_recorder->frames, 0);
}

TEST_F(ConnectionTest, Frame_Truncated_IsNotHandedOver)
{
  const int peer = AcceptPair();
  const auto frame = EncodeFrame(Pong{ 1, TablePosition() });
  const auto cut = frame.size() - 1;
  ASSERT_EQ(write(peer, frame.data(), cut), static_cast<ssize_t>(cut));
  shutdown(peer, SHUT_WR);
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_recorder->end, CloseReason::kClosed);
  EXPECT_EQ(m_recorder->frames, 0);
}

}
}
