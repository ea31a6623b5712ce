#ifndef PISTACHIOSHIFT_TEST_PLATFORM_SERVERTASKSUPPORT_H
#define PISTACHIOSHIFT_TEST_PLATFORM_SERVERTASKSUPPORT_H

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <event2/event.h>
#include <fmt/format.h>

#include "Pistachioshift/Http"
#include "platform/Dialects.h"
#include "platform/Names.h"
#include "src/Daemon/Fingerprint.h"
#include "src/HostDaemon/RangeServerTask.h"
#include "test/HostDaemon/FakeStore.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::platform::test {

using namespace pistachioshift::test;
using std::chrono::milliseconds;

/** Counts the ends of calls. */
class EndCounter : public CallListener
{
public:
  void OnHead(const ResponseHead&, const FenceToken&) override {}
  void OnBody(std::string_view) override {}
  void OnEnd() override { ++answered; }
  void OnDrained() override {}
  void OnRefused(const CallRefusal& aRefusal) override
  {
    refusals.push_back(aRefusal.reason);
  }
  void OnLost(CallLoss) override { ++lost; }

  int answered = 0;
  int lost = 0;
  std::vector<RefusalReason> refusals;
};

/** A daemon beside a backend server, which is a real HTTP server. */
class ServerTaskTest : public ::testing::Test
{
protected:
  explicit ServerTaskTest(std::optional<Duration> aEvacuateLimit = std::nullopt,
                          Duration aMaxHeartbeatDelay = kShortHeartbeatDelay)
    : m_evacuateLimit(aEvacuateLimit)
    , m_maxHeartbeatDelay(aMaxHeartbeatDelay)
  {
    m_state.AddListener(m_server);
    // Written by the previous process of the daemon.
    m_topic.Append({ EncodeHost(m_record) }, WriterPosition{ "a", 1, 0 });
  }

  // Guards, in each of these tests, against a request that is taken for not run
  // after it has been written to the backend server.
  void TearDown() override { EXPECT_TRUE(HasWithdrawn(m_faults)); }

  /** Whether the counter of such requests has the value. */
  bool HasWithdrawn(int aTimes) const
  {
    const auto line =
      fmt::format("\npistachio_withdrawn_after_start_total {}\n", aTimes);
    return m_metrics.Render().find(line) != std::string::npos;
  }

  /** The daemon reads the store, then its server goes on sending heartbeats. */
  void Join()
  {
    JoinSilently();
    SendHeartbeat();
    Run(kHeartbeatInterval);
    SendHeartbeat();
  }

  static constexpr Duration kHeartbeatInterval = milliseconds(600);
  static constexpr Duration kShortHeartbeatDelay = milliseconds(500);

  std::unique_ptr<HttpServer> MakeBackend(const Endpoint& aAddress)
  {
    return std::make_unique<HttpServer>(
      m_base.get(),
      aAddress,
      HttpLimits{},
      [this](const std::shared_ptr<ServerExchange>& aOne) { Answer(aOne); });
  }

  void JoinSilently()
  {
    m_state.Start();
    Run(milliseconds(60));
  }

  ServerHeartbeat Heartbeat()
  {
    ServerHeartbeat heartbeat;
    heartbeat.address = m_address;
    heartbeat.incarnation = IncarnationOf("server-a");
    heartbeat.service = kOrders;
    heartbeat.slots = 9;
    heartbeat.sequence = ++m_sequence;
    return heartbeat;
  }

  void SendHeartbeat(ServerState aState = ServerState::kReady)
  {
    auto heartbeat = Heartbeat();
    heartbeat.state = aState;
    EXPECT_TRUE(m_server.OnHeartbeat(heartbeat));
  }

  /** Number of requests that the server gets of one sent now. */
  int Received()
  {
    const auto before = m_received;
    Request();
    Run(milliseconds(50));
    return m_received - before;
  }

  void Run(Duration aFor)
  {
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(aFor).count();
    const timeval wait{ micros / 1000000,
                        static_cast<suseconds_t>(micros % 1000000) };
    event_base_loopexit(m_base.get(), &wait);
    event_base_dispatch(m_base.get());
  }

  /** Answers a request as the backend server. */
  virtual void Answer(const std::shared_ptr<ServerExchange>& aExchange)
  {
    ResponseHead head;
    head.status = 200;
    head.contentLength = 0;
    if (aExchange->Head().target == kHealthPath) {
      head.status = m_healthy ? 200 : 503;
      head.headers.Set(names::kServerId, m_healthyServer);
      aExchange->SendHead(head);
      aExchange->Finish();
      return;
    }
    ++m_received;
    head.headers = m_fields;
    head.headers.Set(names::kSignature, "s");
    head.headers.Set(names::kRequestId,
                     *aExchange->Head().headers.Find(names::kRequestId));
    aExchange->SendHead(head);
    aExchange->Finish();
  }

  static constexpr const char* kHealthPath = "/health";

  /** Starts a request that must end within aFor. */
  void Request(Duration aFor = milliseconds(500),
               const std::string& aTarget = "/r/1",
               const std::string& aKey = {})
  {
    CallRequest request;
    request.key = aKey;
    request.id = DrawRequestId(m_random);
    request.service = kOrders;
    request.head.method = "GET";
    request.head.target = aTarget;
    request.fingerprint = FingerprintOf(request.head, {}, {});
    request.head.headers.Set(names::kRequestId, std::to_string(++m_requests));
    request.deadline = m_clock.Now() + aFor;
    const auto call = m_server.Start(request, m_ends);
    call->Finish();
    m_calls.push_back(call);
  }

  struct BaseDeleter
  {
    void operator()(event_base* aBase) const { event_base_free(aBase); }
  };

  std::unique_ptr<event_base, BaseDeleter> m_base{ event_base_new() };
  SystemClock m_clock;
  Logger m_logger{ "test", LogLevel::kError };
  Metrics m_metrics;
  RandomEngine m_random{ 3 };
  PlatformServerDialect m_dialect;
  Headers m_fields;
  bool m_healthy = true;
  std::string m_healthyServer = "server-a";
  int m_received = 0;
  int m_faults = 0; ///< Failures that a test feigns.
  int m_requests = 0;
  int64_t m_sequence = 0;
  std::unique_ptr<HttpServer> m_backend = MakeBackend({ "127.0.0.1", 0 });
  Endpoint m_address = m_backend->LocalEndpoint();
  std::optional<Duration> m_evacuateLimit;
  Duration m_maxHeartbeatDelay;
  HostRecord m_record = RecordOf("a");
  FakeTopic m_topic;
  FakeStore m_store{ m_base.get(), m_topic };
  StateTask<FakeStore> m_state{ m_base.get(),
                                m_clock,
                                m_logger,
                                m_store,
                                m_record };
  RangeServerTask m_server{ m_base.get(),
                            m_clock,
                            RangeServerSettings{
                              .endpoint = m_address,
                              .service = kOrders,
                              .drainTime = milliseconds(300),
                              .maxHeartbeatDelay = m_maxHeartbeatDelay,
                              .evacuateLimit = m_evacuateLimit },
                            m_state,
                            m_dialect,
                            m_logger,
                            m_metrics };
  std::shared_ptr<EndCounter> m_ends = std::make_shared<EndCounter>();
  std::vector<std::shared_ptr<Call>> m_calls;
};

}

#endif
