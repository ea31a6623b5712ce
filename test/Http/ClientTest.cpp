#include <string>
#include <utility>

#include "test/Http/LoopbackSupport.h"

namespace pistachioshift::test {
namespace {

using ExchangePtr = std::shared_ptr<ServerExchange>;

class ClientTest : public LoopbackTest
{
protected:
  void StartEcho()
  {
    StartServer([this](const ExchangePtr& aExchange) {
      ++m_handled;
      Answer(*aExchange, aExchange->Head().target);
    });
    StartPool();
  }

  void StartPoolTo(const Endpoint& aEndpoint)
  {
    m_pool =
      std::make_unique<HttpClientPool>(m_base.get(), aEndpoint, m_clientLimits);
  }

  std::shared_ptr<AnswerRecorder> Get(
    const std::string& aTarget,
    HttpClientPool::BeforeWrite aBeforeWrite = {})
  {
    auto answer = std::make_shared<AnswerRecorder>();
    m_exchange = m_pool->Start(
      { .method = "GET", .target = aTarget }, answer, std::move(aBeforeWrite));
    m_exchange->Finish();
    return answer;
  }

  bool Done(const std::shared_ptr<AnswerRecorder>& aAnswer)
  {
    return RunUntil([&] { return aAnswer->Done(); });
  }

  /** Answer of a peer that sends just these bytes and closes. */
  std::shared_ptr<AnswerRecorder> AnswerTo(const std::string& aBytes)
  {
    RawServer peer(m_base.get(), aBytes, true);
    StartPoolTo(peer.LocalEndpoint());
    auto answer = Get("/");
    EXPECT_TRUE(Done(answer));
    return answer;
  }

