#include <string>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

#include "src/Http/internal/SocketAddress.h"
#include "test/Http/LoopbackSupport.h"

namespace pistachioshift::test {
namespace {

using ExchangePtr = std::shared_ptr<ServerExchange>;

class ServerTest : public LoopbackTest
{
protected:
  void StartEcho()
  {
    StartServer([](const ExchangePtr& aExchange) {
      Answer(*aExchange, aExchange->Head().target);
    });
  }

  /** Keeps each exchange open and its body recorded. */
  void StartRecording()
  {
    StartServer([this](ExchangePtr aExchange) {
      m_listener = std::make_shared<RequestRecorder>();
      aExchange->SetListener(m_listener);
      m_exchange = std::move(aExchange);
    });
  }

  RawPeer Connect() { return { m_base.get(), m_server->LocalEndpoint() }; }

  bool Contains(const RawPeer& aPeer, const std::string& aText)
  {
    return RunUntil(
      [&] { return aPeer.Received().find(aText) != std::string::npos; });
  }

  ExchangePtr m_exchange;
  std::shared_ptr<RequestRecorder> m_listener;
};

TEST_F(ServerTest, Request_Simple_AnswerKeepsConnectionAlive)
{
  StartEcho();
  RawPeer peer = Connect();
  peer.Write("GET /one HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(Contains(peer, "Content-Length: 4\r\n\r\n/one"));
  peer.Write("GET /two HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(Contains(peer, "/two"));
  EXPECT_FALSE(peer.Closed());
  EXPECT_EQ(m_server->Connections(), 1U);
  EXPECT_EQ(m_server->Active(), 0U);
}

/** Guards against an answer that ends the daemon which passes it on. */
TEST_F(ServerTest, SendHead_FieldThatCannotBeSent_CallerGets502)
{
  std::shared_ptr<RequestRecorder> listener;
  StartServer([&](const ExchangePtr& aExchange) {
    if (aExchange->Head().target != "/bad") {
      Answer(*aExchange, "fine");
      return;
    }
    listener = std::make_shared<RequestRecorder>();
    aExchange->SetListener(listener);
    ResponseHead head;
    head.headers.Add("X", std::string("\0a", 2));
    head.contentLength = 2;
    aExchange->SendHead(head);
    aExchange->SendBody("no");
    aExchange->Finish();
  });
  RawPeer peer = Connect();
  peer.Write("GET /bad HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(Contains(peer, "HTTP/1.1 502 "));
  EXPECT_TRUE(Contains(peer, "unsendable-answer"));
  EXPECT_TRUE(RunUntil([&] { return peer.Closed(); }));
  EXPECT_EQ(listener->aborted, AbortReason::kUnsendable);
  RawPeer other = Connect();
  other.Write("GET /good HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(Contains(other, "fine"));
}

TEST_F(ServerTest, SendBody_BeyondItsLength_CutsTheAnswer)
{
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_exchange != nullptr; }));
  ResponseHead head;
  head.contentLength = 4;
  m_exchange->SendHead(head);
  m_exchange->SendBody("no");
  EXPECT_TRUE(m_exchange->SendBody("too long"));
  EXPECT_TRUE(m_exchange->Ended());
  EXPECT_TRUE(RunUntil([&] { return peer.Closed(); }));
  EXPECT_EQ(m_listener->aborted, AbortReason::kUnsendable);
}

TEST_F(ServerTest, Handler_Throws_CallerGets502AndOthersAreServed)
{
  StartServer([](const ExchangePtr& aExchange) {
    if (aExchange->Head().target == "/bad") {
      throw std::bad_alloc();
    }
    Answer(*aExchange, "fine");
  });
  std::string failed;
  m_server->SetErrorHandler([&](std::string_view, const RequestHead* aHead) {
    failed = aHead->target;
  });
  RawPeer peer = Connect();
  peer.Write("GET /bad HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(Contains(peer, "HTTP/1.1 502 "));
  EXPECT_EQ(failed, "/bad");
  EXPECT_EQ(m_refusals[HttpRefusal::kInternalError], 1);
  RawPeer other = Connect();
  other.Write("GET /good HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(Contains(other, "fine"));
  EXPECT_EQ(m_server->Active(), 0U);
}

/** Guards against work for a caller that had left before its request was read.
 */
TEST_F(ServerTest, Request_CallerHasClosedMeanwhile_IsNotHandled)
{
  int handled = 0;
  StartServer([&](const ExchangePtr& aExchange) {
    ++handled;
    Answer(*aExchange, "late");
  });
  const auto address = internal::HttpAddressOf(m_server->LocalEndpoint());
  const std::string request = "GET /left HTTP/1.1\r\nHost: a\r\n\r\n";
  const int caller = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  ASSERT_EQ(connect(caller, address.Get(), address.Length()), 0);
  ASSERT_EQ(send(caller, request.data(), request.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(request.size()));
  close(caller);
  ASSERT_TRUE(RunUntil([&] { return m_server->Connections() == 1; }));
  ASSERT_TRUE(RunUntil([&] { return m_server->Connections() == 0; }));
  EXPECT_EQ(handled, 0);
  EXPECT_EQ(m_server->Active(), 0U);
}

TEST_F(ServerTest, Requests_Pipelined_AreAnsweredOneAfterTheOther)
{
  std::vector<ExchangePtr> exchanges;
  StartServer(
    [&](const ExchangePtr& aExchange) { exchanges.push_back(aExchange); });
  RawPeer peer = Connect();
  peer.Write("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi"
             "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return exchanges.size() == 1; }));
  RunBriefly();
  ASSERT_EQ(exchanges.size(), 1U);
  Answer(*exchanges[0], "first"); // Its body was never asked for.
  ASSERT_TRUE(RunUntil([&] { return exchanges.size() == 2; }));
  EXPECT_EQ(exchanges[1]->Head().target, "/2");
  Answer(*exchanges[1], "second");
  EXPECT_TRUE(Contains(peer, "second"));
}

TEST_F(ServerTest, Head_Complete_HandlerRunsBeforeTheBodyArrives)
{
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_exchange != nullptr; }));
  EXPECT_EQ(m_exchange->Head().contentLength, 4U);
  peer.Write("body");
  EXPECT_TRUE(RunUntil([&] { return m_listener->ended; }));
  EXPECT_EQ(m_listener->body, "body");
}

TEST_F(ServerTest, Body_Chunked_IsDecoded)
{
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("PUT /p HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nabc\r\n2\r\nde\r\n0\r\nX-Trailer: t\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_listener && m_listener->ended; }));
  EXPECT_EQ(m_listener->body, "abcde");
  EXPECT_EQ(m_exchange->Head().headers.Find("X-Trailer"), nullptr);
}

TEST_F(ServerTest, Body_Paused_NoPartArrivesUntilResumed)
{
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("PUT /p HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nab");
  ASSERT_TRUE(
    RunUntil([&] { return m_listener && !m_listener->body.empty(); }));
  m_exchange->PauseBody();
  peer.Write("cdef");
  RunBriefly();
  EXPECT_EQ(m_listener->body, "ab");
  m_exchange->ResumeBody();
  EXPECT_TRUE(RunUntil([&] { return m_listener->ended; }));
  EXPECT_EQ(m_listener->body, "abcdef");
}

TEST_F(ServerTest, Expectation_Continue_IsMetWhenTheBodyIsWanted)
{
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("PUT /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
             "Expect: 100-continue\r\n\r\n");
  EXPECT_TRUE(Contains(peer, "HTTP/1.1 100 Continue\r\n\r\n"));
  EXPECT_EQ(m_exchange->Head().headers.Find("Expect"), nullptr);
}

TEST_F(ServerTest, Expectation_Refused_ConnectionEndsAfterTheAnswer)
{
  StartEcho();
  RawPeer peer = Connect();
  peer.Write("PUT /p HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
             "Expect: 100-continue\r\n\r\n");
  EXPECT_TRUE(Contains(peer, "Connection: close\r\n\r\n/p"));
  EXPECT_TRUE(RunUntil([&] { return peer.Closed(); }));
}

TEST_F(ServerTest, Peer_ClosesMidRequest_ExchangeIsAborted)
{
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_listener && m_listener->ended; }));
  peer.Close();
  ASSERT_TRUE(RunUntil([&] { return m_listener->aborted.has_value(); }));
  EXPECT_EQ(m_listener->aborted, AbortReason::kPeerClosed);
  EXPECT_TRUE(m_exchange->Ended());
  EXPECT_TRUE(m_exchange->SendBody("late"));
  m_exchange->Finish();
  EXPECT_EQ(m_server->Active(), 0U);
  EXPECT_EQ(m_server->Connections(), 0U);
}

TEST_F(ServerTest, Exchange_Aborted_PeerSeesTruncatedAnswer)
{
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_exchange != nullptr; }));
  m_exchange->SendHead({ .status = 200, .contentLength = 10 });
  m_exchange->SendBody("four");
  ASSERT_TRUE(Contains(peer, "four"));
  m_exchange->Finish(); // Six bytes are missing.
  EXPECT_TRUE(RunUntil([&] { return peer.Closed(); }));
  EXPECT_FALSE(m_listener->aborted.has_value());
}

