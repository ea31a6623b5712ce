#include "src/Daemon/AnswerCodec.h"
#include "src/Inner/FrameCodec.h"
#include "test/Daemon/IngressSessionSupport.h"

namespace pistachioshift::test {

/** One more than a session keeps before its first attempt. */
constexpr size_t kStreamedBytes = size_t{ 64 } * 1024 + 1;

// Guards against a closed connection where a promise is true and lets the
// caller send the request again.
TEST_F(IngressSessionTest, Upload_StallsBeforeAnyAttempt_IsAnsweredNotRun)
{
  CallerDouble caller(m_port);
  ASSERT_TRUE(caller.Write(Upload(100, 50)));
  ASSERT_TRUE(RunUntil([&] { return caller.AtEnd(); }));
  EXPECT_TRUE(caller.received.ends_with("not-run"));
  EXPECT_NE(caller.received.find("Connection: close"), std::string::npos);
  ASSERT_TRUE(m_dialect.notice);
  EXPECT_EQ(m_dialect.notice->reason, RefusalReason::kBodyTimeout);
  EXPECT_EQ(m_router.started, 0);
  EXPECT_EQ(m_dialect.done, 1);
}

// Guards against an instance that counts as loaded with requests whose callers
// have left.
TEST_F(IngressSessionTest, Caller_LeavesBeforeTheAnswer_BalancerIsTold)
{
  CallerDouble caller(m_port);
  ASSERT_TRUE(caller.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  ASSERT_TRUE(RunUntil([&] { return m_router.started == 1; }));
  EXPECT_TRUE(m_router.results.empty());
  caller.Leave();
  ASSERT_TRUE(RunUntil([&] { return m_dialect.done == 1; }));
  EXPECT_EQ(m_router.results,
            std::vector<InstanceResult>{ InstanceResult::kCancelled });
}

// Guards against a promise that isn't true, and against a request that was
// passed on and ends without an answer.
TEST_F(IngressSessionTest, Upload_StallsWhileStreamed_IsAnsweredUnknown)
{
  CallerDouble caller(m_port);
  ASSERT_TRUE(caller.Write(Upload(2 * kStreamedBytes, kStreamedBytes)));
  ASSERT_TRUE(RunUntil([&] { return caller.AtEnd(); }));
  EXPECT_TRUE(caller.received.ends_with("unknown"));
  EXPECT_EQ(m_router.started, 1);
  EXPECT_EQ(m_router.call->bytes, kStreamedBytes);
  EXPECT_TRUE(m_router.call->cancelled);
  EXPECT_EQ(m_dialect.done, 1);
}

// Guards against a caller who waits for its deadline because the answer that
// its owner has stored is malformed, and against one who gets that answer.
TEST_F(IngressSessionTest, Outcome_StoredAnswerMalformed_IsAnsweredUnknown)
{
  const auto body = EncodeFrame(BodyChunk{ StreamId(), "ok", true });
  const std::vector<CachedResponse> answers{
    EncodeCachedResponse({ .status = 0 }, "ok"),
    EncodeCachedResponse({ .status = 99 }, "ok"),
    EncodeCachedResponse({ .status = 100 }, "ok"),
    EncodeCachedResponse({ .status = 600 }, "ok"),
    { 200, "" },
    { 200, "stored" },
    { 200, body },
    { 200, body + body },
  };
  for (const auto& answer : answers) {
    SCOPED_TRACE(testing::PrintToString(answer.payload));
    const auto queries = m_router.queries;
    m_dialect.notice.reset();
    CallerDouble caller(m_port);
    ASSERT_TRUE(
      caller.Write("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
    ASSERT_TRUE(RunUntil([&] { return m_router.listener != nullptr; }));
    std::exchange(m_router.listener, nullptr)->OnLost(CallLoss::kClosed);
    ASSERT_TRUE(RunUntil([&] { return m_router.queries > queries; }));
    EXPECT_NO_THROW(m_router.onOutcome({ RequestState::kDone, answer }));
    ASSERT_TRUE(RunUntil([&] { return caller.AtEnd(); }));
    EXPECT_TRUE(caller.received.ends_with("unknown")) << caller.received;
    ASSERT_TRUE(m_dialect.notice);
    EXPECT_EQ(m_dialect.notice->reason, RefusalReason::kUndecided);
  }
}

}
