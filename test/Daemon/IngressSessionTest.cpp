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

constexpr Duration kLongWait = std::chrono::minutes(1);

/** How an attempt ends, and what the owner tells if it is queried. */
struct PlayedEnd
{
  std::string_view name;
  std::optional<CallRefusal> refusal;
  CallLoss loss = CallLoss::kNotSent; ///< Without a refusal.
  RequestState state = RequestState::kForgotten;
};

const std::array kPlayedEnds{
  PlayedEnd{ "refused, tried again at once",
             CallRefusal{ Outcome::kNotRun, RefusalReason::kCold, {}, {} } },
  PlayedEnd{
    "refused, waits",
    CallRefusal{ Outcome::kNotRun, RefusalReason::kQueueFull, kLongWait, {} } },
  PlayedEnd{
    "refused, final",
    CallRefusal{ Outcome::kNotRun, RefusalReason::kDeadlineExpired, {}, {} } },
  PlayedEnd{
    "server lost",
    CallRefusal{ Outcome::kUnknown, RefusalReason::kBackendDown, {}, {} } },
  PlayedEnd{ "not sent", {}, CallLoss::kNotSent },
  PlayedEnd{ "closed, forgotten", {}, CallLoss::kClosed },
  PlayedEnd{ "closed, never seen",
             {},
             CallLoss::kClosed,
             RequestState::kNeverSeen },
  PlayedEnd{ "silent, never seen",
             {},
             CallLoss::kSilent,
             RequestState::kNeverSeen },
  PlayedEnd{ "silent, running", {}, CallLoss::kSilent, RequestState::kRunning },
  PlayedEnd{ "truncated, forgotten", {}, CallLoss::kTruncated },
  PlayedEnd{ "truncated, never seen",
             {},
             CallLoss::kTruncated,
             RequestState::kNeverSeen },
};

/** Plays the ends of the attempts of one request. */
class RequestOutcomeTest : public IngressSessionTest
{
protected:
  RequestOutcomeTest() { m_dialect.retry.redirectDelay = Duration{}; }

  /** Returns whether the attempt may have run. */
  bool Play(const PlayedEnd& aEnd)
  {
    const auto listener = m_router.listener;
    const auto queries = m_router.queries;
    if (aEnd.refusal) {
      listener->OnRefused(*aEnd.refusal);
      return aEnd.refusal->outcome != Outcome::kNotRun;
    }
    const bool truncated = aEnd.loss == CallLoss::kTruncated;
    if (truncated) {
      listener->OnHead({ .status = 200, .contentLength = 10 }, FenceToken());
    }
    listener->OnLost(aEnd.loss);
    const bool queried = m_router.queries > queries;
    if (queried) {
      m_router.onOutcome({ aEnd.state, std::nullopt });
    }
    const bool neverSeen = queried && aEnd.state == RequestState::kNeverSeen;
    return truncated || (aEnd.loss != CallLoss::kNotSent && !neverSeen);
  }

  /** Plays one request, whose process stops after the last of the ends.
   * \return whether an attempt may have run. */
  bool PlayRequest(const std::vector<PlayedEnd>& aEnds)
  {
    m_router.budget = RetryBudget(1.0);
    m_router.started = 0;
    m_dialect.notice.reset();
    const CallerDouble caller(m_port);
    EXPECT_TRUE(caller.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
    EXPECT_TRUE(RunUntil([&] { return m_router.started == 1; }));
    bool mayHaveRun = false;
    int played = 0;
    for (const auto& end : aEnds) {
      if (m_router.started > played) {
        mayHaveRun = Play(end) || mayHaveRun;
        ++played;
      }
    }
    const bool open = !m_dialect.notice && m_router.started > played;
    m_task->FailPendingRequests();
    return mayHaveRun || open;
  }
};

// Guards against a promise that isn't true: an attempt that may have run is
// forgotten when a later one is refused, or while the next one is waited for.
TEST_F(RequestOutcomeTest, AnyThreeAttempts_NotRun_OnlyIfNoneMayHaveRun)
{
  constexpr size_t kEnds = kPlayedEnds.size();
  for (size_t index = 0; index < 2 * kEnds * kEnds * kEnds; ++index) {
    m_dialect.idempotent = index % 2 == 0;
    const std::vector ends{ kPlayedEnds.at(index / 2 / kEnds / kEnds),
                            kPlayedEnds.at(index / 2 / kEnds % kEnds),
                            kPlayedEnds.at(index / 2 % kEnds) };
    const bool mayHaveRun = PlayRequest(ends);
    ASSERT_TRUE(m_dialect.notice);
    EXPECT_EQ(m_dialect.notice->outcome,
              mayHaveRun ? Outcome::kUnknown : Outcome::kNotRun)
      << (m_dialect.idempotent ? "idempotent: " : "at most once: ")
      << ends[0].name << "; " << ends[1].name << "; " << ends[2].name;
  }
}

// Guards against a time to return that the last attempt did not give: a caller
// whose last attempt was lost would wait for a server that refused it before.
TEST_F(RequestOutcomeTest, RetryAfter_IsThatOfTheLastAttempt)
{
  m_dialect.idempotent = true;
  const auto refusedFor = [](RefusalReason aReason) {
    return PlayedEnd{ "", CallRefusal{ Outcome::kNotRun, aReason, kLongWait } };
  };
  const PlayedEnd lost{ "", {}, CallLoss::kSilent };
  PlayRequest({ lost, refusedFor(RefusalReason::kFatalRequest) });
  ASSERT_TRUE(m_dialect.notice);
  EXPECT_EQ(m_dialect.notice->outcome, Outcome::kUnknown);
  EXPECT_EQ(m_dialect.notice->retryAfter, kLongWait);
  m_dialect.retry.maxRuns = 1;
  PlayRequest({ refusedFor(RefusalReason::kCold), lost });
  ASSERT_TRUE(m_dialect.notice);
  EXPECT_EQ(m_dialect.notice->outcome, Outcome::kUnknown);
  EXPECT_EQ(m_dialect.notice->retryAfter, Duration{});
}

// Guards against a request that is sent again when the result of its outcome
// query arrives after the caller has had its answer.
TEST_F(RequestOutcomeTest, QueryResult_AfterTheAnswer_IsIgnored)
{
  const CallerDouble caller(m_port);
  ASSERT_TRUE(caller.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n"));
  ASSERT_TRUE(RunUntil([&] { return m_router.started == 1; }));
  const auto listener = m_router.listener;
  listener->OnLost(CallLoss::kSilent);
  ASSERT_EQ(m_router.queries, 1);
  m_task->FailPendingRequests();
  ASSERT_EQ(m_dialect.done, 1);
  m_router.onOutcome({ RequestState::kNeverSeen, std::nullopt });
  EXPECT_EQ(m_router.started, 1);
  EXPECT_EQ(m_dialect.done, 1);
  EXPECT_EQ(m_dialect.notice->outcome, Outcome::kUnknown);
}

}