TEST_F(ServerTest, HeadRequest_Answered_BodyIsLeftOut)
{
  StartEcho();
  RawPeer peer = Connect();
  peer.Write("HEAD /abc HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(Contains(peer, "Content-Length: 4\r\n\r\n"));
  peer.Write("GET /d HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(Contains(peer, "\r\n\r\n/d"));
  EXPECT_EQ(peer.Received().find("/abc"), std::string::npos);
}

TEST_F(ServerTest, Http10_UnknownLength_EndsWithTheConnection)
{
  StartServer([](const ExchangePtr& aExchange) {
    aExchange->SendHead({ .status = 200 });
    aExchange->SendBody("old");
    aExchange->Finish();
  });
  RawPeer peer = Connect();
  peer.Write("GET / HTTP/1.0\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return peer.Closed(); }));
  EXPECT_TRUE(peer.Received().ends_with("\r\n\r\nold"));
  EXPECT_EQ(peer.Received().find("chunked"), std::string::npos);
}

TEST_F(ServerTest, LargeBody_Unwanted_ConnectionEndsAfterTheAnswer)
{
  StartEcho();
  RawPeer peer = Connect();
  std::string body(4 * m_limits.maxDiscardBytes, 'x');
  peer.Write("PUT /big HTTP/1.1\r\nHost: a\r\nContent-Length: " +
             std::to_string(2 * body.size()) + "\r\n\r\n" + body);
  ASSERT_TRUE(RunUntil([&] { return peer.Closed(); }));
  EXPECT_TRUE(peer.Received().ends_with("/big"));
}

TEST_F(ServerTest, Stop_IdleAndBusy_IdleClosesBusyFinishes)
{
  StartRecording();
  RawPeer idle = Connect();
  RawPeer busy = Connect();
  busy.Write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(
    RunUntil([&] { return m_exchange && m_server->Connections() == 2; }));
  m_server->StopAccepting();
  ASSERT_TRUE(RunUntil([&] { return idle.Closed(); }));
  EXPECT_EQ(m_server->Active(), 1U);
  Answer(*m_exchange, "whole");
  EXPECT_TRUE(Contains(busy, "Connection: close\r\n\r\nwhole"));
  EXPECT_TRUE(RunUntil([&] { return busy.Closed(); }));
}

TEST_F(ServerTest, Stop_RequestAlreadyInTheSocket_IsServed)
{
  StartEcho();
  RawPeer peer = Connect();
  ASSERT_TRUE(RunUntil([&] { return m_server->Connections() == 1; }));
  peer.Write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
  event_base_loop(m_base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
  m_server->StopAccepting();
  EXPECT_TRUE(Contains(peer, "/late"));
}

TEST_F(ServerTest, Stop_ConnectedButNotAccepted_IsServed)
{
  StartEcho();
  // The kernel connects at once; the server's loop has not run yet.
  RawPeer peer = Connect();
  m_server->StopAccepting();
  EXPECT_EQ(m_server->Connections(), 1U);
  peer.Write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(Contains(peer, "/late"));
}

TEST_F(ServerTest, Stop_AcceptedBeforeItsFirstRequest_IsServed)
{
  StartEcho();
  RawPeer peer = Connect();
  ASSERT_TRUE(RunUntil([&] { return m_server->Connections() == 1; }));
  m_server->StopAccepting();
  RunBriefly();
  peer.Write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_TRUE(Contains(peer, "/late"));
}

// Guards against a request that is read and dropped, because the answer before
// it did not announce that the connection ends.
TEST_F(ServerTest, Closing_AnswerBegunBefore_NextRequestIsAnswered)
{
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_exchange != nullptr; }));
  m_exchange->SendHead({ .status = 200, .contentLength = 5 });
  m_server->BeginClosing();
  const auto first = std::exchange(m_exchange, nullptr);
  first->SendBody("first");
  first->Finish();
  ASSERT_TRUE(Contains(peer, "first"));
  peer.Write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_exchange || peer.Closed(); }));
  ASSERT_FALSE(peer.Closed());
  Answer(*m_exchange, "second");
  EXPECT_TRUE(Contains(peer, "Connection: close\r\n\r\nsecond"));
  EXPECT_TRUE(RunUntil([&] { return peer.Closed(); }));
}

