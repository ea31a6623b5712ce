#include <string>
#include <utility>

#include "src/Daemon/Timer.h"
#include "src/Http/internal/SocketAddress.h"
#include "test/Http/LoopbackSupport.h"

namespace pistachioshift::test {
namespace {

using std::chrono::milliseconds;

/** What a server sends: a start, then a unit again and again. */
struct Endless
{
  std::string start;
  std::string unit;
};

/** Answers the first bytes of each connection, as fast as they are read. */
class EndlessServer
{
public:
  EndlessServer(event_base* aBase, Endless aAnswer)
    : m_base(aBase)
    , m_answer(std::move(aAnswer))
    , m_dripTimer(aBase, [this] { Drip(); })
  {
    while (m_block.size() < kBlockBytes && !m_answer.unit.empty()) {
      m_block += m_answer.unit;
    }
    const auto address = internal::HttpAddressOf(Endpoint{ "127.0.0.1", 0 });
    m_listener.reset(evconnlistener_new_bind(
      aBase,
      [](
        evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
        static_cast<EndlessServer*>(aSelf)->Accept(aSocket);
      },
      this,
      LEV_OPT_CLOSE_ON_FREE,
      -1,
      address.Get(),
      static_cast<int>(address.Length())));
  }

  /** Sends one unit each interval instead. */
  void SendSlowly(Duration aInterval) { m_interval = aInterval; }

  Endpoint LocalEndpoint() const
  {
    return internal::LocalEndpointOf(evconnlistener_get_fd(m_listener.get()));
  }
  int Closed() const { return m_closed; }
  size_t Sent() const { return m_sent; }

private:
  static constexpr size_t kBlockBytes = 16 * internal::kKiB;

