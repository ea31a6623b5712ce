#include <algorithm>
#include <set>
#include <vector>

#include <event2/event.h>
#include <gtest/gtest.h>

#include "Pistachioshift/Http"
#include "src/HostDaemon/HostDaemon.h"
#include "src/Inner/SocketAddress.h"
#include "test/Daemon/IngressSessionSupport.h"
#include "test/HostDaemon/FakeStore.h"
#include "test/HostDaemon/UnusedDialect.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** What the daemon of a requester was told of one request. */
class EndRecorder : public CallListener
{
public:
  void OnHead(const ResponseHead&, const FenceToken&) override {}
  void OnBody(std::string_view) override {}
  void OnEnd() override { ended = true; }
  void OnDrained() override {}
  void OnCredit(int64_t) override
  {
    call->SendBody("body");
    call->Finish();
  }
  void OnRefused(const CallRefusal& aRefusal) override
  {
    ended = true;
    notRun = aRefusal.outcome == Outcome::kNotRun;
    failedByStop = !notRun && aRefusal.reason == RefusalReason::kDraining;
  }
  void OnLost(CallLoss aLoss) override
  {
    ended = true;
    notRun = aLoss == CallLoss::kNotSent;
  }

  std::shared_ptr<Call> call;
  bool ended = false;
  bool notRun = false;
  bool failedByStop = false;
};

/** A host's daemon that stops while another daemon sends it requests. */
class LeaveOutcomeTest : public ::testing::TestWithParam<Duration>
{
protected:
  LeaveOutcomeTest()
  {
    m_topic.Append({ EncodeHost(RecordOf("a")) }, WriterPosition{ "a", 1, 0 });
    m_daemon.Start(m_callers, HttpLimits{});
    m_state.Start();
    Run(milliseconds(60));
    SendHeartbeat();
    Run(milliseconds(600));
    SendHeartbeat();
    m_heartbeats.StartEvery(milliseconds(600));
  }

  HostSettings Settings() const
  {
    const Endpoint any{ "127.0.0.1", 0 };
    HostSettings settings{ .inner = m_inner, .callers = any, .metrics = any };
    settings.server = { .endpoint = m_backend.LocalEndpoint(),
                        .service = kOrders,
                        .maxHeartbeatDelay = milliseconds(500) };
    settings.grace = GetParam();
    return settings;
  }

  void Run(Duration aFor)
  {
    const auto wait = internal::ToTimeval(aFor);
    event_base_loopexit(m_base.get(), &wait);
    event_base_dispatch(m_base.get());
  }

  template<class Condition>
  bool RunUntil(Condition aDone)
  {
    const auto end = m_clock.Now() + std::chrono::seconds(20);
    while (!aDone() && m_clock.Now() < end) {
      Run(milliseconds(10));
    }
    return aDone();
  }

  void SendHeartbeat()
  {
    ServerHeartbeat heartbeat;
    heartbeat.address = m_backend.LocalEndpoint();
    heartbeat.incarnation = IncarnationOf("server-a");
    heartbeat.service = kOrders;
    heartbeat.slots = 9;
    heartbeat.sequence = ++m_sequence;
    m_daemon.OnHeartbeat(heartbeat);
  }

  /** The backend server answers each second request, after a while. */
  void AnswerSome()
  {
    for (const auto& exchange : std::exchange(m_waiting, {})) {
      exchange->SendHead(ResponseHead{ .status = 200, .contentLength = 0 });
      exchange->Finish();
    }
  }

  void OnServerRequest(const std::shared_ptr<ServerExchange>& aExchange)
  {
    const auto number = std::stoi(aExchange->Head().target.substr(1));
    m_ran.insert(number);
    (number % 2 == 0 ? m_waiting : m_unanswered).push_back(aExchange);
  }

  void Send(Duration aTimeLimit)
  {
    const auto number = static_cast<int>(m_sent.size());
    CallRequest request;
    request.id = { 1, static_cast<uint64_t>(number) + 1 };
    request.service = kOrders;
    request.head.method = "POST";
    request.head.target = "/" + std::to_string(number);
    request.head.contentLength = number % 3 == 0 ? 4 : 0;
    request.hasBody = request.awaitsCredit = number % 3 == 0;
    request.deadline = m_clock.Now() + aTimeLimit;
    const auto listener = std::make_shared<EndRecorder>();
    m_sent.push_back(listener);
    listener->call = m_peers.Start(m_inner, request, listener);
  }