// Guards against the same when the port is closed already, and against a
// connection that stays open then though no request comes.
TEST_F(ServerTest, Stop_AnswerBegunBefore_ConnectionWaitsOnlyForALateRequest)
{
  m_limits.lingerTimeout = std::chrono::milliseconds(200);
  StartRecording();
  RawPeer late = Connect();
  late.Write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_exchange != nullptr; }));
  const auto first = std::exchange(m_exchange, nullptr);
  first->SendHead({ .status = 200, .contentLength = 5 });
  RawPeer idle = Connect();
  idle.Write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_exchange != nullptr; }));
  const auto second = std::exchange(m_exchange, nullptr);
  second->SendHead({ .status = 200, .contentLength = 5 });
  m_server->StopAccepting();
  first->SendBody("whole");
  first->Finish();
  second->SendBody("whole");
  second->Finish();
  ASSERT_TRUE(Contains(late, "whole"));
  late.Write("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_exchange || late.Closed(); }));
  ASSERT_FALSE(late.Closed());
  Answer(*m_exchange, "third");
  EXPECT_TRUE(Contains(late, "Connection: close\r\n\r\nthird"));
  EXPECT_TRUE(RunUntil([&] { return idle.Closed() && late.Closed(); }));
}

// Guards against a server that seems to be done while bytes of an answer wait.
TEST_F(ServerTest, Answer_PeerDoesNotRead_UnsentBytesAreCounted)
{
  constexpr size_t kBytes = size_t{ 32 } * internal::kKiB * internal::kKiB;
  StartServer([&](const ExchangePtr& aExchange) {
    Answer(*aExchange, std::string(kBytes, 'x'));
  });
  EXPECT_EQ(m_server->UnsentBytes(), 0U);
  const int peer = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = internal::HttpAddressOf(m_server->LocalEndpoint());
  ASSERT_EQ(connect(peer, address.Get(), address.Length()), 0);
  const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
  ASSERT_EQ(write(peer, request.data(), request.size()),
            static_cast<ssize_t>(request.size()));
  EXPECT_TRUE(RunUntil([&] { return m_server->UnsentBytes() > 0; }));
  EXPECT_EQ(m_server->Active(), 0U);
  close(peer);
  EXPECT_TRUE(RunUntil([&] { return m_server->UnsentBytes() == 0; }));
}

