#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
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
  void OnFrame(Connection&, Frame) override
  {
    if (throws) {
      throw std::out_of_range("no such key");
    }
    ++frames;
  }
  void OnError(Connection&, std::string_view aProblem) override
  {
    problem = aProblem;
  }
  void OnDrained(Connection&) override {}
  void OnClosed(Connection&, CloseReason aReason) override { end = aReason; }

  int frames = 0;
  bool throws = false;
  std::string problem;
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

  /** \brief Creates m_connection with a queued frame and a connect timeout
   * that is due before the event loop runs.
   * \return the other end, which is established */
  int ConnectLate()
  {
    listen(m_listeningSocket, 8);
    ConnectionSettings settings;
    settings.connectTimeout = 1ms;
    m_connection =
      Connection::Connect(m_base, m_clock, m_peer, settings, m_listener);
    m_connection->Send(Ping{ 1 });
    m_sockets.push_back(
      accept4(m_listeningSocket, nullptr, nullptr, SOCK_CLOEXEC));
    std::this_thread::sleep_for(50ms);
    return m_sockets.back();
  }

  /** \brief Creates m_connection on one end of a socket pair.
   * \return the other end */
  int ConnectPair(const ConnectionSettings& aSettings = {})
  {
    int ends[2];
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends), 0);
    evutil_make_socket_nonblocking(ends[0]);
    m_connection =
      Connection::Accept(m_base, m_clock, ends[0], aSettings, m_listener);
    m_sockets.push_back(ends[1]);
    return ends[1];
  }

  /** \brief Creates m_connection on one end of a TCP connection.
   * \return the other end, which takes few bytes that were not read */
  int ConnectTcp()
  {
    const int window = 4096;
    const int other = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(other, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    listen(m_listeningSocket, 8);
    const auto address = internal::ToSocketAddress(m_peer);
    EXPECT_EQ(connect(other, address.Get(), address.Length()), 0);
    const int accepted = accept4(
      m_listeningSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    m_connection = Connection::Accept(
      m_base, m_clock, accepted, ConnectionSettings(), m_listener);
    m_sockets.push_back(other);
    return other;
  }

  /** \brief Writes frames to the other end of m_connection. */
  static void WriteFrames(int aSocket, const Frame& aFrame, int aCount)
  {
    std::string bytes;
    for (int count = 0; count < aCount; ++count) {
      bytes += EncodeFrame(aFrame);
    }
    EXPECT_EQ(write(aSocket, bytes.data(), bytes.size()),
              static_cast<ssize_t>(bytes.size()));
  }

  /** \brief Bytes that arrive at a socket until its connection ends. */
  static size_t ReadAll(int aSocket)
  {
    const timeval patience{ 10, 0 };
    setsockopt(aSocket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    std::array<char, 16384> part{};
    size_t bytes = 0;
    for (;;) {
      const auto count = read(aSocket, part.data(), part.size());
      if (count <= 0) {
        return bytes;
      }
      bytes += static_cast<size_t>(count);
    }
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
  std::array<char, 64> m_bytes{}; ///< Read by a test.
  std::shared_ptr<RecordingListener> m_listener =
    std::make_shared<RecordingListener>();
  std::shared_ptr<Connection> m_connection;
};

TEST_F(ConnectionTest, OnFrame_Throws_OnlyItsConnectionEnds)
{
  const int other = ConnectPair();
  m_listener->throws = true;
  WriteFrames(other, Goodbye{}, 2);
  ASSERT_TRUE(RunUntil([&] { return m_listener->end.has_value(); }));
  EXPECT_EQ(m_listener->end, CloseReason::kInternalError);
  EXPECT_EQ(m_listener->problem, "no such key");
}

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

/** Each request used to cost a ping and a pong, however short it was. */
TEST_F(ConnectionTest, Heartbeat_NotAtOnce_ShortRequestSendsNoPing)
{
  ConnectionSettings settings;
  settings.heartbeatInterval = 100ms;
  settings.pingsAtOnce = false;
  const int other = ConnectPair(settings);
  evutil_make_socket_nonblocking(other);
  m_connection->SetHeartbeatsEnabled(true);
  const auto soon = m_clock.Now() + 20ms;
  RunUntil([&] { return m_clock.Now() >= soon; });
  m_connection->SetHeartbeatsEnabled(false);
  std::array<char, 64> bytes{};
  EXPECT_LT(read(other, bytes.data(), bytes.size()), 0);
  m_connection->SetHeartbeatsEnabled(true);
  EXPECT_TRUE(RunUntil([&] { return m_listener->end.has_value(); }));
  EXPECT_EQ(m_listener->end, CloseReason::kHeartbeatTimeout);
  EXPECT_GT(read(other, bytes.data(), bytes.size()), 0);
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

// Guards against "no queued frame was sent" for a connection whose connect
// timeout is due in the round of the event loop that writes its frames: the
// requests in them run, and their callers were told that they don't.
TEST_F(ConnectionTest, Connect_TimeoutDueInTheRoundThatWrites_StaysOpen)
{
  const int peer = ConnectLate();
  RunUntil([this] { return m_connection->Connected() || m_listener->end; });
  ASSERT_GT(recv(peer, m_bytes.data(), m_bytes.size(), MSG_DONTWAIT), 0);
  EXPECT_TRUE(m_connection->Connected());
  EXPECT_FALSE(m_listener->end) << ToString(*m_listener->end);
}

// The same, when the peer has closed too by then.
TEST_F(ConnectionTest, Connect_PeerClosesInTheRoundThatWrites_EndsAsClosed)
{
  const int peer = ConnectLate();
  shutdown(peer, SHUT_WR);
  ASSERT_TRUE(RunUntilEnd());
  ASSERT_GT(recv(peer, m_bytes.data(), m_bytes.size(), MSG_DONTWAIT), 0);
  EXPECT_EQ(m_listener->end, CloseReason::kClosed);
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

// Guards against an answer that arrived whole, followed by the peer's planned
// exit, being taken for a truncated one while other connections are busy too.
TEST_F(ConnectionTest, Close_ManyFramesArrivedBefore_AllAreDelivered)
{
  constexpr int kFrames = 1000;
  constexpr int kConnections = 60;
  std::vector<std::shared_ptr<Connection>> connections;
  std::vector<std::shared_ptr<RecordingListener>> listeners;
  for (int count = 0; count < kConnections; ++count) {
    m_listener = std::make_shared<RecordingListener>();
    const int peer = ConnectPair();
    WriteFrames(peer, Pong{ 1, TablePosition() }, kFrames);
    shutdown(peer, SHUT_WR);
    connections.push_back(m_connection);
    listeners.push_back(m_listener);
  }
  for (const auto& listener : listeners) {
    ASSERT_TRUE(RunUntil([&] { return listener->end.has_value(); }));
    EXPECT_EQ(listener->end, CloseReason::kClosed);
    EXPECT_EQ(listener->frames, kFrames);
  }
}

// Guards against the loss of frames that wait in the socket when the peer has
// closed and a frame to it can't be sent any more.
TEST_F(ConnectionTest, Send_PeerHasReset_FramesArrivedBeforeAreDelivered)
{
  constexpr int kFrames = 40;
  const int peer = ConnectTcp();
  WriteFrames(
    peer, BodyChunk{ StreamId(1), std::string(1024, 'a'), false }, kFrames);
  const linger reset{ 1, 0 };
  setsockopt(peer, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close(peer);
  m_sockets.pop_back();
  m_connection->Send(Pong{ 1, TablePosition() });
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kClosed);
  EXPECT_EQ(m_listener->frames, kFrames);
}

// Guards against the loss of frames that the peer has not taken yet when this
// end closes with input unread, which resets the connection.
TEST_F(ConnectionTest, FinishSending_InputUnread_PeerGetsAllFrames)
{
  const int peer = ConnectTcp();
  const auto frame = BodyChunk{ StreamId(1), std::string(300'000, 'a'), true };
  m_connection->Send(frame);
  ASSERT_TRUE(RunUntil([this] { return m_connection->BufferedBytes() == 0; }));
  WriteFrames(peer, Pong{ 1, TablePosition() }, 1);
  m_connection->FinishSending();
  EXPECT_EQ(ReadAll(peer), EncodeFrame(frame).size());
  EXPECT_FALSE(m_listener->end);
  shutdown(peer, SHUT_WR);
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kClosed);
  EXPECT_EQ(m_listener->frames, 0);
}

// Guards against an end of the sending direction before the queued frames, and
// against a peer that doesn't close although it has received everything.
TEST_F(ConnectionTest, FinishSending_FramesQueued_PeerGetsThemAndCloses)
{
  constexpr int kFrames = 100;
  listen(m_listeningSocket, 8);
  Connect();
  ASSERT_TRUE(RunUntil([this] { return m_connection->Connected(); }));
  const auto other = std::make_shared<RecordingListener>();
  const int socketFd =
    accept4(m_listeningSocket, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  const auto sender =
    Connection::Accept(m_base, m_clock, socketFd, ConnectionSettings(), other);
  for (int count = 0; count < kFrames; ++count) {
    sender->Send(BodyChunk{ StreamId(1), std::string(100'000, 'a'), false });
  }
  sender->FinishSending();
  sender->Send(Pong{ 1, TablePosition() });
  EXPECT_GT(sender->BufferedBytes(), 0U);
  ASSERT_TRUE(RunUntil([&] { return other->end.has_value(); }));
  EXPECT_EQ(other->end, CloseReason::kClosed);
  EXPECT_EQ(m_listener->end, CloseReason::kClosed);
  EXPECT_EQ(m_listener->frames, kFrames);
}

/** \brief Two connected ends, which may state in Hello what they read. */
class CompressedConnectionTest : public ConnectionTest
{
protected:
  static constexpr int kFrames = 200;

  CompressedConnectionTest() { m_settings.byteTotals = m_totals; }

  ~CompressedConnectionTest() override { m_other.reset(); }

  void ConnectEnds()
  {
    int ends[2];
    ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends), 0);
    evutil_make_socket_nonblocking(ends[0]);
    evutil_make_socket_nonblocking(ends[1]);
    m_connection =
      Connection::Accept(m_base, m_clock, ends[0], m_settings, m_listener);
    m_other = Connection::Accept(
      m_base, m_clock, ends[1], ConnectionSettings(), m_otherListener);
  }

  /** \brief Both ends state the form that they read. */
  bool ExchangeHellos(int32_t aOwnForm, int32_t aOtherForm)
  {
    m_connection->Send(Hello{ .compression = aOwnForm });
    m_other->Send(Hello{ .compression = aOtherForm });
    return RunUntil([this] {
      return m_listener->frames == 1 && m_otherListener->frames == 1;
    });
  }

  static Frame Answer()
  {
    ResponseOpen open;
    open.head.status = 200;
    open.head.headers.Add("Content-Type", "application/json");
    open.head.headers.Add("Cache-Control", "no-store");
    return open;
  }

  void SendFrames()
  {
    for (int count = 0; count < kFrames; ++count) {
      m_connection->Send(Answer());
    }
  }

  ConnectionSettings m_settings;
  std::shared_ptr<FrameByteTotals> m_totals =
    std::make_shared<FrameByteTotals>();
  std::shared_ptr<RecordingListener> m_otherListener =
    std::make_shared<RecordingListener>();
  std::shared_ptr<Connection> m_other;
};

TEST_F(CompressedConnectionTest, Send_BothEndsReadIt_FewerBytesAllFrames)
{
  ConnectEnds();
  ASSERT_TRUE(ExchangeHellos(kDeflateBlocks, kDeflateBlocks));
  SendFrames();
  EXPECT_GT(m_connection->BufferedBytes(), 0U);
  m_other->Send(Answer());
  ASSERT_TRUE(RunUntil([this] {
    return m_otherListener->frames == 1 + kFrames && m_listener->frames == 2;
  }));
  EXPECT_EQ(m_connection->BufferedBytes(), 0U);
  const auto size = EncodeFrame(Answer()).size();
  EXPECT_EQ(m_totals->sentFrames, kFrames * size);
  EXPECT_LT(2 * m_totals->sentWire, m_totals->sentFrames);
  EXPECT_EQ(m_totals->receivedFrames, size);
  EXPECT_GT(m_totals->receivedWire, 0U);
}

// Guards against a daemon of an earlier version that gets blocks or loses
// frames, whichever end it is.
TEST_F(CompressedConnectionTest, Send_OneEndDoesNotReadIt_FramesAreSentAsBefore)
{
  for (const bool ownReads : { true, false }) {
    ConnectEnds();
    m_listener->frames = 0;
    m_otherListener->frames = 0;
    ASSERT_TRUE(ExchangeHellos(ownReads ? kDeflateBlocks : 0,
                               ownReads ? 0 : kDeflateBlocks));
    SendFrames();
    m_other->Send(Answer());
    ASSERT_TRUE(RunUntil([this] {
      return m_otherListener->frames == 1 + kFrames && m_listener->frames == 2;
    }));
    EXPECT_EQ(m_totals->sentWire, 0U);
    EXPECT_EQ(m_totals->receivedWire, 0U);
  }
}

// Guards against frames that still wait for their batch when a daemon stops.
TEST_F(CompressedConnectionTest, FinishSending_FramesWait_PeerGetsThem)
{
  ConnectEnds();
  ASSERT_TRUE(ExchangeHellos(kDeflateBlocks, kDeflateBlocks));
  SendFrames();
  m_connection->Send(Goodbye{});
  m_connection->FinishSending();
  ASSERT_TRUE(RunUntil([this] { return m_otherListener->end.has_value(); }));
  EXPECT_EQ(m_otherListener->end, CloseReason::kClosed);
  EXPECT_EQ(m_otherListener->frames, 2 + kFrames);
}

TEST_F(CompressedConnectionTest, Block_ThatWasNotOffered_EndsAsMalformed)
{
  const int peer = ConnectPair();
  internal::BlockDeflater deflater;
  const auto block = deflater.Deflate(EncodeFrame(Answer()));
  ASSERT_EQ(write(peer, block.data(), block.size()),
            static_cast<ssize_t>(block.size()));
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kMalformed);
  EXPECT_EQ(m_listener->frames, 0);
}

TEST_F(CompressedConnectionTest, Block_Damaged_EndsAsMalformed)
{
  const int peer = ConnectPair();
  m_connection->Send(Hello{ .compression = kDeflateBlocks });
  WriteFrames(peer, Hello{ .compression = kDeflateBlocks }, 1);
  internal::BlockDeflater deflater;
  auto block = deflater.Deflate(EncodeFrame(Answer()));
  // Block type 3 of the deflate format is invalid.
  block.at(kFrameLengthBytes) = '\x07';
  ASSERT_EQ(write(peer, block.data(), block.size()),
            static_cast<ssize_t>(block.size()));
  ASSERT_TRUE(RunUntilEnd());
  EXPECT_EQ(m_listener->end, CloseReason::kMalformed);
  EXPECT_EQ(m_listener->frames, 1);
}

}
}
