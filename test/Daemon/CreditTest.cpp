#include <event2/event.h>
#include <gtest/gtest.h>

#include "src/Daemon/InnerServerTask.h"
#include "src/Daemon/PeersTask.h"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;

constexpr size_t kBytes = 300000; // More than the window of other streams.

class ReceivingCall : public Call
{
public:
  bool SendBody(std::string_view aData) override
  {
    bytes += aData.size();
    return true;
  }
  void Finish() override { finished = true; }
  void PauseBody() override {}
  void ResumeBody() override {}
  void Cancel() override { cancelled = true; }

  size_t bytes = 0;
  bool finished = false;
  bool cancelled = false;
};

class ReceivingServer : public CallServer
{
public:
  std::shared_ptr<Call> Start(CallRequest aRequest,
                              std::shared_ptr<CallListener> aListener) override
  {
    awaitsCredit = aRequest.awaitsCredit;
    listener = std::move(aListener);
    return call;
  }
  OutcomeQueryResult QueryOutcome(const RequestId&, TablePosition) override
  {
    return {};
  }
  TablePosition Position() const override { return {}; }

  bool awaitsCredit = false;
  std::shared_ptr<CallListener> listener;
  std::shared_ptr<ReceivingCall> call = std::make_shared<ReceivingCall>();
};

class CreditListener : public CallListener
{
public:
  void OnHead(const ResponseHead&, const FenceToken&) override {}
  void OnBody(std::string_view) override {}
  void OnEnd() override {}
  void OnDrained() override { ++drained; }
  void OnCredit(int64_t aBytes) override { credit = aBytes; }
  void OnRefused(const CallRefusal&) override {}
  void OnLost(CallLoss) override {}

  int64_t credit = 0;
  int drained = 0;
};

/** A request whose body waits for credit, between two daemons. */
class CreditTest : public ::testing::Test
{
protected:
  static InnerServices Services()
  {
    InnerServices services;
    services.self = [] { return DaemonId(); };
    return services;
  }

  std::shared_ptr<Call> Send()
  {
    CallRequest request;
    request.id = { 1, 1 };
    request.head.method = "POST";
    request.head.target = "/";
    request.head.contentLength = kBytes;
    request.hasBody = true;
    request.awaitsCredit = true;
    request.deadline = m_clock.Now() + 10s;
    return m_peers.Start(m_inner.LocalEndpoint(), request, m_listener);
  }

  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const auto end = m_clock.Now() + 10s;
    while (!aCondition() && m_clock.Now() < end) {
      event_base_loop(m_base.get(), EVLOOP_NONBLOCK);
    }
    return aCondition();
  }

  std::unique_ptr<event_base, void (*)(event_base*)> m_base{ event_base_new(),
                                                             event_base_free };
  SystemClock m_clock;
  Logger m_logger{ "test", LogLevel::kError };
  Metrics m_metrics;
  BulkQueue m_bulk{ m_base.get(), m_clock, 0.0 };
  ReceivingServer m_server;
  InnerServerTask m_inner{ m_base.get(), m_clock,  { "127.0.0.1", 0 },
                           BootId(1),    m_server, Services(),
                           m_metrics,    m_bulk };
  PeersTask m_peers{ m_base.get(), m_clock, BootId(2), m_logger, m_metrics };
  std::shared_ptr<CreditListener> m_listener =
    std::make_shared<CreditListener>();
};

// Guards against a body whose end is held back by a window that the body fills.
TEST_F(CreditTest, Credit_ForTheWholeBody_BodyIsSentToItsEnd)
{
  const auto call = Send();
  ASSERT_TRUE(RunUntil([&] { return m_server.listener != nullptr; }));
  EXPECT_TRUE(m_server.awaitsCredit);
  EXPECT_EQ(m_listener->credit, 0);
  m_server.listener->OnCredit(kBytes + 1);
  ASSERT_TRUE(RunUntil([&] { return m_listener->credit > 0; }));
  EXPECT_EQ(m_listener->credit, kBytes + 1);
  EXPECT_TRUE(call->SendBody(std::string(kBytes, 'u')));
  call->Finish();
  ASSERT_TRUE(RunUntil([&] { return m_server.call->finished; }));
  EXPECT_EQ(m_server.call->bytes, kBytes);
  EXPECT_EQ(m_listener->drained, 0);
}

// Guards against a commitment that outlives a requester that has left.
TEST_F(CreditTest, Requester_CancelsBeforeTheGrant_OwnerIsTold)
{
  const auto call = Send();
  ASSERT_TRUE(RunUntil([&] { return m_server.listener != nullptr; }));
  call->Cancel();
  EXPECT_TRUE(RunUntil([&] { return m_server.call->cancelled; }));
}

}
}
