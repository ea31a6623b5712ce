#include <array>
#include <string>
#include <utility>

#include <sys/socket.h>

#include "src/Http/internal/SocketAddress.h"
#include "test/Http/LoopbackSupport.h"

namespace pistachioshift::test {
namespace {

constexpr size_t kUploadBytes = 16 * internal::kKiB * internal::kKiB;
constexpr int kRounds = 20;
const std::string kPart = "part of the body";

/** How a server ends the connection of an answer. */
enum class AnswerEnd
{
  kReset,
  kClose,          ///< Reads on until the client closes.
  kCloseThenReset, ///< The client has the end of the answer before the reset.
};

/** Answers the first bytes of a connection and leaves the rest unread. */
class EarlyAnswerServer
{
public:
  EarlyAnswerServer(event_base* aBase, std::string aAnswer)
    : m_base(aBase)
    , m_answer(std::move(aAnswer))
  {
    const auto address = internal::HttpAddressOf(Endpoint{ "127.0.0.1", 0 });
    m_listener.reset(evconnlistener_new_bind(
      aBase,
      [](
        evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
        static_cast<EarlyAnswerServer*>(aSelf)->Accept(aSocket);
      },
      this,
      LEV_OPT_CLOSE_ON_FREE,
      -1,
      address.Get(),
      static_cast<int>(address.Length())));
  }
  ~EarlyAnswerServer()
  {
    if (m_socket >= 0) {
      evutil_closesocket(m_socket);
    }
  }
  EarlyAnswerServer(const EarlyAnswerServer&) = delete;
  EarlyAnswerServer& operator=(const EarlyAnswerServer&) = delete;

  /** Ends the connection together with the answer. */
  void EndAtOnce(AnswerEnd aEnd) { m_endAtOnce = aEnd; }

  void End(AnswerEnd aEnd)
  {
    if (aEnd != AnswerEnd::kReset) {
      shutdown(m_socket, SHUT_WR);
    }
    if (aEnd == AnswerEnd::kClose) {
      m_discards = true;
      return;
    }
    m_readable.reset();
    const linger reset{ 1, 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    evutil_closesocket(std::exchange(m_socket, -1));
  }

  Endpoint LocalEndpoint() const
  {
    return internal::LocalEndpointOf(evconnlistener_get_fd(m_listener.get()));
  }

private:
  void Accept(evutil_socket_t aSocket)
  {
    m_socket = aSocket;
    m_readable.reset(event_new(
      m_base,
      aSocket,
      EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* aSelf) {
        static_cast<EarlyAnswerServer*>(aSelf)->Read();
      },
      this));
    event_add(m_readable.get(), nullptr);
  }

  void Read()
  {
    std::array<char, 1024> bytes{};
    if (std::exchange(m_answered, true) && !m_discards) {
      return;
    }
    const auto count = recv(m_socket, bytes.data(), bytes.size(), 0);
    if (m_discards) {
      if (count <= 0) {
        m_readable.reset();
      }
      return;
    }
    send(m_socket, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
    if (m_endAtOnce) {
      End(*m_endAtOnce);
    }
  }

  event_base* m_base;
  std::string m_answer;
  std::optional<AnswerEnd> m_endAtOnce;
  internal::ListenerPtr m_listener;
  internal::EventPtr m_readable;
  evutil_socket_t m_socket = -1;
  bool m_answered = false;
  bool m_discards = false;
};

class BrokenAnswerTest : public LoopbackTest
{
protected:
  /** Sends more than the sockets hold, so that it is still being written. */
  std::shared_ptr<AnswerRecorder> Upload(const EarlyAnswerServer& aServer)
  {
    m_pool = std::make_unique<HttpClientPool>(
      m_base.get(), aServer.LocalEndpoint(), m_clientLimits);
    auto answer = std::make_shared<AnswerRecorder>();
    m_exchange = m_pool->Start(
      { .method = "PUT", .target = "/", .chunked = true }, answer);
    m_exchange->SendBody(std::string(kUploadBytes, 'u'));
    return answer;
  }