  int m_handled = 0;
  std::shared_ptr<ClientExchange> m_exchange;
};

TEST_F(ClientTest, Requests_InTurn_ShareOneConnection)
{
  StartEcho();
  for (int i = 0; i < 5; ++i) {
    auto answer = Get("/" + std::to_string(i));
    ASSERT_TRUE(Done(answer));
    EXPECT_EQ(answer->body, "/" + std::to_string(i));
    EXPECT_EQ(answer->head->contentLength, 2U);
  }
  EXPECT_EQ(m_pool->Connections(), 1U);
  EXPECT_EQ(m_pool->IdleConnections(), 1U);
  EXPECT_TRUE(m_exchange->Ended());
}

TEST_F(ClientTest, Start_AnyOutcome_CallsNothingBeforeItReturns)
{
  StartEcho();
  m_clientLimits.maxWaiting = 0;
  StartPool();
  auto answer = Get("/");
  EXPECT_FALSE(answer->Done());
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(answer->failure, ClientFailure::kPoolExhausted);
}

TEST_F(ClientTest, Requests_AtOnce_WaitForTheConnectionsAllowed)
{
  m_clientLimits.maxConnections = 2;
  StartEcho();
  std::vector<std::shared_ptr<AnswerRecorder>> answers;
  constexpr int kRequests = 10;
  answers.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    answers.push_back(Get("/x"));
  }
  size_t most = 0;
  for (const auto& answer : answers) {
    ASSERT_TRUE(RunUntil([&] {
      most = std::max(most, m_server->Connections());
      return answer->Done();
    }));
    EXPECT_TRUE(answer->ended);
  }
  EXPECT_LE(most, 2U);
}

TEST_F(ClientTest, Check_SaysNo_NotAByteIsWritten)
{
  RawServer peer(m_base.get(), "", false);
  StartPoolTo(peer.LocalEndpoint());
  auto answer = Get("/", [] { return false; });
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(answer->failure, ClientFailure::kNotWritten);
  EXPECT_FALSE(MayHaveRun(*answer->failure));
  RunBriefly();
  EXPECT_EQ(peer.Received(), "");
  EXPECT_EQ(m_pool->IdleConnections(), 1U);
}

TEST_F(ClientTest, Check_SaysYes_HeadIsInTheSocketAtOnce)
{
  StartEcho();
  ASSERT_TRUE(Done(Get("/first")));
  int checks = 0;
  auto answer = Get("/second", [&] { return ++checks > 0; });
  EXPECT_EQ(checks, 0);
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(checks, 1);
  EXPECT_EQ(m_handled, 2);
}

TEST_F(ClientTest, Check_Cancels_NotAByteIsWritten)
{
  RawServer peer(m_base.get(), "", false);
  StartPoolTo(peer.LocalEndpoint());
  auto answer = Get("/", [this] {
    m_exchange->Cancel();
    return true;
  });
  ASSERT_TRUE(RunUntil([&] { return m_exchange->Ended(); }));
  RunBriefly();
  EXPECT_EQ(peer.Received(), "");
  EXPECT_FALSE(answer->Done());
}

TEST_F(ClientTest, IdleConnection_ClosedByThePeer_IsNotUsedAgain)
{
  RawServer peer(
    m_base.get(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false);
  StartPoolTo(peer.LocalEndpoint());
  ASSERT_TRUE(Done(Get("/first")));
  ASSERT_EQ(m_pool->IdleConnections(), 1U);
  peer.CloseStreams(); // The loop has not run since: only the socket knows.
  int checks = 0;
  auto answer = Get("/second", [&] { return ++checks > 0; });
  ASSERT_TRUE(Done(answer));
  EXPECT_TRUE(answer->ended);
  EXPECT_EQ(checks, 1);
}

TEST_F(ClientTest, IdleConnection_SpeaksUnasked_IsClosed)
{
  RawServer peer(m_base.get(),
                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200",
                 false);
  StartPoolTo(peer.LocalEndpoint());
  ASSERT_TRUE(Done(Get("/")));
  RunBriefly();
  EXPECT_EQ(m_pool->Connections(), 0U);
}

TEST_F(ClientTest, Connect_Refused_CertainlyDidNotRun)
{
  Endpoint gone = RawServer(m_base.get(), "", false).LocalEndpoint();
  StartPoolTo(gone);
  auto answer = Get("/");
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(answer->failure, ClientFailure::kConnectRefused);
  EXPECT_FALSE(MayHaveRun(*answer->failure));
  EXPECT_EQ(m_pool->Connections(), 0U);
}

TEST_F(ClientTest, Peer_ClosesEachNewConnection_RequestFailsInsteadOfLooping)
{
  m_limits.maxConnections = 0;
  StartEcho();
  auto answer = Get("/");
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(m_handled, 0);
}

TEST_F(ClientTest, Answer_ClosedBeforeHead_MayHaveRun)
{
  for (const char* bytes : { "", "HTTP/1.1 2" }) {
    auto answer = AnswerTo(bytes);
    EXPECT_EQ(answer->failure, ClientFailure::kClosedBeforeAnswer);
    EXPECT_TRUE(MayHaveRun(*answer->failure));
  }
}

/** A server may stop anywhere in its answer's head and close. */
TEST_F(ClientTest, Answer_HeadCutAtAnyByte_NeverEnds)
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nServer: s\r\nContent-Length: 2\r\n\r\n";
  for (size_t bytes = 1; bytes <= head.size(); ++bytes) {
    const auto answer = AnswerTo(head.substr(0, bytes));
    EXPECT_FALSE(answer->ended) << bytes;
    EXPECT_TRUE(answer->failure.has_value()) << bytes;
    EXPECT_EQ(answer->head.has_value(), bytes == head.size()) << bytes;
  }
}

TEST_F(ClientTest, Answer_CutShort_IsTruncated)
{
  for (const char* bytes : { "Content-Length: 9\r\n\r\nfour",
                             "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
                             "Content-Length: 4\r\n\r\n" }) {
    auto answer = AnswerTo(std::string("HTTP/1.1 200 OK\r\n") + bytes);
    EXPECT_EQ(answer->failure, ClientFailure::kTruncatedAnswer);
    EXPECT_TRUE(answer->head.has_value());
  }
}

TEST_F(ClientTest, Answer_WithoutLength_EndsWithTheConnection)
{
  auto answer = AnswerTo("HTTP/1.1 200 OK\r\n\r\nall of it");
  EXPECT_TRUE(answer->ended);
  EXPECT_EQ(answer->body, "all of it");
}

TEST_F(ClientTest, Answer_Interim_IsPassedOver)
{
  auto answer = AnswerTo("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_TRUE(answer->ended);
  EXPECT_EQ(answer->head->status, 200);
  EXPECT_EQ(answer->body, "ok");
}

TEST_F(ClientTest, Answer_Malformed_IsReported)
{
  for (const char* bytes :
       { "garbage\r\n\r\n",
         "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
         "Connection: upgrade\r\n\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" }) {
    EXPECT_EQ(AnswerTo(bytes)->failure, ClientFailure::kMalformedAnswer);
  }
}

TEST_F(ClientTest, Answer_NeverComes_TimesOut)
{
  m_clientLimits.silenceTimeout = std::chrono::milliseconds(30);
  RawServer peer(m_base.get(), "", false);
  StartPoolTo(peer.LocalEndpoint());
  auto answer = Get("/");
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(answer->failure, ClientFailure::kTimeout);
}

TEST_F(ClientTest, Cancel_WhileRunning_ServerIsToldAndNothingIsCalled)
{
  auto request = std::make_shared<RequestRecorder>();
  StartServer([&](const ExchangePtr& aExchange) {
    aExchange->SetListener(request);
    aExchange->SendHead({ .status = 200 });
    aExchange->SendBody("part");
  });
  StartPool();
  auto answer = Get("/");
  ASSERT_TRUE(RunUntil([&] { return answer->body == "part"; }));
  m_exchange->Cancel();
  ASSERT_TRUE(RunUntil([&] { return request->aborted.has_value(); }));
  EXPECT_EQ(request->aborted, AbortReason::kPeerClosed);
  EXPECT_FALSE(answer->Done());
  EXPECT_EQ(m_pool->Connections(), 0U);
}

TEST_F(ClientTest, Cancel_WhileWaiting_RequestIsNeverWritten)
{
  StartEcho();
  auto answer = Get("/");
  m_exchange->Cancel();
  RunBriefly();
  EXPECT_EQ(m_handled, 0);
  EXPECT_FALSE(answer->Done());
}

TEST_F(ClientTest, RequestBody_BytesMissing_ServerSeesATruncatedRequest)
{
  auto request = std::make_shared<RequestRecorder>();
  StartServer(
    [&](const ExchangePtr& aExchange) { aExchange->SetListener(request); });
  StartPool();
  auto answer = std::make_shared<AnswerRecorder>();
  auto exchange = m_pool->Start(
    { .method = "PUT", .target = "/", .contentLength = 10 }, answer);
  exchange->SendBody("four");
  ASSERT_TRUE(RunUntil([&] { return request->body == "four"; }));
  exchange->Finish();
  ASSERT_TRUE(RunUntil([&] { return request->aborted.has_value(); }));
  EXPECT_FALSE(request->ended);
}

TEST_F(ClientTest, Answer_BeforeTheBodyWasSent_ConnectionIsNotReused)
{
  StartEcho();
  auto answer = std::make_shared<AnswerRecorder>();
  auto exchange = m_pool->Start(
    { .method = "PUT", .target = "/early", .chunked = true }, answer);
  exchange->SendBody("part");
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(answer->body, "/early");
  EXPECT_EQ(m_pool->Connections(), 0U);
  EXPECT_TRUE(exchange->SendBody("late"));
}

TEST_F(ClientTest, Head_WithLineBreak_IsNotSent)
{
  StartEcho();
  RequestHead inField{ .method = "GET", .target = "/" };
  inField.headers.Add("X", "a\r\nY: b");
  const RequestHead inTarget{ .method = "GET", .target = "/ HTTP/1.1\r\n" };
  for (const auto& head : { inField, inTarget }) {
    const auto answer = std::make_shared<AnswerRecorder>();
    const auto exchange = m_pool->Start(head, answer);
    exchange->Finish();
    EXPECT_FALSE(answer->Done()); // Never from within Start.
    ASSERT_TRUE(Done(answer));
    EXPECT_EQ(answer->failure, ClientFailure::kUnsendable);
    EXPECT_TRUE(exchange->Ended());
  }
  EXPECT_FALSE(MayHaveRun(ClientFailure::kUnsendable));
  EXPECT_EQ(m_handled, 0);
}

TEST_F(ClientTest, Body_BeyondItsLength_FailsTheExchangeOnly)
{
  StartEcho();
  const auto answer = std::make_shared<AnswerRecorder>();
  const auto exchange = m_pool->Start(
    { .method = "PUT", .target = "/", .contentLength = 2 }, answer);
  EXPECT_TRUE(exchange->SendBody("too long"));
  EXPECT_TRUE(exchange->SendBody("more"));
  exchange->Finish();
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(answer->failure, ClientFailure::kBodyTooLong);
  const auto next = Get("/next");
  ASSERT_TRUE(Done(next));
  EXPECT_EQ(next->body, "/next");
}

TEST_F(ClientTest, Body_BeyondItsLengthOnceWritten_ClosesTheConnection)
{
  StartServer([](const ExchangePtr&) {});
  StartPool();
  const auto answer = std::make_shared<AnswerRecorder>();
  const auto exchange = m_pool->Start(
    { .method = "PUT", .target = "/", .contentLength = 2 }, answer);
  ASSERT_TRUE(RunUntil([&] { return m_server->Active() == 1; }));
  exchange->SendBody("too long");
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(answer->failure, ClientFailure::kBodyTooLong);
  EXPECT_EQ(m_pool->Connections(), 0U);
}

/** Throws at the head of an answer, as code that handles it may. */
class ThrowingListener : public AnswerRecorder
{
public:
  void OnHead(const ResponseHead&) override
  {
    throw std::out_of_range("no such key");
  }
};

TEST_F(ClientTest, Listener_Throws_OnlyItsExchangeFails)
{
  StartEcho();
  std::string problem;
  m_pool->SetErrorHandler(
    [&](std::string_view aProblem) { problem = aProblem; });
  const auto answer = std::make_shared<ThrowingListener>();
  m_pool->Start({ .method = "GET", .target = "/" }, answer)->Finish();
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(answer->failure, ClientFailure::kInternalError);
  EXPECT_EQ(problem, "no such key");
  const auto next = Get("/next");
  ASSERT_TRUE(Done(next));
  EXPECT_EQ(next->body, "/next");
}

TEST_F(ClientTest, Pool_DestroyedWhileRunning_CallsNothing)
{
  StartServer([](const ExchangePtr&) {});
  StartPool();
  auto answer = Get("/");
  ASSERT_TRUE(RunUntil([&] { return m_server->Active() == 1; }));
  m_pool.reset();
  RunBriefly();
  EXPECT_FALSE(answer->Done());
  EXPECT_TRUE(m_exchange->Ended());
}

}
}