  void Accept(evutil_socket_t aSocket)
  {
    m_stream.reset(
      bufferevent_socket_new(m_base, aSocket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(
      m_stream.get(),
      [](bufferevent*, void* aSelf) {
        static_cast<EndlessServer*>(aSelf)->Begin();
      },
      [](bufferevent*, void* aSelf) {
        static_cast<EndlessServer*>(aSelf)->Refill();
      },
      [](bufferevent*, short, void* aSelf) {
        static_cast<EndlessServer*>(aSelf)->End();
      },
      this);
    bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
  }

  void Send(const std::string& aBytes)
  {
    m_sent += aBytes.size();
    bufferevent_write(m_stream.get(), aBytes.data(), aBytes.size());
  }

  void Begin()
  {
    evbuffer* input = bufferevent_get_input(m_stream.get());
    evbuffer_drain(input, evbuffer_get_length(input));
    m_begun = true;
    Send(m_answer.start);
    if (m_interval > Duration::zero()) {
      m_dripTimer.StartEvery(m_interval);
    }
    Refill();
  }

  void Refill()
  {
    if (m_begun && m_interval == Duration::zero()) {
      Send(m_block);
    }
  }

  void Drip()
  {
    if (m_stream) {
      Send(m_answer.unit);
    }
  }

  void End()
  {
    ++m_closed;
    m_begun = false;
    m_dripTimer.Stop();
    m_stream.reset();
  }

  event_base* m_base;
  Endless m_answer;
  Timer m_dripTimer;
  std::string m_block;
  Duration m_interval{};
  internal::ListenerPtr m_listener;
  internal::BufferEventPtr m_stream;
  bool m_begun = false;
  int m_closed = 0;
  size_t m_sent = 0;
};

const std::string kStatus = "HTTP/1.1 200 OK\r\n";
const std::string kChunkedHead = kStatus + "Transfer-Encoding: chunked\r\n\r\n";

class EndlessAnswerTest : public LoopbackTest
{
protected:
  /** Waits for the end of a request to the server. */
  std::shared_ptr<AnswerRecorder> Ask(const EndlessServer& aServer)
  {
    m_pool = std::make_unique<HttpClientPool>(
      m_base.get(), aServer.LocalEndpoint(), m_clientLimits);
    auto answer = std::make_shared<AnswerRecorder>();
    m_pool->Start({ .method = "GET", .target = "/" }, answer)->Finish();
    EXPECT_TRUE(RunUntil([&] { return answer->Done(); }));
    EXPECT_TRUE(RunUntil([&] { return aServer.Closed() == 1; }));
    EXPECT_EQ(m_pool->Connections(), 0U);
    return answer;
  }

  /** Failure after an answer that never ends; few bytes of it were read. */
  std::optional<ClientFailure> FailureOf(const Endless& aAnswer)
  {
    EndlessServer server(m_base.get(), aAnswer);
    const auto answer = Ask(server);
    EXPECT_FALSE(answer->ended);
    EXPECT_LT(answer->body.size(), 1024 * internal::kKiB);
    return answer->failure;
  }
};

// Guards against a head that is read for as long as the server sends.
TEST_F(EndlessAnswerTest, Head_WithoutEnd_IsMalformed)
{
  const Endless kHeads[] = {
    { "", "garbage" },
    { "", "\r\n" },
    { "HTTP/1.1 200 ", "o" },
    { kStatus + "X: ", "y" },
    { kStatus + "X", "x" },
    { kStatus, "X: y\r\n" },
    { kStatus + "X: y\r\n", " folded\r\n" },
  };
  for (const auto& head : kHeads) {
    SCOPED_TRACE(head.start + head.unit);
    EXPECT_EQ(FailureOf(head), ClientFailure::kMalformedAnswer);
  }
}

// Guards against 1xx answers that keep a request waiting for its final one.
TEST_F(EndlessAnswerTest, InterimAnswers_WithoutEnd_AreMalformed)
{
  EXPECT_EQ(FailureOf({ "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" }),
            ClientFailure::kMalformedAnswer);
}

// Guards against a body that is passed on before any final head.
TEST_F(EndlessAnswerTest, InterimAnswer_WithBody_IsMalformed)
{
  for (const char* field :
       { "Content-Length: 99999999999", "Transfer-Encoding: chunked" }) {
    SCOPED_TRACE(field);
    EndlessServer server(
      m_base.get(),
      { std::string("HTTP/1.1 103 Early Hints\r\n") + field + "\r\n\r\n",
        "1\r\nx\r\n" });
    const auto answer = Ask(server);
    EXPECT_EQ(answer->failure, ClientFailure::kMalformedAnswer);
    EXPECT_EQ(answer->body, "");
  }
}

// Guards against a status that is none being passed on.
TEST_F(EndlessAnswerTest, Status_OutOfRange_IsMalformed)
{
  for (const char* status : { "000", "99", "600", "999" }) {
    SCOPED_TRACE(status);
    const auto start = std::string("HTTP/1.1 ") + status + " Odd\r\n\r\n";
    EXPECT_EQ(FailureOf({ start, "x" }), ClientFailure::kMalformedAnswer);
  }
}

// Guards against framing around the body that is read for ever.
TEST_F(EndlessAnswerTest, Framing_WithoutEnd_IsMalformed)
{
  const Endless kBodies[] = {
    { kChunkedHead + "1;", "x" },
    { kChunkedHead, "0" },
    { kChunkedHead, "garbage" },
    { kChunkedHead + "1\r\nx\r\n0\r\n", "T: u\r\n" },
    { kChunkedHead + "1\r\nx\r\n0\r\nT: ", "u" },
  };
  for (const auto& body : kBodies) {
    SCOPED_TRACE(body.start + body.unit);
    EXPECT_EQ(FailureOf(body), ClientFailure::kMalformedAnswer);
  }
}

// Guards against a connection whose extra bytes become the next answer.
TEST_F(EndlessAnswerTest, CompleteAnswer_BytesFollow_ConnectionIsClosed)
{
  for (const char* extra : { "x", "\r\n", "HTTP/1.1 200 OK\r\n" }) {
    SCOPED_TRACE(extra);
    EndlessServer server(m_base.get(),
                         { kStatus + "Content-Length: 2\r\n\r\nok", extra });
    const auto answer = Ask(server);
    EXPECT_TRUE(answer->ended);
    EXPECT_EQ(answer->body, "ok");
  }
}

// The same, when the first extra byte comes only after a while.
TEST_F(EndlessAnswerTest, CompleteAnswer_BytesFollowLater_ConnectionIsClosed)
{
  EndlessServer server(m_base.get(),
                       { kStatus + "Content-Length: 2\r\n\r\nok", "x" });
  server.SendSlowly(milliseconds(50));
  EXPECT_TRUE(Ask(server)->ended);
}

// Guards against a body of unknown length that is read for ever.
TEST_F(EndlessAnswerTest, Body_LengthUndeclared_EndsAtItsBound)
{
  m_clientLimits.maxUndeclaredBodyBytes = 100 * internal::kKiB;
  const Endless kBodies[] = {
    { kStatus + "\r\n", "x" },
    { kChunkedHead, "1\r\nx\r\n" },
    { kChunkedHead, "1;ext=" + std::string(1000, 'e') + "\r\nx\r\n" },
  };
  for (const auto& body : kBodies) {
    SCOPED_TRACE(body.start + body.unit);
    EndlessServer server(m_base.get(), body);
    const auto answer = Ask(server);
    EXPECT_EQ(answer->failure, ClientFailure::kAnswerTooLarge);
    EXPECT_TRUE(answer->head);
    EXPECT_LE(answer->body.size(), m_clientLimits.maxUndeclaredBodyBytes);
    EXPECT_TRUE(MayHaveRun(*answer->failure));
  }
}

// Guards against a length that is stated only to send for ever.
TEST_F(EndlessAnswerTest, Body_LengthDeclaredTooLarge_FailsAtTheHead)
{
  EndlessServer server(
    m_base.get(),
    { kStatus + "Content-Length: 1234567890123456789\r\n\r\n", "x" });
  const auto answer = Ask(server);
  EXPECT_EQ(answer->failure, ClientFailure::kAnswerTooLarge);
  EXPECT_FALSE(answer->head);
}

// Guards against the bound being applied where a length is declared.
TEST_F(EndlessAnswerTest, Body_LengthDeclared_MayExceedTheUndeclaredBound)
{
  m_clientLimits.maxUndeclaredBodyBytes = 1;
  EndlessServer server(m_base.get(),
                       { kStatus + "Content-Length: 90000\r\n\r\n", "x" });
  const auto answer = Ask(server);
  EXPECT_TRUE(answer->ended);
  EXPECT_EQ(answer->body.size(), 90000U);
}

// Guards against bytes that come slowly and keep the silence timeout off.
TEST_F(EndlessAnswerTest, Answer_TricklesWithoutEnd_TimesOut)
{
  m_clientLimits.answerTimeout = milliseconds(300);
  const Endless kAnswers[] = {
    { "", "\r\n" },
    { kStatus + "X: ", "y" },
    { "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
    { kStatus + "\r\n", "x" },
    { kStatus + "Content-Length: 99999\r\n\r\n", "x" },
    { kChunkedHead, "1\r\nx\r\n" },
    { kChunkedHead + "1;", "x" },
    { kChunkedHead + "0\r\nT: ", "u" },
  };
  for (const auto& trickle : kAnswers) {
    SCOPED_TRACE(trickle.start + trickle.unit);
    EndlessServer server(m_base.get(), trickle);
    server.SendSlowly(milliseconds(20));
    EXPECT_EQ(Ask(server)->failure, ClientFailure::kTimeout);
  }
}

// Guards against a timeout of one request that ends the next one.
TEST_F(EndlessAnswerTest, AnswerTimeout_RequestEnded_LeavesTheConnection)
{
  m_clientLimits.answerTimeout = milliseconds(50);
  StartServer([](const std::shared_ptr<ServerExchange>& aExchange) {
    Answer(*aExchange, "ok");
  });
  StartPool();
  auto answer = std::make_shared<AnswerRecorder>();
  m_pool->Start({ .method = "GET", .target = "/" }, answer)->Finish();
  ASSERT_TRUE(RunUntil([&] { return answer->Done(); }));
  const auto end = SystemClock().Now() + milliseconds(200);
  RunUntil([&] { return SystemClock().Now() > end; });
  EXPECT_EQ(m_pool->IdleConnections(), 1U);
}

// Guards against a wait for the body of an answer that has none.
TEST_F(EndlessAnswerTest, BodylessStatus_LengthDeclared_EndsWithItsHead)
{
  for (const char* status : { "204 No Content", "304 Not Modified" }) {
    SCOPED_TRACE(status);
    EndlessServer server(
      m_base.get(),
      { std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 9\r\n\r\n",
        "x" });
    const auto answer = Ask(server);
    EXPECT_TRUE(answer->ended);
    EXPECT_EQ(answer->body, "");
  }
}

}
}
