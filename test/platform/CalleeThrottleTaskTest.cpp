#include "src/HostDaemon/CalleeRecord.h"
#include "test/platform/ServerTaskSupport.h"

namespace pistachioshift::platform::test {

class CalleeThrottleTaskTest : public ServerTaskTest
{
protected:
  /** Keeps requests running until m_answers is set, and answers 500. */
  void Answer(const std::shared_ptr<ServerExchange>& aExchange) override
  {
    if (!m_answers) {
      m_waiting.push_back(aExchange);
      return;
    }
    ResponseHead head;
    head.status = 500;
    head.contentLength = 0;
    head.headers.Set(names::kRequestId,
                     *aExchange->Head().headers.Find(names::kRequestId));
    aExchange->SendHead(head);
    aExchange->Finish();
  }

  void EndCalls(int aCount, int aStatus)
  {
    ResolvedRequest resolved;
    resolved.nested = true;
    resolved.policy.name = ServiceName("callee");
    IngressRecord record;
    record.resolved = &resolved;
    record.status = aStatus;
    if (aStatus == 503) {
      record.reason = RefusalReason::kCannotFinish;
    }
    for (int call = 0; call < aCount; ++call) {
      m_server.OnNestedEnd(record);
    }
  }

  bool m_answers = true;
  std::vector<std::shared_ptr<ServerExchange>> m_waiting;
};

// Load pattern: the server answers 500 because its calls are refused. Guards
// against slots spent on more of them, and against a throttle without end.
TEST_F(CalleeThrottleTaskTest, CallsRefused_MostOuterRequestsRefusedNotRun)
{
  Join();
  for (int request = 0; request < 10; ++request) {
    Request(milliseconds(5000));
    for (int wait = 0; wait < 500 && m_ends->answered <= request; ++wait) {
      Run(milliseconds(10));
    }
  }
  ASSERT_EQ(m_ends->answered, 10);
  EndCalls(10, 503);
  for (int request = 0; request < 20; ++request) {
    Request();
    Run(milliseconds(5));
  }
  EXPECT_GE(m_ends->refusals.size(), 10U);
  EXPECT_EQ(m_ends->refusals.back(), RefusalReason::kCalleeOverloaded);
  EXPECT_EQ(OutcomeOf(RefusalReason::kCalleeOverloaded), Outcome::kNotRun);
  EndCalls(100, 200); // Nine of ten calls in memory are answered then.
  EXPECT_EQ(m_server.CalleeRefusedShare(), 0.0);
}

// Guards against calls that count as nested although nothing waits for them.
TEST_F(CalleeThrottleTaskTest, Label_IsKnownOnlyWhileTheRequestRuns)
{
  Join();
  m_answers = false;
  EXPECT_FALSE(m_server.IsRunning("1"));
  Request(milliseconds(200));
  Run(milliseconds(50));
  EXPECT_TRUE(m_server.IsRunning("1"));
  EXPECT_FALSE(m_server.IsRunning("2"));
  Run(milliseconds(300));
  EXPECT_FALSE(m_server.IsRunning("1"));
}

// A caller that leaves before the target may have been cancelled itself; one
// that leaves later got no answer in time.
TEST(CalleeResultTest, CallerLeaves_FailedOnlyAfterTheTarget)
{
  ResolvedRequest resolved;
  resolved.goal = milliseconds(120);
  IngressRecord record;
  record.resolved = &resolved;
  record.reason = RefusalReason::kCancelled;
  record.elapsed = milliseconds(367);
  EXPECT_EQ(CalleeResultOf(record), CalleeResult::kFailed);
  record.elapsed = milliseconds(20);
  EXPECT_EQ(CalleeResultOf(record), CalleeResult::kNeutral);
}

TEST(CalleeResultTest, FaultOfTheCall_SaysNothingAboutTheCallee)
{
  IngressRecord record;
  record.status = 503;
  record.reason = RefusalReason::kFatalRequest;
  EXPECT_EQ(CalleeResultOf(record), CalleeResult::kNeutral);
  record.reason = RefusalReason::kOwnerUnreachable;
  EXPECT_EQ(CalleeResultOf(record), CalleeResult::kFailed);
}

}
