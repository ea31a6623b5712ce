#include "test/Daemon/IngressSessionSupport.h"

namespace pistachioshift::test {

constexpr size_t kUploadBytes = 200000;

/** Requests on a route for uploads, whose attempts wait for credit. */
class IngressUploadTest : public IngressSessionTest
{
protected:
  IngressUploadTest() { m_dialect.upload = true; }

  /** Waits for the attempt with this number. */
  bool Attempted(int aNumber)
  {
    return RunUntil([&] { return m_router.started == aNumber; });
  }

  void Refuse(RefusalReason aReason, Duration aRetryAfter)
  {
    const auto listener = m_router.listener;
    listener->OnRefused({ Outcome::kNotRun, aReason, aRetryAfter, {} });
  }

  void Lose(CallLoss aLoss)
  {
    const auto listener = m_router.listener;
    listener->OnLost(aLoss);
  }

  void SpendBudget()
  {
    while (m_router.budget.TrySpend()) {
    }
  }

  const std::string m_whole = Upload(kUploadBytes, kUploadBytes);
  CallerDouble m_caller{ m_port };
};

// Guards against a body that is on its way before the owner's daemon has
// admitted it, and against a caller that is asked for such a body.
TEST_F(IngressUploadTest, Body_IsReadOnCredit)
{
  auto head = Upload(10, 0);
  head.insert(head.size() - 2, "Expect: 100-continue\r\n");
  ASSERT_TRUE(m_caller.Write(head));
  ASSERT_TRUE(Attempted(1));
  EXPECT_TRUE(m_router.request.awaitsCredit);
  EXPECT_EQ(m_router.request.head.contentLength, 10U);
  RunUntil([&, end = m_clock.Now() + 2 * kBodyTimeout] {
    return m_clock.Now() > end;
  });
  EXPECT_FALSE(m_caller.AtEnd());
  EXPECT_TRUE(m_caller.received.empty());
  m_router.listener->OnCredit(11);
  ASSERT_TRUE(RunUntil([&] {
    m_caller.AtEnd();
    return m_caller.received.find("100 Continue") != std::string::npos;
  }));
  ASSERT_TRUE(m_caller.Write(std::string(10, 'x')));
  ASSERT_TRUE(RunUntil([&] { return m_router.call->finished; }));
  EXPECT_EQ(m_router.call->bytes, 10U);
}

// Guards against an upload without a length whose size the owner's daemon
// doesn't learn although all of it is there.
TEST_F(IngressUploadTest, ShortBodyOfUnknownLength_IsSentWithItsLength)
{
  ASSERT_TRUE(m_caller.Write("POST / HTTP/1.1\r\nHost: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n"
                             "5\r\nabcde\r\n0\r\n\r\n"));
  ASSERT_TRUE(Attempted(1));
  EXPECT_TRUE(m_router.request.awaitsCredit);
  EXPECT_EQ(m_router.request.head.contentLength, 5U);
  EXPECT_FALSE(m_router.request.head.chunked);
  EXPECT_EQ(m_router.call->bytes, 0U);
  m_router.listener->OnCredit(6);
  EXPECT_EQ(m_router.call->bytes, 5U);
  EXPECT_TRUE(m_router.call->finished);
}

// Guards against a refusal that the caller sees as a reset, because its body
// was never read.
TEST_F(IngressUploadTest, Refused_WhileTheBodyWaits_CallerSeesTheRefusal)
{
  SpendBudget();
  // More than one write takes: the caller goes on sending after the refusal.
  m_caller.Write(m_whole);
  ASSERT_TRUE(Attempted(1));
  Refuse(RefusalReason::kOverloaded, std::chrono::milliseconds(300));
  ASSERT_TRUE(RunUntil([&] { return m_caller.AtEnd(); }));
  EXPECT_TRUE(m_caller.received.ends_with("not-run"));
  ASSERT_TRUE(m_dialect.notice);
  EXPECT_EQ(m_dialect.notice->retryAfter, std::chrono::milliseconds(300));
  EXPECT_EQ(m_router.call->bytes, 0U);
  // The instance may have room for requests that are not uploads.
  EXPECT_EQ(m_router.results,
            std::vector<InstanceResult>{ InstanceResult::kCancelled });
  EXPECT_EQ(m_router.uploadRefusals, 1);
}

// Guards against a caller that waits until one instance has room while another
// one has it now, and against tries that the budget doesn't count.
TEST_F(IngressUploadTest, Refused_BeforeTheBody_AnotherInstanceIsAskedAtOnce)
{
  m_caller.Write(m_whole);
  ASSERT_TRUE(Attempted(1));
  Refuse(RefusalReason::kOverloaded, kGiveUp);
  ASSERT_TRUE(Attempted(2));
  EXPECT_EQ(m_router.call->bytes, 0U);
  m_router.listener->OnCredit(kUploadBytes + 1);
  ASSERT_TRUE(RunUntil([&] { return m_router.call->finished; }));
  EXPECT_EQ(m_router.call->bytes, kUploadBytes);
  // The body has been sent and isn't kept, so this refusal is final.
  Refuse(RefusalReason::kOverloaded, Duration{});
  EXPECT_EQ(m_dialect.done, 1);
  EXPECT_EQ(m_dialect.notice->outcome, Outcome::kNotRun);
}

// Guards against a caller that is told that the outcome is unknown although
// the owner's daemon had none of the body.
TEST_F(IngressUploadTest, OwnerLost_BeforeTheGrant_AnotherInstanceIsAsked)
{
  m_caller.Write(m_whole);
  ASSERT_TRUE(Attempted(1));
  Lose(CallLoss::kSilent);
  ASSERT_TRUE(Attempted(2));
  EXPECT_EQ(m_router.queries, 0);
}

// Guards against a promise that isn't true: with the whole body, the request
// may have run.
TEST_F(IngressUploadTest, OwnerLost_WithTheWholeBody_OutcomeIsQueried)
{
  m_caller.Write(m_whole);
  ASSERT_TRUE(Attempted(1));
  m_router.listener->OnCredit(kUploadBytes + 1);
  ASSERT_TRUE(RunUntil([&] { return m_router.call->finished; }));
  Lose(CallLoss::kClosed);
  EXPECT_EQ(m_router.queries, 1);
  EXPECT_EQ(m_router.started, 1);
  EXPECT_EQ(m_dialect.done, 0);
}

// Guards against an outcome that is reported as unknown while a part of the
// body is missing, without which the request can't run.
TEST_F(IngressUploadTest, OwnerLost_WithPartOfTheBody_IsAnsweredNotRun)
{
  ASSERT_TRUE(m_caller.Write(Upload(kUploadBytes, 1000)));
  ASSERT_TRUE(Attempted(1));
  m_router.listener->OnCredit(kUploadBytes + 1);
  ASSERT_TRUE(RunUntil([&] { return m_router.call->bytes == 1000; }));
  Lose(CallLoss::kClosed);
  EXPECT_EQ(m_router.started, 1);
  ASSERT_TRUE(m_dialect.notice);
  EXPECT_EQ(m_dialect.notice->outcome, Outcome::kNotRun);
}

// Guards against a promise that isn't true: while a second attempt lacks its
// body, the first one may have run.
TEST_F(IngressUploadTest, BodyStalls_AfterAnAttemptThatMayHaveRun_IsUnknown)
{
  m_dialect.idempotent = true;
  ASSERT_TRUE(m_caller.Write(Upload(kUploadBytes, 1000)));
  ASSERT_TRUE(Attempted(1));
  const auto first = m_router.listener;
  first->OnRefused({ Outcome::kUnknown, RefusalReason::kBackendDown, {}, {} });
  ASSERT_TRUE(Attempted(2));
  m_router.listener->OnCredit(kUploadBytes + 1);
  ASSERT_TRUE(RunUntil([&] { return m_dialect.done == 1; }));
  ASSERT_TRUE(m_dialect.notice);
  EXPECT_EQ(m_dialect.notice->reason, RefusalReason::kBodyTimeout);
  EXPECT_EQ(m_dialect.notice->outcome, Outcome::kUnknown);
}

// Guards against a turn that stays taken by a caller that has left.
TEST_F(IngressUploadTest, Caller_LeavesWhileWaiting_AttemptIsCancelled)
{
  ASSERT_TRUE(m_caller.Write(Upload(kUploadBytes, 0)));
  ASSERT_TRUE(Attempted(1));
  m_caller.Leave();
  ASSERT_TRUE(RunUntil([&] { return m_dialect.done == 1; }));
  EXPECT_TRUE(m_router.call->cancelled);
}

}