  bool Done(const std::shared_ptr<AnswerRecorder>& aAnswer)
  {
    return RunUntil([&] { return aAnswer->Done(); });
  }

  /** Answer of a server that sends just these bytes and closes. */
  std::shared_ptr<AnswerRecorder> AnswerTo(const std::string& aBytes,
                                           const std::string& aMethod = "GET")
  {
    RawServer peer(m_base.get(), aBytes, true);
    m_pool = std::make_unique<HttpClientPool>(
      m_base.get(), peer.LocalEndpoint(), m_clientLimits);
    auto answer = std::make_shared<AnswerRecorder>();
    m_pool->Start({ .method = aMethod, .target = "/" }, answer)->Finish();
    EXPECT_TRUE(Done(answer));
    return answer;
  }

  void ExpectMalformed(const std::string& aBytes,
                       const std::string& aMethod = "GET")
  {
    SCOPED_TRACE(aMethod + " " + testing::PrintToString(aBytes));
    const auto answer = AnswerTo(aBytes, aMethod);
    EXPECT_FALSE(answer->head.has_value());
    EXPECT_FALSE(answer->ended);
    EXPECT_EQ(answer->failure, ClientFailure::kMalformedAnswer);
  }

  std::shared_ptr<ClientExchange> m_exchange;
};

std::string
StatusLine(const std::string& aVersion)
{
  return "HTTP/" + aVersion + " 200 OK\r\n";
}

}

// Guards against a part of a body that is passed on as a whole answer, because
// a write of the request has taken the error of the reset connection.
TEST_F(BrokenAnswerTest, AnswerWithoutLength_ResetDuringTheUpload_IsTruncated)
{
  for (const auto* version : { "1.1", "1.0" }) {
    for (int round = 0; round < kRounds; ++round) {
      EarlyAnswerServer server(m_base.get(),
                               StatusLine(version) + "\r\n" + kPart);
      const auto answer = Upload(server);
      ASSERT_TRUE(RunUntil([&] { return answer->body == kPart; }));
      server.End(AnswerEnd::kReset);
      ASSERT_TRUE(Done(answer));
      EXPECT_FALSE(answer->ended) << version << " round " << round;
      EXPECT_EQ(answer->failure, ClientFailure::kTruncatedAnswer);
    }
  }
}

// As above; the answer and the reset reach the client together.
TEST_F(BrokenAnswerTest, AnswerWithoutLength_ResetAtOnce_IsNotWhole)
{
  for (int round = 0; round < kRounds; ++round) {
    EarlyAnswerServer server(m_base.get(), StatusLine("1.1") + "\r\n" + kPart);
    server.EndAtOnce(AnswerEnd::kReset);
    const auto answer = Upload(server);
    ASSERT_TRUE(Done(answer));
    EXPECT_FALSE(answer->ended) << "round " << round;
    EXPECT_TRUE(answer->failure.has_value());
  }
}

// As above; the reset comes while the reader of the answer holds it up.
TEST_F(BrokenAnswerTest, AnswerWithoutLength_ResetWhilePaused_IsTruncated)
{
  EarlyAnswerServer server(m_base.get(), StatusLine("1.1") + "\r\n" + kPart);
  const auto answer = Upload(server);
  ASSERT_TRUE(RunUntil([&] { return answer->body == kPart; }));
  m_exchange->PauseBody();
  server.End(AnswerEnd::kReset);
  RunBriefly();
  EXPECT_FALSE(answer->Done());
  m_exchange->ResumeBody();
  ASSERT_TRUE(Done(answer));
  EXPECT_EQ(answer->failure, ClientFailure::kTruncatedAnswer);
}

// Guards against the loss of a whole answer: a server may answer early and end
// its output with the answer, whatever becomes of the request.
TEST_F(BrokenAnswerTest, AnswerWithoutLength_EndsDuringTheUpload_IsWhole)
{
  for (const auto end : { AnswerEnd::kClose, AnswerEnd::kCloseThenReset }) {
    for (int round = 0; round < kRounds; ++round) {
      EarlyAnswerServer server(m_base.get(),
                               StatusLine("1.1") + "\r\n" + kPart);
      server.EndAtOnce(end);
      const auto answer = Upload(server);
      ASSERT_TRUE(Done(answer));
      EXPECT_TRUE(answer->ended) << "round " << round;
      EXPECT_EQ(answer->body, kPart);
    }
  }
}

// Guards against an answer whose status no caller understands.
TEST_F(BrokenAnswerTest, Status_OutOfRange_IsMalformed)
{
  for (const auto* status : { "000", "001", "099", "600", "999" }) {
    ExpectMalformed(std::string("HTTP/1.1 ") + status +
                    " Status\r\nContent-Length: 2\r\n\r\nok");
  }
}

// Guards against a status that is read as another one.
TEST_F(BrokenAnswerTest, Status_NotThreeDigits_IsMalformed)
{
  for (const auto* status :
       { "0", "00", "20", "0000", "0200", "00200", "2000", "0103" }) {
    ExpectMalformed(std::string("HTTP/1.1 ") + status +
                    " Status\r\nContent-Length: 2\r\n\r\nok");
    ExpectMalformed(std::string("HTTP/1.1 ") + status + "\r\n\r\nok");
  }
}

// Guards against a status line that is read although it has no status, and
// against a check of it that depends on the request, on the end of the body or
// on what came before.
TEST_F(BrokenAnswerTest, StatusLine_WithoutStatus_IsMalformed)
{
  using namespace std::string_literals;
  const std::vector<std::string> lines{
    "HTTP/1.1 000 OK",   "HTTP/1.0 000 OK",  "HTTP/2.0 000 OK",
    "HTTP/1.1  000 OK",  "HTTP/1.1 000",     "HTTP/1.1 0200 OK",
    "HTTP/1.1 -200 OK",  "HTTP/1.1 +200 OK", "HTTP/1.1 2 00 OK",
    "HTTP/1.1 1e2 OK",   "HTTP/1.1 200OK",   "HTTP/1.1 2\0000 OK"s,
    "HTTP/1.1 \t200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 \u0662\u0660\u0660 OK",
    "HTTP/1.1 OK",       "HTTP/1.1 ",        "HTTP/1.1",
    "http/1.1 200 OK",   "HTTP/2.0 200 OK",  "Content-Type: text/plain",
  };
  const std::vector<std::string> rests{
    "\r\n",
    "Content-Length: 2\r\n\r\nok",
    "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
  };
  for (const auto& line : lines) {
    for (const auto& rest : rests) {
      for (const auto* method : { "GET", "HEAD" }) {
        auto answer = line;
        answer.append("\r\n").append(rest);
        ExpectMalformed(answer, method);
        ExpectMalformed("HTTP/1.1 103 Early Hints\r\n\r\n" + answer, method);
      }
    }
  }
}

// Guards against a check that is done only for the first answer of a
// connection.
TEST_F(BrokenAnswerTest, Status_NoneOnAKeptConnection_IsMalformed)
{
  for (const auto* status : { "000", "0200" }) {
    RawServer peer(
      m_base.get(), StatusLine("1.1") + "Content-Length: 2\r\n\r\nok", false);
    m_pool = std::make_unique<HttpClientPool>(
      m_base.get(), peer.LocalEndpoint(), m_clientLimits);
    for (const bool first : { true, false }) {
      auto answer = std::make_shared<AnswerRecorder>();
      m_pool->Start({ .method = "GET", .target = "/" }, answer)->Finish();
      ASSERT_TRUE(Done(answer));
      EXPECT_EQ(answer->ended, first) << status;
      peer.SetAnswer(std::string("HTTP/1.1 ") + status +
                     " OK\r\nContent-Length: 2\r\n\r\nok");
      if (!first) {
        EXPECT_EQ(answer->failure, ClientFailure::kMalformedAnswer) << status;
      }
    }
    EXPECT_EQ(peer.Accepted(), 1);
  }
}

// Guards against a status that is taken for the answer to an upload because
// the rest of the upload is still being written.
TEST_F(BrokenAnswerTest, Status_NoneDuringTheUpload_IsMalformed)
{
  for (const auto end : { AnswerEnd::kClose, AnswerEnd::kCloseThenReset }) {
    for (const auto* head :
         { "HTTP/1.1 000 OK\r\n\r\n",
           "HTTP/1.1 0200 OK\r\nContent-Length: 16\r\n\r\n" }) {
      EarlyAnswerServer server(m_base.get(), head + kPart);
      server.EndAtOnce(end);
      const auto answer = Upload(server);
      ASSERT_TRUE(Done(answer));
      EXPECT_FALSE(answer->head.has_value()) << head;
      EXPECT_EQ(answer->failure, ClientFailure::kMalformedAnswer) << head;
    }
  }
}

// Guards against a line that is passed on with such a name, and against a body
// that is read by a length that the server has not stated.
TEST_F(BrokenAnswerTest, FieldName_WithBlankOrControlByte_IsMalformed)
{
  std::string bytes(1, '\x7f');
  for (char byte = 0; byte <= ' '; ++byte) {
    bytes.push_back(byte);
  }
  for (const char byte : bytes) {
    for (const std::string name : { "X-Shop", "Content-Length" }) {
      for (const size_t at : { size_t{ 0 }, size_t{ 3 }, name.size() }) {
        auto spoiled = name;
        spoiled.insert(at, 1, byte);
        const auto line = spoiled + ": 1\r\n";
        ExpectMalformed(StatusLine("1.1") + line + "\r\nok");
        ExpectMalformed(StatusLine("1.1") + "Server: s\r\n" + line +
                        "Content-Length: 2\r\n\r\nok");
      }
    }
  }
}

// Guards against a cut answer that looks whole to a caller who has only the end
// of the connection to go by.
TEST_F(BrokenAnswerTest, CallerOfHttp10_AnswerIsAborted_ConnectionIsReset)
{
  std::shared_ptr<ServerExchange> exchange;
  StartServer([&](const std::shared_ptr<ServerExchange>& aExchange) {
    exchange = aExchange;
    exchange->SendHead({ .status = 200 });
    exchange->SendBody(kPart);
  });
  for (const bool whole : { true, false }) {
    RawPeer peer(m_base.get(), m_server->LocalEndpoint());
    peer.Write("GET / HTTP/1.0\r\n\r\n");
    ASSERT_TRUE(RunUntil([&] { return peer.Received().ends_with(kPart); }));
    if (whole) {
      exchange->Finish();
    } else {
      exchange->Abort();
    }
    ASSERT_TRUE(RunUntil([&] { return peer.Closed(); }));
    EXPECT_EQ(peer.IsReset(), !whole);
  }
}

// Guards against the loss of a whole answer: its caller still sends a body that
// nobody reads when the server is closed.
TEST_F(BrokenAnswerTest, CallerOfHttp10_ServerClosesAfterTheAnswer_IsNotReset)
{
  StartServer([](const std::shared_ptr<ServerExchange>& aExchange) {
    aExchange->SendHead({ .status = 200 });
    aExchange->SendBody(kPart);
    aExchange->Finish();
  });
  RawPeer peer(m_base.get(), m_server->LocalEndpoint());
  peer.Write("POST / HTTP/1.0\r\nContent-Length: 9\r\n\r\npart");
  ASSERT_TRUE(RunUntil([&] { return peer.Received().ends_with(kPart); }));
  m_server.reset();
  ASSERT_TRUE(RunUntil([&] { return peer.Closed(); }));
  EXPECT_FALSE(peer.IsReset());
}

}
