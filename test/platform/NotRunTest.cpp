#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <algorithm>

#include <fmt/format.h>

#include "src/Http/internal/EventHandles.h"
#include "src/Http/internal/SocketAddress.h"
#include "test/platform/ServerTaskSupport.h"

namespace pistachioshift::platform::test {

/** Keeps the refusals of calls. */
class RefusalListener : public EndCounter
{
public:
  void OnRefused(const CallRefusal& aRefusal) override
  {
    EndCounter::OnRefused(aRefusal);
    last = aRefusal;
  }

  CallRefusal last;
};

/** Requests of which the daemon says that they did not run. */
class NotRunTest : public ServerTaskTest
{
protected:
  NotRunTest() { m_ends = m_listener; }

  void Answer(const std::shared_ptr<ServerExchange>& aExchange) override
  {
    if (!m_refuses) {
      m_held.push_back(aExchange); // It runs, without an answer yet.
      return;
    }
    ResponseHead head;
    head.status = 503;
    head.contentLength = 0;
    head.headers.Set(names::kNotRun, "1");
    head.headers.Set(names::kRequestId,
                     *aExchange->Head().headers.Find(names::kRequestId));
    aExchange->SendHead(head);
    aExchange->Finish();
  }

  /** Starts a request and returns its id in the outcome table. */
  RequestId Send()
  {
    auto next = m_random;
    const auto id = DrawRequestId(next);
    Request();
    return id;
  }

  RequestState Query(const RequestId& aId)
  {
    return m_server.QueryOutcome(aId, m_server.Position()).state;
  }

  bool m_refuses = false;
  std::vector<std::shared_ptr<ServerExchange>> m_held;
  std::shared_ptr<RefusalListener> m_listener =
    std::make_shared<RefusalListener>();
};

// Guards against a failure of the HTTP client that stands for "not run" and is
// believed although the request has been written: it runs.
TEST_F(NotRunTest, Failure_AfterTheRequestIsWritten_IsUnknownAndCounted)
{
  Join();
  const auto id = Send();
  Run(milliseconds(50));
  ASSERT_EQ(m_held.size(), 1U);
  EXPECT_TRUE(HasWithdrawn(0));
  const auto call = std::dynamic_pointer_cast<OwnerCall>(m_calls.back());
  call->OnFailed(ClientFailure::kNotWritten);
  EXPECT_EQ(m_listener->last.outcome, Outcome::kUnknown);
  EXPECT_EQ(Query(id), RequestState::kDone);
  m_faults = 1; // Is checked at the end of the test.
}

// Guards against false alarms: the server's own refusal, and a connection that
// was refused.
TEST_F(NotRunTest, Refusal_ByTheServerOrTheConnect_IsNotRunAndNotCounted)
{
  Join();
  m_refuses = true;
  const auto refused = Send();
  Run(milliseconds(50));
  EXPECT_EQ(m_listener->last.reason, RefusalReason::kShed);
  EXPECT_EQ(m_listener->last.outcome, Outcome::kNotRun);
  EXPECT_EQ(Query(refused), RequestState::kNeverSeen);
  m_backend.reset();
  const auto unsent = Send();
  Run(milliseconds(50));
  EXPECT_EQ(m_listener->last.reason, RefusalReason::kBackendDown);
  EXPECT_EQ(m_listener->last.outcome, Outcome::kNotRun);
  EXPECT_EQ(Query(unsent), RequestState::kNeverSeen);
}

// Guards against a request that is started after its sender was told that it
// has never been seen.
TEST_F(NotRunTest, Query_BeforeTheRequestIsAdmitted_ItNeverStarts)
{
  Join();
  const auto id = Send();
  EXPECT_EQ(Query(id), RequestState::kNeverSeen);
  Run(milliseconds(50));
  EXPECT_TRUE(m_held.empty());
  EXPECT_EQ(m_listener->last.reason, RefusalReason::kPoisoned);
}

// Guards against a call that its sender cancels once its request is written,
// and of which a later query says that it was never seen.
TEST_F(NotRunTest, Cancel_AfterTheRequestIsWritten_IsNotForgotten)
{
  Join();
  const auto id = Send();
  Run(milliseconds(50));
  ASSERT_EQ(m_held.size(), 1U);
  EXPECT_EQ(Query(id), RequestState::kRunning);
  m_calls.back()->Cancel();
  EXPECT_EQ(Query(id), RequestState::kDone);
}

/**
 * A backend server that refuses the first request, keeps the connection, and
 * runs each later one. On each connection that has carried the refusal it
 * writes that refusal once more as soon as it has read a request to run.
 */
class RepeatingServer
{
public:
  RepeatingServer(event_base* aBase, const Endpoint& aAddress)
    : m_base(aBase)
  {
    const auto address = internal::HttpAddressOf(aAddress);
    auto accept =
      [](
        evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
        static_cast<RepeatingServer*>(aSelf)->Accept(aSocket);
      };
    m_listener.reset(
      evconnlistener_new_bind(aBase,
                              accept,
                              this,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                              -1,
                              address.Get(),
                              static_cast<int>(address.Length())));
  }

