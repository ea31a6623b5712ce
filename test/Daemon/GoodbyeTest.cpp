#include <thread>

#include <event2/event.h>
#include <gtest/gtest.h>

#include "Pistachioshift/Routing"
#include "src/Daemon/InnerServerTask.h"
#include "src/Daemon/Peer.h"
#include "src/Daemon/PeersTask.h"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;

constexpr double kUnlimitedRate = 0.0;
constexpr Duration kTestTimeout = 10s;

/** \brief A call that never ends by itself. */
class PendingCall : public Call
{
public:
  bool SendBody(std::string_view) override { return true; }
  void Finish() override {}
  void PauseBody() override {}
  void ResumeBody() override {}
  void Cancel() override { cancelled = true; }

  bool cancelled = false;
};

/** \brief Accepts requests and leaves their answers to the test. */
class PendingServer : public CallServer
{
public:
  std::shared_ptr<Call> Start(CallRequest,
                              std::shared_ptr<CallListener> aListener) override
  {
    listeners.push_back(std::move(aListener));
    calls.push_back(std::make_shared<PendingCall>());
    return calls.back();
  }

  OutcomeQueryResult QueryOutcome(const RequestId&, TablePosition) override
  {
    return { RequestState::kDone, CachedResponse{ 200, "kept" } };
  }

  TablePosition Position() const override { return {}; }

  std::vector<std::shared_ptr<CallListener>> listeners;
  std::vector<std::shared_ptr<PendingCall>> calls;
};

/** \brief Records how a call ended. */
class RecordingListener : public CallListener
{
public:
  void OnHead(const ResponseHead& aHead, const FenceToken&) override
  {
    status = aHead.status;
  }
  void OnBody(std::string_view aData) override { body += aData; }
  void OnEnd() override { whole = true; }
  void OnDrained() override {}
  void OnRefused(const CallRefusal& aRefusal) override { refusal = aRefusal; }
  void OnLost(CallLoss aLoss) override { loss = aLoss; }

  bool Ended() const { return whole || refusal || loss; }

  int status = 0;
  std::string body;
  bool whole = false;
  std::optional<CallRefusal> refusal;
  std::optional<CallLoss> loss;
};

/** \brief Two daemons' connection tasks on one event loop. */
class GoodbyeTest : public ::testing::Test
{
protected:
  GoodbyeTest()
    : m_base(event_base_new(), event_base_free)
    , m_bulk(m_base.get(), m_clock, kUnlimitedRate)
    , m_inner(std::make_unique<InnerServerTask>(m_base.get(),
                                                m_clock,
                                                Endpoint{ "127.0.0.1", 0 },
                                                BootId(1),
                                                m_server,
                                                Services(),
                                                m_metrics,
                                                m_bulk))
    , m_peers(std::make_unique<PeersTask>(m_base.get(),
                                          m_clock,
                                          BootId(2),
                                          m_logger,
                                          m_metrics))
  {
  }

  static InnerServices Services()
  {
    InnerServices services;
    services.self = [] { return DaemonId(); };
    return services;
  }

  std::shared_ptr<RecordingListener> Send()
  {
    CallRequest request;
    request.id = { 1, ++m_lastId };
    request.head.method = "GET";
    request.head.target = "/";
    request.deadline = m_clock.Now() + kTestTimeout;
    auto listener = std::make_shared<RecordingListener>();
    m_sent.push_back(
      m_peers->Start(m_inner->LocalEndpoint(), request, listener));
    return listener;
  }