TEST_F(ServerTest, Server_Destroyed_ListenersAreTold)
{
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return m_exchange != nullptr; }));
  m_server.reset();
  EXPECT_EQ(m_listener->aborted, AbortReason::kShutdown);
}

TEST_F(ServerTest, Head_Unfinished_TimesOut)
{
  m_limits.headTimeout = std::chrono::milliseconds(30);
  StartEcho();
  RawPeer peer = Connect();
  peer.Write("GET / HTTP/1.1\r\nHo");
  ASSERT_TRUE(RunUntil([&] { return peer.Closed(); }));
  EXPECT_TRUE(peer.Received().starts_with("HTTP/1.1 408 "));
  EXPECT_EQ(m_refusals[HttpRefusal::kHeadTimeout], 1);
}

// Guards against a stalled upload that holds its connection for good.
TEST_F(ServerTest, Body_StalledAndUnanswered_ExchangeIsAborted)
{
  m_limits.bodyTimeout = std::chrono::milliseconds(30);
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  ASSERT_TRUE(RunUntil([&] { return peer.Closed(); }));
  EXPECT_EQ(peer.Received(), "");
  EXPECT_EQ(m_listener->aborted, AbortReason::kTimeout);
}

// Guards against a connection that ends without the answer that its listener
// has for a stalled upload.
TEST_F(ServerTest, Body_StalledAndAnswered_AnswerArrivesBeforeTheEnd)
{
  m_limits.bodyTimeout = std::chrono::milliseconds(30);
  StartRecording();
  RawPeer peer = Connect();
  peer.Write("PUT / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  ASSERT_TRUE(RunUntil([&] { return m_listener && m_listener->body == "ab"; }));
  m_listener->onBodyTimeout = [&] { Answer(*m_exchange, "too slow"); };
  ASSERT_TRUE(RunUntil([&] { return peer.Closed(); }));
  EXPECT_NE(peer.Received().find("Connection: close"), std::string::npos);
  EXPECT_TRUE(peer.Received().ends_with("too slow"));
  EXPECT_FALSE(m_listener->aborted);
}

TEST_F(ServerTest, Connections_AboveTheBound_AreClosedAndCounted)
{
  m_limits.maxConnections = 1;
  StartEcho();
  RawPeer first = Connect();
  ASSERT_TRUE(RunUntil([&] { return m_server->Connections() == 1; }));
  RawPeer second = Connect();
  EXPECT_TRUE(RunUntil([&] { return second.Closed(); }));
  EXPECT_EQ(m_refusals[HttpRefusal::kTooManyConnections], 1);
}

struct RefusalCase
{
  const char* name;
  std::string request;
  HttpRefusal refusal;
  int status;
};

void
PrintTo(const RefusalCase& aCase, std::ostream* aStream)
{
  *aStream << aCase.name;
}

class RefusalTest
  : public LoopbackTest
  , public ::testing::WithParamInterface<RefusalCase>
{};

TEST_P(RefusalTest, Request_Bad_IsAnsweredCountedAndNeverHandled)
{
  const RefusalCase& bad = GetParam();
  int handled = 0;
  StartServer([&](const ExchangePtr& aExchange) {
    ++handled;
    Answer(*aExchange, "");
  });
  RawPeer peer(m_base.get(), m_server->LocalEndpoint());
  peer.Write(bad.request + "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(RunUntil([&] { return peer.Closed(); }));
  EXPECT_EQ(handled, 0);
  EXPECT_EQ(m_refusals[bad.refusal], 1);
  EXPECT_TRUE(
    peer.Received().starts_with("HTTP/1.1 " + std::to_string(bad.status) + " "))
    << peer.Received();
}

std::string
Post(const std::string& aFields, const std::string& aBody = "0\r\n\r\n")
{
  return "POST / HTTP/1.1\r\nHost: a\r\n" + aFields + "\r\n" + aBody;
}

const RefusalCase kRefusals[] = {
  { "LengthAndChunked",
    Post("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
    HttpRefusal::kAmbiguousLength,
    400 },
  { "ChunkedAndLength",
    Post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
    HttpRefusal::kAmbiguousLength,
    400 },
  { "TwoLengths",
    Post("Content-Length: 4\r\nContent-Length: 5\r\n"),
    HttpRefusal::kAmbiguousLength,
    400 },
  { "UnknownCoding",
    Post("Transfer-Encoding: gzip, chunked\r\n"),
    HttpRefusal::kAmbiguousLength,
    400 },
  { "ChunkedTwice",
    Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
    HttpRefusal::kAmbiguousLength,
    400 },
  { "ChunkedInHttp10",
    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    HttpRefusal::kAmbiguousLength,
    400 },
  { "BlankBeforeColon",
    Post("Content-Length : 4\r\n"),
    HttpRefusal::kMalformed,
    400 },
  { "SignedLength",
    Post("Content-Length: +4\r\n"),
    HttpRefusal::kMalformed,
    400 },
  { "LengthOverflow",
    Post("Content-Length: 99999999999999999999\r\n"),
    HttpRefusal::kMalformed,
    400 },
  { "NoHost", "GET / HTTP/1.1\r\n\r\n", HttpRefusal::kMalformed, 400 },
  { "TwoHosts", Post("Host: b\r\n"), HttpRefusal::kMalformed, 400 },
  { "Asterisk",
    "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
    HttpRefusal::kBadTarget,
    400 },
  { "Connect",
    "CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n",
    HttpRefusal::kBadMethod,
    501 },
  { "UnknownMethod",
    "FETCH / HTTP/1.1\r\nHost: a\r\n\r\n",
    HttpRefusal::kBadMethod,
    501 },
  { "Version",
    "GET / HTTP/3.0\r\nHost: a\r\n\r\n",
    HttpRefusal::kBadVersion,
    505 },
  { "LongHead",
    Post("X: " + std::string(HttpLimits().maxHeadBytes, 'x') + "\r\n"),
    HttpRefusal::kHeadTooLarge,
    431 },
};

INSTANTIATE_TEST_SUITE_P(Shapes,
                         RefusalTest,
                         ::testing::ValuesIn(kRefusals),
                         [](const auto& aInfo) {
                           return std::string(aInfo.param.name);
                         });

}
}