  int ran = 0;

private:
  void Accept(evutil_socket_t aSocket)
  {
    m_streams.emplace_back(
      bufferevent_socket_new(m_base, aSocket, BEV_OPT_CLOSE_ON_FREE));
    auto read = [](bufferevent* aStream, void* aSelf) {
      static_cast<RepeatingServer*>(aSelf)->Read(aStream);
    };
    bufferevent_setcb(m_streams.back().get(), read, nullptr, nullptr, this);
    bufferevent_enable(m_streams.back().get(), EV_READ | EV_WRITE);
  }

  void Read(bufferevent* aStream)
  {
    auto* input = bufferevent_get_input(aStream);
    std::string text(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, text.data(), text.size());
    const auto field = fmt::format("\r\n{}: ", names::kRequestId);
    const auto from = text.find(field) + field.size();
    const auto id = text.substr(from, text.find("\r\n", from) - from);
    const auto refusal = fmt::format(
      "HTTP/1.1 503 -\r\n{}: {}\r\n{}: 1\r\nContent-Length: 0\r\n\r\n",
      names::kRequestId,
      id,
      names::kNotRun);
    if (m_refusedOn == nullptr) {
      m_refusedOn = aStream;
      Write(*aStream, refusal);
      return;
    }
    ++ran;
    if (aStream == m_refusedOn) {
      Write(*aStream, refusal);
    }
    Write(*aStream,
          fmt::format(
            "HTTP/1.1 200 -\r\n{}: {}\r\n{}: s\r\nContent-Length: 0\r\n\r\n",
            names::kRequestId,
            id,
            names::kSignature));
  }

  static void Write(bufferevent& aStream, const std::string& aBytes)
  {
    bufferevent_write(&aStream, aBytes.data(), aBytes.size());
  }

  event_base* m_base;
  internal::ListenerPtr m_listener;
  std::vector<internal::BufferEventPtr> m_streams;
  const bufferevent* m_refusedOn = nullptr;
};

// Guards against a second copy of a refusal that is taken for the answer to the
// next send of the same request, which runs. The ids are equal, so only a
// connection that has not carried the refusal can tell them apart.
TEST_F(NotRunTest, Refusal_WrittenTwice_SecondSendIsNotTakenForNotRun)
{
  Join();
  m_backend.reset();
  const RepeatingServer server(m_base.get(), m_address);
  Request();
  Run(milliseconds(50));
  ASSERT_EQ(m_listener->refusals,
            std::vector<RefusalReason>{ RefusalReason::kShed });
  m_requests = 0; // The same request again.
  Request();
  Run(milliseconds(50));
  EXPECT_EQ(server.ran, 1);
  EXPECT_EQ(m_listener->refusals.size(), 1U);
  EXPECT_EQ(m_listener->answered, 1);
}

}
