#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "test/Http/LoopbackSupport.h"

namespace pistachioshift::test {
namespace {

/** More than both sockets of a connection hold. */
constexpr size_t kMoreThanSockets = size_t{ 64 } * 1024 * 1024;

/** A peer whose connections are established, but never accepted or read. */
class UnreadPeer
{
public:
  UnreadPeer()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    socklen_t length = sizeof(address);
    EXPECT_EQ(bind(m_socket, generic, length), 0);
    EXPECT_EQ(listen(m_socket, 1), 0);
    EXPECT_EQ(getsockname(m_socket, generic, &length), 0);
    m_endpoint = { "127.0.0.1", ntohs(address.sin_port) };
  }
  ~UnreadPeer() { ResetAndLeave(); }
  UnreadPeer(const UnreadPeer&) = delete;
  UnreadPeer& operator=(const UnreadPeer&) = delete;

  /** Resets the connections; further ones are refused. */
  void ResetAndLeave()
  {
    if (m_socket >= 0) {
      close(m_socket);
      m_socket = -1;
    }
  }

  const Endpoint& Address() const { return m_endpoint; }

private:
  int m_socket = socket(AF_INET, SOCK_STREAM, 0);
  Endpoint m_endpoint;
};

/** Requests whose connection ends during the write. */
class PartialWriteTest : public LoopbackTest
{
protected:
  void StartPoolTo(const Endpoint& aEndpoint)
  {
    m_pool =
      std::make_unique<HttpClientPool>(m_base.get(), aEndpoint, m_clientLimits);
  }

  std::shared_ptr<ClientExchange> Get(
    const std::string& aTarget,
    const std::shared_ptr<AnswerRecorder>& aAnswer,
    HttpClientPool::BeforeWrite aBeforeWrite)
  {
    auto exchange = m_pool->Start(
      { .method = "GET", .target = aTarget }, aAnswer, std::move(aBeforeWrite));
    exchange->Finish();
    return exchange;
  }

  /** Sends a request of which the sockets take a part only, and ends its
   * connection. A second try would be refused, which stands for "not run". */
  void ExpectMayHaveRun(const RequestHead& aHead, std::string_view aBody)
  {
    UnreadPeer peer;
    StartPoolTo(peer.Address());
    const auto answer = std::make_shared<AnswerRecorder>();
    const auto exchange = m_pool->Start(aHead, answer);
    exchange->SendBody(aBody);
    exchange->Finish();
    EXPECT_FALSE(exchange->Written());
    ASSERT_TRUE(RunUntil([&] { return exchange->Written(); }));
    RunBriefly();
    EXPECT_GT(exchange->BufferedBytes(), 0U);
    peer.ResetAndLeave();
    ASSERT_TRUE(RunUntil([&] { return answer->Done(); }));
    EXPECT_EQ(answer->failure, ClientFailure::kClosedBeforeAnswer);
    EXPECT_TRUE(MayHaveRun(*answer->failure));
    EXPECT_TRUE(exchange->Written());
  }

  int m_checks = 0;
  std::shared_ptr<AnswerRecorder> m_first = std::make_shared<AnswerRecorder>();
  std::shared_ptr<AnswerRecorder> m_second = std::make_shared<AnswerRecorder>();
  RawServer m_peer{ m_base.get(),
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    false };
};

// Guards against a request that is taken for not run, or sent again, although
// its head and a part of its body have left.
TEST_F(PartialWriteTest, Body_WrittenInPart_MayHaveRun)
{
  ExpectMayHaveRun(
    { .method = "PUT", .target = "/", .contentLength = kMoreThanSockets },
    std::string(kMoreThanSockets, 'b'));
}

// Guards against the same for a head of which only a part has left.
TEST_F(PartialWriteTest, Head_WrittenInPart_MayHaveRun)
{
  RequestHead head{ .method = "GET", .target = "/" };
  head.headers.Set("X-Large", std::string(kMoreThanSockets, 'h'));
  ExpectMayHaveRun(head, "");
}

// Guards against a request that is lost, or written twice, because the kept
// connection is reset between the last check and the write.
TEST_F(PartialWriteTest, Connection_ResetBeforeTheWrite_IsWrittenOnceElsewhere)
{
  StartPoolTo(m_peer.LocalEndpoint());
  Get("/first", m_first, {});
  ASSERT_TRUE(RunUntil([&] { return m_first->Done(); }));
  Get("/second", m_second, [&] {
    if (++m_checks == 1) {
      m_peer.ResetStreams();
    }
    return true;
  });
  ASSERT_TRUE(RunUntil([&] { return m_second->Done(); }));
  EXPECT_TRUE(m_second->ended);
  EXPECT_EQ(m_checks, 2);
  const auto& received = m_peer.Received();
  const auto place = received.find("/second");
  ASSERT_NE(place, std::string::npos);
  EXPECT_EQ(received.find("/second", place + 1), std::string::npos);
}

// Guards against a request that is written again, or taken for not run, after
// the socket has taken it: the peer may have read it before its close.
TEST_F(PartialWriteTest, Connection_ClosedBeforeTheWrite_IsNotWrittenAgain)
{
  StartPoolTo(m_peer.LocalEndpoint());
  Get("/first", m_first, {});
  ASSERT_TRUE(RunUntil([&] { return m_first->Done(); }));
  const auto exchange = Get("/second", m_second, [&] {
    ++m_checks;
    m_peer.ShutDownStreams();
    return true;
  });
  ASSERT_TRUE(RunUntil([&] { return m_second->Done(); }));
  EXPECT_EQ(m_second->failure, ClientFailure::kClosedBeforeAnswer);
  EXPECT_TRUE(exchange->Written());
  EXPECT_EQ(m_checks, 1);
}

}
}
