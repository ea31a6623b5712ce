#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <event2/event.h>
#include <gtest/gtest.h>

#include "src/Daemon/InnerServerTask.h"

namespace pistachioshift {

using std::chrono::seconds;

/** A call that does nothing. */
class CallDouble : public Call
{
public:
  bool SendBody(std::string_view) override { return true; }
  void Finish() override {}
  void PauseBody() override {}
  void ResumeBody() override {}
  void Cancel() override {}
};

/** Keeps the listeners of the calls; the test plays the answers. */
class CallServerDouble : public CallServer
{
public:
  std::shared_ptr<Call> Start(CallRequest,
                              std::shared_ptr<CallListener> aListener) override
  {
    calls.push_back(std::move(aListener));
    return std::make_shared<CallDouble>();
  }

  OutcomeQueryResult QueryOutcome(const RequestId&, TablePosition) override
  {
    return {};
  }

  TablePosition Position() const override { return position; }

  TablePosition position;
  std::vector<std::shared_ptr<CallListener>> calls;
};

/** Another daemon; counts what it receives on its connection. */
class PeerDouble : public ConnectionListener
{
public:
  void OnFrame(Connection&, Frame aFrame) override
  {
    if (const auto* body = std::get_if<BodyChunk>(&aFrame)) {
      bytes += body->data.size();
      last = body->last;
    } else if (const auto* pong = std::get_if<Pong>(&aFrame)) {
      position = pong->position;
    } else if (const auto* refused = std::get_if<Refused>(&aFrame)) {
      positionAtRefusal = position;
      outcome = refused->outcome;
    }
  }
  void OnDrained(Connection&) override {}
  void OnClosed(Connection&, CloseReason aReason) override { end = aReason; }

  size_t bytes = 0;
  bool last = false;
  std::optional<TablePosition> position;
  std::optional<TablePosition> positionAtRefusal;
  std::optional<Outcome> outcome;
  std::optional<CloseReason> end;
};

/** A daemon that serves another one. */
class InnerServerTest : public ::testing::Test
{
protected:
  ~InnerServerTest() override
  {
    m_calls.calls.clear();
    m_connection.reset();
    m_server.reset();
    event_base_free(m_base);
  }

  static InnerServices Services()
  {
    InnerServices services;
    services.self = [] { return DaemonId(); };
    return services;
  }

  /** Opens a request on a new connection. */
  std::shared_ptr<PeerDouble> Request()
  {
    auto peer = std::make_shared<PeerDouble>();
    m_connection = Connection::Connect(
      m_base, m_clock, m_server->LocalEndpoint(), ConnectionSettings(), peer);
    m_connection->Send(RequestOpen{ .stream = StreamId(1) });
    const auto before = m_calls.calls.size();
    EXPECT_TRUE(RunUntil([&] { return m_calls.calls.size() > before; }));
    return peer;
  }

  template<class Condition>
  bool RunUntil(const Condition& aDone)
  {
    const auto until = m_clock.Now() + seconds(20);
    while (!aDone() && m_clock.Now() < until) {
      const timeval slice{ 0, 5000 };
      event_base_loopexit(m_base, &slice);
      event_base_dispatch(m_base);
    }
    return aDone();
  }

  event_base* m_base = event_base_new();
  SystemClock m_clock;
  Metrics m_metrics;
  CallServerDouble m_calls;
  BulkQueue m_bulk{ m_base, m_clock, 0.0 };
  std::unique_ptr<InnerServerTask> m_server =
    std::make_unique<InnerServerTask>(m_base,
                                      m_clock,
                                      Endpoint{ "127.0.0.1", 0 },
                                      BootId(1),
                                      m_calls,
                                      Services(),
                                      m_metrics,
                                      m_bulk);
  std::shared_ptr<Connection> m_connection;
};

// Guards against a host that is refused for good because it has sent little
// while the owner ran many requests of others.
TEST_F(InnerServerTest, Position_AdvancesOnAnIdleConnection_PeerIsTold)
{
  const auto peer = Request();
  m_calls.position = TablePosition(4095);
  EXPECT_FALSE(peer->position);
  m_calls.position = TablePosition(4096);
  ASSERT_TRUE(RunUntil([&] { return peer->position.has_value(); }));
  EXPECT_EQ(peer->position, TablePosition(4096));
}

TEST_F(InnerServerTest, Refused_PeersPositionIsOutdated_IsToldBefore)
{
  const auto peer = Request();
  m_calls.position = TablePosition(7);
  CallRefusal refusal;
  refusal.reason = RefusalReason::kPoisoned;
  refusal.outcome = OutcomeOf(refusal.reason);
  m_calls.calls[0]->OnRefused(refusal);
  ASSERT_TRUE(RunUntil([&] { return peer->outcome.has_value(); }));
  EXPECT_EQ(peer->positionAtRefusal, TablePosition(7));
  EXPECT_EQ(peer->outcome, Outcome::kNotRun);
}

// Guards against an exit that cuts an answer for another daemon, which sends
// frames all the while.
TEST_F(InnerServerTest, FinishSending_AnswerNotTaken_PeerGetsItWhole)
{
  constexpr size_t kBytes = size_t{ 16 } << 20U;
  const auto peer = Request();
  const auto call = m_calls.calls[0];
  call->OnHead({ .status = 200, .contentLength = kBytes }, FenceToken());
  call->OnBody(std::string(kBytes, 'a'));
  call->OnEnd();
  m_connection->Send(Ping{ 1 });
  EXPECT_EQ(m_server->Finishing(), 0U);
  m_server->FinishSending();
  EXPECT_EQ(m_server->Finishing(), 1U);
  ASSERT_TRUE(RunUntil([&] { return m_server->Finishing() == 0; }));
  EXPECT_EQ(peer->bytes, kBytes);
  EXPECT_TRUE(peer->last);
  EXPECT_EQ(peer->end, CloseReason::kClosed);
  EXPECT_EQ(m_server->Sessions(), 0U);
}

// Guards against a daemon that can't be asked any more what became of a request
// when it ends its connections.
TEST_F(InnerServerTest, FinishSending_NewConnection_IsServed)
{
  const auto first = Request();
  m_server->FinishSending();
  ASSERT_TRUE(RunUntil([&] { return first->end.has_value(); }));
  const auto second = Request();
  const auto call = m_calls.calls[1];
  call->OnHead({ .status = 200, .contentLength = 4 }, FenceToken());
  call->OnBody("four");
  call->OnEnd();
  EXPECT_TRUE(RunUntil([&] { return second->last; }));
  EXPECT_EQ(second->bytes, 4U);
}

}