  template<class Condition>
  bool WaitFor(Condition aCondition)
  {
    const auto end = m_clock.Now() + kTestTimeout;
    while (!aCondition() && m_clock.Now() < end) {
      event_base_loop(m_base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    return aCondition();
  }

  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
  SystemClock m_clock;
  Metrics m_metrics;
  Logger m_logger{ "test", LogLevel::kError };
  PendingServer m_server;
  BulkQueue m_bulk;
  std::unique_ptr<InnerServerTask> m_inner;
  std::unique_ptr<PeersTask> m_peers;
  std::vector<std::shared_ptr<Call>> m_sent;
  uint64_t m_lastId = 0;
};

// Guards against 502 for a request that a stopping daemon never read: its
// sender took the closed connection for an unknown outcome.
TEST_F(GoodbyeTest, Goodbye_RequestOnItsWay_IsKnownNotToRun)
{
  const auto first = Send();
  ASSERT_TRUE(WaitFor([&] { return m_server.listeners.size() == 1; }));
  m_server.listeners.front()->OnRefused({});
  ASSERT_TRUE(WaitFor([&] { return first->Ended(); }));
  const auto onItsWay = Send();
  m_inner->SayGoodbye();
  ASSERT_TRUE(WaitFor([&] { return onItsWay->Ended(); }));
  EXPECT_EQ(onItsWay->loss, CallLoss::kNotSent);
  EXPECT_EQ(m_server.listeners.size(), 1U) << "it was started all the same";
}

// Guards against an exit that waits for its peers although all know of it.
TEST_F(GoodbyeTest, Goodbye_PeersKnow_TheyCloseTheirConnections)
{
  const auto call = Send();
  ASSERT_TRUE(WaitFor([&] { return m_inner->Sessions() == 1; }));
  m_inner->SayGoodbye();
  EXPECT_TRUE(WaitFor([&] { return m_inner->Sessions() == 0; }));
  EXPECT_EQ(call->loss, CallLoss::kNotSent);
}

// Guards against "not run" for a request that its backend server worked on.
TEST_F(GoodbyeTest, Goodbye_RequestRuns_OutcomeStaysUnknown)
{
  const auto call = Send();
  ASSERT_TRUE(WaitFor([&] { return m_server.listeners.size() == 1; }));
  m_inner->FailRunning();
  m_inner->SayGoodbye();
  ASSERT_TRUE(WaitFor([&] { return call->Ended(); }));
  ASSERT_TRUE(call->refusal);
  EXPECT_EQ(call->refusal->outcome, Outcome::kUnknown);
  EXPECT_TRUE(m_server.calls.front()->cancelled);
}

// Guards against an answer lost at a stop although it was complete.
TEST_F(GoodbyeTest, Goodbye_AnswerSentBefore_IsDelivered)
{
  const auto call = Send();
  ASSERT_TRUE(WaitFor([&] { return m_server.listeners.size() == 1; }));
  const auto answer = m_server.listeners.front();
  answer->OnHead(ResponseHead{ .status = 200, .contentLength = 5 }, {});
  answer->OnBody("whole");
  answer->OnEnd();
  m_inner->SayGoodbye();
  ASSERT_TRUE(WaitFor([&] { return call->Ended(); }));
  EXPECT_TRUE(call->whole);
  EXPECT_EQ(call->body, "whole");
}

/** \brief A paused call whose whole answer has arrived. */
class PausedAnswerTest : public GoodbyeTest
{
protected:
  PausedAnswerTest()
    : m_call(Send())
  {
    EXPECT_TRUE(WaitFor([&] { return m_server.listeners.size() == 1; }));
    const auto answer = m_server.listeners.front();
    answer->OnHead(ResponseHead{ .status = 200, .contentLength = 10 }, {});
    answer->OnBody("first");
    EXPECT_TRUE(WaitFor([&] { return m_call->body == "first"; }));
    m_sent.front()->PauseBody();
    answer->OnBody("-rest");
    answer->OnEnd();
    // A later request on the same link is answered after it.
    const auto next = Send();
    EXPECT_TRUE(WaitFor([&] { return m_server.listeners.size() == 2; }));
    m_server.listeners.back()->OnRefused({});
    EXPECT_TRUE(WaitFor([&] { return next->Ended(); }));
    EXPECT_FALSE(m_call->Ended());
  }

  void ExpectWholeOnceResumed()
  {
    EXPECT_FALSE(m_call->Ended());
    EXPECT_EQ(m_call->body, "first");
    m_sent.front()->ResumeBody();
    EXPECT_TRUE(m_call->whole);
    EXPECT_EQ(m_call->body, "first-rest");
    EXPECT_FALSE(m_call->loss);
  }

  std::shared_ptr<RecordingListener> m_call;
};

// Guards against an answer that is cut at a planned stop although all of it has
// arrived: its caller had not read it yet.
TEST_F(PausedAnswerTest, Goodbye_CallerReadsLater_AnswerIsDelivered)
{
  m_inner->SayGoodbye();
  WaitFor([&] { return m_inner->Sessions() == 0; });
  ExpectWholeOnceResumed();
}

// The same, when the other daemon ends without a goodbye.
TEST_F(PausedAnswerTest, LinkEnds_CallerReadsLater_AnswerIsDelivered)
{
  m_inner.reset();
  ASSERT_TRUE(WaitFor([&] { return m_peers->Connections() == 0; }));
  ExpectWholeOnceResumed();
}

// Guards against a call that is kept for a caller who has left.
TEST_F(PausedAnswerTest, Goodbye_CallerCancels_NothingIsDelivered)
{
  m_inner->SayGoodbye();
  WaitFor([&] { return m_inner->Sessions() == 0; });
  m_sent.front()->Cancel();
  m_sent.front()->ResumeBody();
  EXPECT_FALSE(m_call->whole);
  EXPECT_EQ(m_call->body, "first");
}

// Guards against an unknown outcome where the stopping daemon still knows it.
TEST_F(GoodbyeTest, Goodbye_OutcomeQueryPending_IsAnswered)
{
  std::optional<OutcomeQueryResult> result;
  bool connected = false;
  const auto call = Send();
  ASSERT_TRUE(WaitFor([&] { return m_server.listeners.size() == 1; }));
  m_peers->QueryOutcome(m_inner->LocalEndpoint(),
                        { 1, 1 },
                        {},
                        [&](const auto& aResult) { result = aResult; });
  connected = WaitFor([&] { return m_inner->Sessions() == 2; });
  ASSERT_TRUE(connected);
  m_inner->SayGoodbye();
  ASSERT_TRUE(WaitFor([&] { return result.has_value(); }));
  EXPECT_EQ(result->state, RequestState::kDone);
}

// Guards against a status that is none and that a caller gets from another
// daemon, and against a link that serves nobody afterwards.
TEST_F(GoodbyeTest, Answer_StatusNotFinal_CallIsLostAndTheNextIsServed)
{
  for (const int status : { 0, 99, 100, 600, 200 }) {
    const auto call = Send();
    ASSERT_TRUE(WaitFor([&] { return !m_server.listeners.empty(); }));
    const auto listener = std::exchange(m_server.listeners, {}).front();
    listener->OnHead({ .status = status }, FenceToken());
    listener->OnEnd();
    ASSERT_TRUE(WaitFor([&] { return call->Ended(); }));
    EXPECT_EQ(call->status, status == 200 ? 200 : 0);
    EXPECT_EQ(call->whole, status == 200);
    EXPECT_EQ(call->loss.has_value(), status != 200);
    EXPECT_NE(call->loss, CallLoss::kNotSent) << status;
  }
}

/** \brief Accepts requests and answers queries as an owner's daemon does. */
class TableServer : public PendingServer
{
public:
  std::shared_ptr<Call> Start(CallRequest aRequest,
                              std::shared_ptr<CallListener> aListener) override
  {
    table.Begin(aRequest.id, aRequest.known);
    return PendingServer::Start(std::move(aRequest), std::move(aListener));
  }

  OutcomeQueryResult QueryOutcome(const RequestId& aId,
                                  TablePosition aKnown) override
  {
    return table.Query(aId, aKnown);
  }

  TablePosition Position() const override { return table.Position(); }

  OutcomeTable table;
};

/** \brief Fails on each request, which ends the connection but not the
 * process: the request isn't recorded. */
class FailingServer : public TableServer
{
public:
  std::shared_ptr<Call> Start(CallRequest,
                              std::shared_ptr<CallListener>) override
  {
    throw std::runtime_error("injected failure");
  }
};

/** \brief Loses the connection on which a write was sent, and asks for its
 * outcome. */
class LostWriteTest : public GoodbyeTest
{
protected:
  LostWriteTest()
  {
    m_inner.reset();
    m_peers = std::make_unique<PeersTask>(
      m_base.get(), m_time, BootId(2), m_logger, m_metrics);
  }
  ~LostWriteTest() override { m_inner.reset(); }

  void StartOwner(BootId aBoot, CallServer& aServer)
  {
    m_inner = std::make_unique<InnerServerTask>(m_base.get(),
                                                m_time,
                                                m_endpoint,
                                                aBoot,
                                                aServer,
                                                Services(),
                                                m_metrics,
                                                m_bulk);
    m_time.Advance(kStep);
  }

  void OpenWrite()
  {
    CallRequest request;
    request.id = kWrite;
    request.head.method = "POST";
    request.head.target = "/";
    request.deadline = m_time.Now() + kTestTimeout;
    m_call = m_peers->Start(m_endpoint, request, m_listener);
    m_time.Advance(kStep);
  }

  /** What the requester makes of the reply to its query. */
  std::optional<RequestState> Query()
  {
    EXPECT_TRUE(WaitFor([&] { return m_listener->Ended(); }));
    EXPECT_EQ(m_listener->loss, CallLoss::kClosed);
    std::optional<RequestState> state;
    m_peers->QueryOutcome(m_endpoint, kWrite, {}, [&](const auto& aResult) {
      state = aResult.state;
    });
    EXPECT_TRUE(WaitFor([&] { return state.has_value(); }));
    return state;
  }

  /** The write runs, then another process takes the place of the owner's. */
  std::optional<RequestState> QueryAfterReplacement(BootId aBefore,
                                                    BootId aAfter)
  {
    TableServer before;
    TableServer after;
    StartOwner(aBefore, before);
    OpenWrite();
    EXPECT_TRUE(WaitFor([&] { return before.listeners.size() == 1; }));
    m_inner.reset();
    StartOwner(aAfter, after);
    const auto state = Query();
    m_inner.reset();
    return state;
  }

  static constexpr Duration kStep = std::chrono::milliseconds(100);
  static constexpr RequestId kWrite{ 1, 1 };

  const Endpoint m_endpoint = m_inner->LocalEndpoint();
  ManualClock m_time; ///< Of both daemons.
  std::shared_ptr<RecordingListener> m_listener =
    std::make_shared<RecordingListener>();
  std::shared_ptr<Call> m_call;
};

// Guards against TWICE: the write would be sent again.
TEST_F(LostWriteTest, Query_NewProcess_IsNotTakenForNeverSeen)
{
  EXPECT_NE(QueryAfterReplacement(BootId(3), BootId(4)),
            RequestState::kNeverSeen);
}

// Guards against REFUSED: after a loss of power, the new process has drawn the
// boot id of the one before, and the write that ran is answered as "not run".
TEST_F(LostWriteTest, Query_NewProcessWithTheSameBootId_IsNotTakenForNeverSeen)
{
  EXPECT_NE(QueryAfterReplacement(BootId(3), BootId(3)),
            RequestState::kNeverSeen);
}

// Guards against REFUSED: with the position of an earlier process, a later
// query of the new one would be answered although its record was evicted.
TEST_F(LostWriteTest, KnownPosition_NewProcessWithTheSameBootId_IsItsOwn)
{
  FailingServer server;
  server.table.Begin({ 2, 1 }, {});
  server.table.Begin({ 2, 2 }, {});
  StartOwner(BootId(3), server);
  OpenWrite();
  EXPECT_TRUE(WaitFor([&] { return m_listener->Ended(); }));
  EXPECT_EQ(m_peers->KnownPosition(m_endpoint), TablePosition(2));
  m_inner.reset();
  TableServer after;
  StartOwner(BootId(3), after);
  Query();
  EXPECT_EQ(m_peers->KnownPosition(m_endpoint), TablePosition(0));
  m_inner.reset();
}

// Guards against REFUSED where a daemon of an earlier version states no uptime,
// or where the process started after the attempt.
TEST(OutcomeEvidenceTest, IsSameProcess_OnlyIfItRanBeforeTheAttempt)
{
  OutcomeEvidence evidence;
  evidence.sameBoot = true;
  evidence.age = std::chrono::seconds(2);
  EXPECT_FALSE(evidence.IsSameProcess());
  evidence.uptime = std::chrono::milliseconds(1999);
  EXPECT_FALSE(evidence.IsSameProcess());
  evidence.uptime = std::chrono::seconds(2);
  EXPECT_TRUE(evidence.IsSameProcess());
  evidence.sameBoot = false;
  EXPECT_FALSE(evidence.IsSameProcess());
}

// Guards against answers 502 for writes that can be sent again: the process
// that would have run the write still exists and has not seen it.
TEST_F(LostWriteTest, Query_SameProcessHasNotSeenIt_IsNeverSeen)
{
  FailingServer server;
  StartOwner(BootId(3), server);
  OpenWrite();
  EXPECT_EQ(Query(), RequestState::kNeverSeen);
  m_inner.reset();
}

// Guards against "not sent" for a request that the owner starts: the connect
// timeout was due in the round of the event loop that wrote the request.
TEST_F(GoodbyeTest, Start_LoopIsLateWhileConnecting_IsNotCalledNotSent)
{
  const auto call = Send();
  std::this_thread::sleep_for(2 * ConnectionSettings().connectTimeout);
  ASSERT_TRUE(WaitFor([&] { return m_server.listeners.size() == 1; }));
  EXPECT_NE(call->loss, CallLoss::kNotSent);
  EXPECT_FALSE(call->Ended());
}

/**
 * While a host is cut off, each request for its keys used to wait for a
 * connection attempt to time out.
 */
TEST_F(GoodbyeTest, Start_PeerUnreachable_FailsAtOnceUntilAnAttemptIsDue)
{
  const auto endpoint = m_inner->LocalEndpoint();
  const auto start = [&] {
    CallRequest request;
    request.id = { 1, ++m_lastId };
    request.head.method = "GET";
    request.head.target = "/";
    request.deadline = m_clock.Now() + kTestTimeout;
    auto listener = std::make_shared<RecordingListener>();
    m_sent.push_back(m_peers->Start(endpoint, request, listener));
    return listener;
  };
  m_inner.reset();
  const auto first = start();
  ASSERT_TRUE(WaitFor([&] { return first->Ended(); }));
  EXPECT_EQ(first->loss, CallLoss::kNotSent);
  m_inner = std::make_unique<InnerServerTask>(m_base.get(),
                                              m_clock,
                                              endpoint,
                                              BootId(1),
                                              m_server,
                                              Services(),
                                              m_metrics,
                                              m_bulk);
  const auto second = start();
  EXPECT_FALSE(second->Ended()) << "called before Start returned";
  ASSERT_TRUE(WaitFor([&] { return second->Ended(); }));
  EXPECT_EQ(second->loss, CallLoss::kNotSent);
  EXPECT_TRUE(m_server.listeners.empty());
  const auto due = m_clock.Now() + 500ms;
  ASSERT_TRUE(WaitFor([&] { return m_clock.Now() >= due; }));
  start();
  EXPECT_TRUE(WaitFor([&] { return m_server.listeners.size() == 1; }));
}

}
}
