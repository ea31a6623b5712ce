#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <event2/event.h>
#include <gtest/gtest.h>

#include "src/Daemon/IngressTask.h"

namespace pistachioshift {

using std::chrono::seconds;

/** A call that does nothing; the test plays the answers. */
class CallDouble : public Call
{
public:
  bool SendBody(std::string_view) override { return true; }
  void Finish() override {}
  void PauseBody() override {}
  void ResumeBody() override
  {
    if (const auto resumed = std::exchange(onResume, {})) {
      resumed();
    }
  }
  void Cancel() override {}

  std::function<void()> onResume;
};

/** Keeps the listeners of the attempts. */
class RouterDouble : public RequestRouter
{
public:
  std::optional<Destination> Choose(const ServicePolicy&,
                                    const std::string&,
                                    const AttemptHistory&) override
  {
    return Destination{};
  }

  std::shared_ptr<Call> Start(const Destination&,
                              CallRequest,
                              std::shared_ptr<CallListener> aListener) override
  {
    attempts.push_back(std::move(aListener));
    calls.push_back(std::make_shared<CallDouble>());
    return calls.back();
  }

  void QueryOutcome(const Destination&,
                    const RequestId&,
                    TablePosition,
                    PeersTask::OutcomeCallback) override
  {
  }

  TablePosition KnownPosition(const Destination&) const override { return {}; }

  void OnEnd(const ServicePolicy&,
             const Destination&,
             InstanceResult,
             Duration) override
  {
  }

  RetryBudget& BudgetOf(const ServicePolicy&) override { return m_budget; }

  std::vector<std::shared_ptr<CallListener>> attempts;
  std::vector<std::shared_ptr<CallDouble>> calls;

private:
  RetryBudget m_budget{ 1.0 };
};

class DialectDouble : public IngressDialect
{
public:
  std::variant<ResolvedRequest, RefusalReason> Read(RequestHead&) override
  {
    ResolvedRequest resolved;
    resolved.requestClass.idempotent = true;
    resolved.timeLimit = seconds(60);
    return resolved;
  }

  void CompleteAnswer(ResponseHead&,
                      const Destination&,
                      const FenceToken&) override
  {
  }

  LocalResponse Refuse(const RefusalNotice&) override
  {
    return { .head = { .status = 502 }, .body = "refused" };
  }
};

class CallerDouble : public ClientListener
{
public:
  void OnHead(const ResponseHead& aHead) override { status = aHead.status; }
  void OnBody(std::string_view aData) override { body += aData; }
  void OnEnd() override { ended = true; }
  void OnDrained() override {}
  void OnFailed(ClientFailure) override { failed = true; }

  int status = 0;
  std::string body;
  bool ended = false;
  bool failed = false;
};

/** A caller, the daemon's ingress and attempts whose answers the test plays. */
class IngressTest : public ::testing::Test
{
protected:
  explicit IngressTest(double aLinkRate = 0.0)
    : m_bulk(m_base, m_clock, aLinkRate)
  {
    m_ingress = std::make_unique<IngressTask>(
      IngressContext{
        m_base, m_clock, m_random, m_dialect, m_router, m_metrics, m_bulk },
      Endpoint{ "127.0.0.1", 0 },
      HttpLimits());
    m_pool = std::make_unique<HttpClientPool>(
      m_base, m_ingress->LocalEndpoint(), HttpClientLimits());
    m_exchange = m_pool->Start({ .method = "GET", .target = "/" }, m_caller);
    m_exchange->Finish();
  }