  void SendSeveral()
  {
    for (const int limit : { 30, 100, 300 }) {
      Send(milliseconds(limit));
    }
  }

  std::unique_ptr<event_base, decltype(&event_base_free)> m_base{
    event_base_new(),
    event_base_free
  };
  SystemClock m_clock;
  Logger m_logger{ "test", LogLevel::kError };
  Metrics m_metrics;
  RandomEngine m_random{ 3 };
  UnusedDialect m_dialect;
  DialectDouble m_callers;
  std::set<int> m_ran;
  std::vector<std::shared_ptr<ServerExchange>> m_waiting;
  std::vector<std::shared_ptr<ServerExchange>> m_unanswered;
  HttpServer m_backend{ m_base.get(),
                        { "127.0.0.1", 0 },
                        HttpLimits{},
                        [this](const auto& aOne) { OnServerRequest(aOne); } };
  FakeTopic m_topic;
  FakeStore m_store{ m_base.get(), m_topic };
  StateTask<FakeStore> m_state{ m_base.get(),
                                m_clock,
                                m_logger,
                                m_store,
                                RecordOf("a") };
  Endpoint m_inner =
    HttpServer(m_base.get(), { "127.0.0.1", 0 }, {}, {}).LocalEndpoint();
  HostDaemon m_daemon{ m_base.get(), m_clock,  Settings(), m_state,
                       m_dialect,    m_logger, m_metrics,  m_random };
  PeersTask m_peers{ m_base.get(), m_clock, BootId(2), m_logger, m_metrics };
  std::vector<std::shared_ptr<EndRecorder>> m_sent;
  int64_t m_sequence = 0;
  Timer m_heartbeats{ m_base.get(), [this] { SendHeartbeat(); } };
  Timer m_answers{ m_base.get(), [this] { AnswerSome(); } };
  Timer m_sends{ m_base.get(), [this] { SendSeveral(); } };
};

// Guards against "not run" for a request that the backend server gets: one that
// runs when a stopping daemon says goodbye, or starts afterwards.
TEST_P(LeaveOutcomeTest, Stop_RequestsGoOnArriving_NoneThatRanIsCalledNotRun)
{
  const bool forced = GetParam() < std::chrono::seconds(1);
  for (int count = 0; count < 4; ++count) {
    Send(forced ? milliseconds(60000) : milliseconds(300));
  }
  m_answers.StartEvery(milliseconds(7));
  ASSERT_TRUE(RunUntil([&] { return m_ran.contains(1); }));
  m_sends.StartEvery(milliseconds(3));
  Run(milliseconds(100));
  m_daemon.BeginLeave();
  event_base_dispatch(m_base.get()); // Until the daemon would exit.
  m_sends.Stop();
  m_heartbeats.Stop();
  // The backend server reads what was sent to it.
  const auto exitedAt = m_clock.Now();
  RunUntil([&] { return m_clock.Now() - exitedAt > milliseconds(100); });
  EXPECT_TRUE(RunUntil([&] {
    return std::all_of(
      m_sent.begin(), m_sent.end(), [](auto& aOne) { return aOne->ended; });
  }));
  for (size_t number = 0; number < m_sent.size(); ++number) {
    EXPECT_FALSE(m_sent[number]->notRun &&
                 m_ran.contains(static_cast<int>(number)))
      << "request " << number << " of " << m_sent.size();
  }
  const bool failed = std::any_of(m_sent.begin(), m_sent.end(), [](auto& aOne) {
    return aOne->failedByStop;
  });
  EXPECT_TRUE(failed || !forced) << "nothing ran when the stop was forced";
}

// Grace periods: one that ends while requests run, and one that doesn't.
INSTANTIATE_TEST_SUITE_P(,
                         LeaveOutcomeTest,
                         ::testing::Values(milliseconds(700),
                                           milliseconds(6000)));

}