  ~IngressTest() override
  {
    m_exchange.reset();
    m_pool.reset();
    m_ingress.reset();
    m_router.attempts.clear();
    event_base_free(m_base);
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

  bool WaitForAttempt(size_t aCount)
  {
    return RunUntil([&] {
             return m_router.attempts.size() >= aCount || m_caller->failed;
           }) &&
           !m_caller->failed;
  }

  event_base* m_base = event_base_new();
  SystemClock m_clock;
  RandomEngine m_random{ 1 };
  Metrics m_metrics;
  DialectDouble m_dialect;
  RouterDouble m_router;
  BulkQueue m_bulk;
  std::unique_ptr<IngressTask> m_ingress;
  std::unique_ptr<HttpClientPool> m_pool;
  std::shared_ptr<CallerDouble> m_caller = std::make_shared<CallerDouble>();
  std::shared_ptr<ClientExchange> m_exchange;
};

// Guards against a cut connection when the daemon that has the answer ends in
// the middle of a short one.
TEST_F(IngressTest, Truncated_ShortAnswer_RequestIsSentAgain)
{
  ASSERT_TRUE(WaitForAttempt(1));
  const auto first = m_router.attempts[0];
  first->OnHead({ .status = 200, .contentLength = 10 }, FenceToken());
  first->OnBody("four");
  first->OnLost(CallLoss::kTruncated);
  ASSERT_TRUE(WaitForAttempt(2));
  const auto second = m_router.attempts[1];
  second->OnHead({ .status = 200, .contentLength = 10 }, FenceToken());
  second->OnBody("first");
  second->OnBody("again");
  second->OnEnd();
  ASSERT_TRUE(RunUntil([&] { return m_caller->ended || m_caller->failed; }));
  EXPECT_TRUE(m_caller->ended);
  EXPECT_EQ(m_caller->body, "firstagain");
}

// Guards against a cut connection when only the end of the answer is missing,
// but none of its bytes.
TEST_F(IngressTest, Truncated_AllBytesArrived_AnswerIsWhole)
{
  constexpr size_t kBytes = 4 * kDirectBytes;
  ASSERT_TRUE(WaitForAttempt(1));
  const auto attempt = m_router.attempts[0];
  attempt->OnHead({ .status = 200, .contentLength = kBytes }, FenceToken());
  attempt->OnBody(std::string(kBytes, 'a'));
  attempt->OnLost(CallLoss::kTruncated);
  ASSERT_TRUE(RunUntil([&] { return m_caller->ended || m_caller->failed; }));
  EXPECT_TRUE(m_caller->ended);
  EXPECT_EQ(m_caller->body.size(), kBytes);
}

// Guards against an answer that looks complete although bytes are missing.
TEST_F(IngressTest, Truncated_LongAnswer_CallerSeesThatItIsCut)
{
  constexpr size_t kBytes = 4 * kDirectBytes;
  ASSERT_TRUE(WaitForAttempt(1));
  const auto attempt = m_router.attempts[0];
  attempt->OnHead({ .status = 200, .contentLength = kBytes }, FenceToken());
  attempt->OnBody(std::string(kBytes - 1, 'a'));
  attempt->OnLost(CallLoss::kTruncated);
  ASSERT_TRUE(RunUntil([&] { return m_caller->ended || m_caller->failed; }));
  EXPECT_TRUE(m_caller->failed);
}

/** The host's link is slow, so most of a large answer waits for it. */
class SlowLinkTest : public IngressTest
{
protected:
  SlowLinkTest()
    : IngressTest(1000.0)
  {
  }
};

// Guards against MIXED: at a forced exit the bytes that a paused call had kept
// overtook those that waited for the link.
TEST_F(SlowLinkTest, StopLimiting_AnswerOfAPausedCall_StaysInOrder)
{
  constexpr size_t kFirst = size_t{ 400 } * 1024;
  constexpr size_t kRest = size_t{ 100 } * 1024;
  ASSERT_TRUE(WaitForAttempt(1));
  const auto attempt = m_router.attempts[0];
  attempt->OnHead({ .status = 200, .contentLength = kFirst + kRest },
                  FenceToken());
  attempt->OnBody(std::string(kFirst, 'a')); // Pauses the call.
  m_router.calls[0]->onResume = [&] {
    // As RemoteCall does with the bytes that came while it was paused.
    attempt->OnBody(std::string(kRest, 'b'));
    attempt->OnEnd();
  };
  m_bulk.StopLimiting();
  ASSERT_TRUE(RunUntil([&] { return m_caller->ended || m_caller->failed; }));
  ASSERT_TRUE(m_caller->ended);
  EXPECT_EQ(m_caller->status, 200);
  EXPECT_EQ(m_caller->body.size(), kFirst + kRest);
  EXPECT_EQ(m_caller->body.find('b'), kFirst);
}

}
