#include <random>
#include <set>
#include <string_view>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;

class RetryTest : public ::testing::Test
{
protected:
  static AttemptReport AnyReport()
  {
    AttemptReport report;
    report.end = *rc::gen::element(AttemptEnd::kAnswered,
                                   AttemptEnd::kServerFailed,
                                   AttemptEnd::kNotRun,
                                   AttemptEnd::kUnknown,
                                   AttemptEnd::kConnectionLost,
                                   AttemptEnd::kConnectionSilent);
    report.refusal = static_cast<RefusalReason>(
      *rc::gen::inRange<size_t>(0, kRefusalReasonCount));
    report.retryAfter = milliseconds(*rc::gen::inRange(0, 50));
    report.idempotent = *rc::gen::arbitrary<bool>();
    report.replayable = *rc::gen::arbitrary<bool>();
    report.answerBegun = *rc::gen::arbitrary<bool>();
    report.attempts = *rc::gen::inRange<uint32_t>(1, 6);
    report.left = milliseconds(*rc::gen::inRange(-5, 100));
    return report;
  }

  static bool IsRetry(const RetryDecision& aDecision)
  {
    return aDecision.step == RetryStep::kRetryNow ||
           aDecision.step == RetryStep::kRetryAfter;
  }
};

RC_GTEST_FIXTURE_PROP(RetryTest, NonIdempotent_AnyEnd_RetriedOnlyIfNotRun, ())
{
  auto report = AnyReport();
  report.idempotent = false;
  RetryBudget budget(1.0);
  const auto decision = DecideRetry(report, {}, budget);
  if (IsRetry(decision)) {
    RC_ASSERT(report.end == AttemptEnd::kNotRun);
    RC_ASSERT(OutcomeOf(report.refusal) == Outcome::kNotRun);
  }
  if (decision.step == RetryStep::kGiveUp &&
      decision.outcome == Outcome::kNotRun) {
    RC_ASSERT(report.end == AttemptEnd::kNotRun);
    RC_ASSERT(OutcomeOf(report.refusal) == Outcome::kNotRun);
  }
}

// The owner has told its position with the refusal, so that the next attempt
// needs neither a delay nor a share of the budget.
TEST_F(RetryTest, NotRun_PositionWasOutdated_RetriedAtOnce)
{
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.refusal = RefusalReason::kPoisoned;
  report.attempts = 1;
  report.replayable = true;
  report.left = std::chrono::seconds(1);
  RetryBudget budget(0.0);
  const auto decision = DecideRetry(report, {}, budget);
  EXPECT_EQ(decision.step, RetryStep::kRetryNow);
}

// Guards against a retry of the last milliseconds, whose refusal would say that
// a request which may have run has not.
TEST_F(RetryTest, Idempotent_DeadlineExpiredAtServer_OutcomeIsUnknown)
{
  AttemptReport report;
  report.end = AttemptEnd::kUnknown;
  report.refusal = RefusalReason::kDeadlineExpired;
  report.idempotent = true;
  report.runs = 1;
  report.left = milliseconds(5);
  RetryBudget budget(1.0);
  RetrySettings settings;
  settings.maxRuns = 2;
  const auto decision = DecideRetry(report, settings, budget);
  EXPECT_EQ(decision.step, RetryStep::kGiveUp);
  EXPECT_EQ(decision.outcome, Outcome::kUnknown);
  EXPECT_EQ(decision.refusal, RefusalReason::kDeadlineExpired);
}

RC_GTEST_FIXTURE_PROP(RetryTest,
                      AnyReport_Retried_WithinDeadlineAndAttempts,
                      ())
{
  const auto report = AnyReport();
  const RetrySettings settings;
  RetryBudget budget(1.0);
  const auto decision = DecideRetry(report, settings, budget);
  if (IsRetry(decision)) {
    RC_ASSERT(decision.delay + settings.minRemaining <= report.left);
    RC_ASSERT(report.attempts < settings.maxAttempts);
    RC_ASSERT(report.replayable && !report.answerBegun);
  }
}

RC_GTEST_FIXTURE_PROP(RetryTest, AfterQuery_AnyState_RetriedOnlyIfNeverSeen, ())
{
  OutcomeQueryResult result;
  result.state = *rc::gen::element(RequestState::kRunning,
                                   RequestState::kDone,
                                   RequestState::kNeverSeen,
                                   RequestState::kForgotten);
  RetryBudget budget(1.0);
  const auto decision = DecideAfterQuery(result, AnyReport(), {}, budget);
  const bool neverSeen = result.state == RequestState::kNeverSeen;
  if (IsRetry(decision) || decision.outcome == Outcome::kNotRun) {
    RC_ASSERT(neverSeen);
  }
  if (decision.outcome == Outcome::kDone) {
    RC_ASSERT(result.answer.has_value());
  }
}

RC_GTEST_FIXTURE_PROP(RetryTest,
                      Budget_AnyOrder_LimitsRetriesToShareOfFirstAttempts,
                      ())
{
  const double share = *rc::gen::inRange(0, 11) / 10.0;
  RetryBudget budget(share);
  const double start = budget.Tokens();
  int firsts = 0;
  int spent = 0;
  const auto steps = *rc::gen::inRange(1, 400);
  for (int step = 0; step < steps; ++step) {
    if (*rc::gen::arbitrary<bool>()) {
      ++firsts;
      budget.OnFirstAttempt();
    } else {
      spent += budget.TrySpend() ? 1 : 0;
    }
    RC_ASSERT(spent <= start + share * firsts + 1e-9);
  }
}

TEST_F(RetryTest, NotRun_EveryReason_RetriedOnlyIfOutcomeIsNotRun)
{
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.left = std::chrono::seconds(10);
  for (size_t index = 0; index < kRefusalReasonCount; ++index) {
    report.refusal = static_cast<RefusalReason>(index);
    RetryBudget budget(1.0);
    const auto decision = DecideRetry(report, {}, budget);
    const bool notRun = OutcomeOf(report.refusal) == Outcome::kNotRun;
    EXPECT_LE(IsRetry(decision), notRun) << ToString(report.refusal);
  }
}

TEST_F(RetryTest, ConnectionLost_NonIdempotent_QueriesOwner)
{
  AttemptReport report;
  report.end = AttemptEnd::kConnectionLost;
  report.left = milliseconds(100);
  RetryBudget budget(0.1);
  EXPECT_EQ(DecideRetry(report, {}, budget).step, RetryStep::kQueryOwner);
  report.left = milliseconds(1);
  const auto decision = DecideRetry(report, {}, budget);
  EXPECT_EQ(decision.step, RetryStep::kGiveUp);
  EXPECT_EQ(decision.outcome, Outcome::kUnknown);
}

TEST_F(RetryTest, Redirect_NoRetryTokens_StillRetried)
{
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.refusal = RefusalReason::kNotOwner;
  report.left = milliseconds(100);
  RetryBudget budget(0.0);
  const auto decision = DecideRetry(report, {}, budget);
  EXPECT_EQ(decision.step, RetryStep::kRetryNow);
  EXPECT_EQ(decision.reason, RetryReason::kRedirected);
  report.refusal = RefusalReason::kQueueFull;
  EXPECT_EQ(DecideRetry(report, {}, budget).step, RetryStep::kGiveUp);
}

/** A change of the owner takes some tens of milliseconds to reach all hosts. */
TEST_F(RetryTest, Redirect_OwnerNotKnownYet_SixAttemptsSpanItsSpread)
{
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.refusal = RefusalReason::kNotOwner;
  report.left = std::chrono::seconds(5);
  RetryBudget budget(0.0);
  RetrySettings settings;
  settings.maxAttempts = 64;
  settings.maxRedirects = 6;
  settings.maxRedirectDelay = milliseconds(60);
  Duration waited{};
  for (report.attempts = 1; report.attempts < 6; ++report.attempts) {
    waited += DecideRetry(report, settings, budget).delay;
  }
  EXPECT_EQ(waited, milliseconds(5 + 10 + 20 + 40));
}

/** A caller should not wait for an owner that is known to be cut off. */
TEST_F(RetryTest, OwnerUnreachable_NoOtherOwner_IsRefusedAtOnceAsNotRun)
{
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.refusal = RefusalReason::kOwnerUnreachable;
  report.left = std::chrono::seconds(5);
  RetryBudget budget(1.0);
  RetrySettings settings;
  EXPECT_EQ(DecideRetry(report, settings, budget).step, RetryStep::kRetryNow);
  settings.retryUnreachable = false;
  const auto decision = DecideRetry(report, settings, budget);
  EXPECT_EQ(decision.step, RetryStep::kGiveUp);
  EXPECT_EQ(decision.outcome, Outcome::kNotRun);
}

/** No other server would take it; "not run" is true only if none had it. */
TEST_F(RetryTest, FatalRequest_IsFinalAndUnknownIfItMayHaveRun)
{
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.refusal = RefusalReason::kFatalRequest;
  report.idempotent = true;
  report.left = std::chrono::seconds(5);
  RetryBudget budget(1.0);
  const auto first = DecideRetry(report, {}, budget);
  EXPECT_EQ(first.step, RetryStep::kGiveUp);
  EXPECT_EQ(first.outcome, Outcome::kNotRun);
  report.runs = 1;
  EXPECT_EQ(DecideRetry(report, {}, budget).outcome, Outcome::kUnknown);
}

/** A server that has not been heard yet has got nothing: another one can take
 * the request without a token of the budget. */
TEST_F(RetryTest, Cold_IsRedirectedWithoutABudget)
{
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.refusal = RefusalReason::kCold;
  report.left = std::chrono::seconds(5);
  RetryBudget budget(0.0);
  while (budget.TrySpend()) {
  }
  const auto decision = DecideRetry(report, {}, budget);
  EXPECT_EQ(decision.step, RetryStep::kRetryNow);
  EXPECT_EQ(decision.reason, RetryReason::kRedirected);
}

/**
 * Pattern ManyDaemons: 295 daemons send 5,300 requests a second, and a fault
 * lets all of them retry whatever they may. Over 10 s the operator allows 0.2
 * retries per request and 630 more.
 */
TEST_F(RetryTest, Budget_AllDaemonsRetryAtOnce_StayWithinTheirShareAndSlack)
{
  constexpr int kDaemons = 295;
  constexpr int kRequests = 53000;
  constexpr double kShare = 0.17;
  constexpr double kSlack = 630.0;
  const auto spend = [&](double aMaxTokens) {
    int spent = 0;
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      RetryBudget budget(kShare);
      budget.SetMaxTokens(aMaxTokens);
      for (int request = 0; request < 1000; ++request) {
        budget.OnFirstAttempt(); // Before the fault.
      }
      for (int request = 0; request < kRequests / kDaemons; ++request) {
        budget.OnFirstAttempt();
        while (budget.TrySpend()) {
          ++spent;
        }
      }
    }
    return spent;
  };
  constexpr double kAllowed = 0.2 * kRequests + kSlack;
  constexpr double kUnlimited = 20.0;
  EXPECT_GT(spend(kUnlimited), kAllowed); // For comparison.
  EXPECT_LE(spend(0.6 * kSlack / kDaemons), kAllowed);
}

TEST_F(RetryTest, Hedge_UniformLatencies_DelayAtQuantile)
{
  HedgePolicy policy(0.95);
  EXPECT_FALSE(policy.Delay().has_value());
  for (int latency = 1; latency <= 100; ++latency) {
    policy.OnLatency(milliseconds(latency));
  }
  ASSERT_TRUE(policy.Delay().has_value());
  EXPECT_GE(*policy.Delay(), milliseconds(95));
  EXPECT_LE(*policy.Delay(),
            milliseconds(105)); // Bucket bounds grow by a tenth.
}

TEST_F(RetryTest, Hedge_NoRetryTokens_NoSecondCopy)
{
  HedgePolicy policy(0.9);
  for (int count = 0; count < 100; ++count) {
    policy.OnLatency(milliseconds(10));
  }
  RetryBudget none(0.0);
  RetryBudget some(0.5);
  EXPECT_FALSE(policy.TryHedge(milliseconds(20), milliseconds(50), none));
  EXPECT_TRUE(policy.TryHedge(milliseconds(20), milliseconds(50), some));
  EXPECT_FALSE(policy.TryHedge(milliseconds(5), milliseconds(50), some));
}

TEST_F(RetryTest, NestedDeadline_ParentLeft_NeverLonger)
{
  EXPECT_EQ(NestedDeadline(milliseconds(30), milliseconds(80)),
            milliseconds(30));
  EXPECT_EQ(NestedDeadline(milliseconds(90), milliseconds(80)),
            milliseconds(80));
  EXPECT_EQ(NestedDeadline(milliseconds(-3), milliseconds(80)), Duration{});
}

// Load pattern: for 8 s all servers refuse 55% of their requests, each
// independently, and a request with a key has only one server. Guards against
// requests that are given up although their server has free slots, and against
// more repeats than the budget allows.
TEST_F(RetryTest, AllServersShed_RequestsWithKey_RepeatedWithinBudget)
{
  RetrySettings settings;
  settings.retryRefusals = false;
  settings.shedRepeats = 2;
  constexpr double kShare = 0.2;
  constexpr int kRequests = 800; // 100 per second.
  RetryBudget budget(kShare);
  const auto slack = budget.Tokens();
  std::mt19937 random(1);
  int servedByRepeat = 0;
  int repeats = 0;
  for (int request = 0; request < kRequests; ++request) {
    budget.OnFirstAttempt();
    AttemptReport report;
    report.end = AttemptEnd::kNotRun;
    report.refusal = RefusalReason::kShed;
    report.left = milliseconds(400);
    for (report.sheds = 1;; ++report.sheds) {
      if (random() % 100 >= 55) {
        servedByRepeat += report.sheds > 1 ? 1 : 0;
        break;
      }
      const auto decision = DecideRetry(report, settings, budget);
      if (!IsRetry(decision)) {
        EXPECT_EQ(decision.outcome, Outcome::kNotRun);
        break;
      }
      EXPECT_LE(decision.delay, milliseconds(10));
      ++report.attempts;
      ++repeats;
    }
    EXPECT_LE(report.sheds, 3U);
  }
  EXPECT_LE(repeats, kRequests * kShare + slack);
  EXPECT_GE(repeats, kRequests * kShare);
  EXPECT_GE(servedByRepeat, repeats / 3);
}

TEST_F(RetryTest, ShedByOnlyServer_NoTimeLeft_GivesUp)
{
  RetrySettings settings;
  settings.retryRefusals = false;
  settings.shedRepeats = 2;
  settings.shedMinRemaining = milliseconds(60);
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.refusal = RefusalReason::kShed;
  report.sheds = 1;
  report.left = milliseconds(62);
  RetryBudget budget(1.0);
  const auto decision = DecideRetry(report, settings, budget);
  EXPECT_EQ(decision.step, RetryStep::kGiveUp);
  EXPECT_EQ(decision.outcome, Outcome::kNotRun);
}

TEST_F(RetryTest, ToString_AllReasons_DistinctNames)
{
  std::set<std::string_view> names;
  for (size_t index = 0; index < kRefusalReasonCount; ++index) {
    names.insert(ToString(static_cast<RefusalReason>(index)));
  }
  EXPECT_EQ(names.size(), kRefusalReasonCount);
  names.clear();
  for (size_t index = 0; index < kRetryReasonCount; ++index) {
    names.insert(ToString(static_cast<RetryReason>(index)));
  }
  EXPECT_EQ(names.size(), kRetryReasonCount);
}

}
TEST(RetryLimitTest, Redirect_OwnerUnreachable_EndsAtTimeLimit)
{
  RetryBudget budget(0.2);
  RetrySettings settings;
  settings.maxAttempts = 100;
  settings.redirectLimit = std::chrono::milliseconds(150);
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.refusal = RefusalReason::kOwnerUnreachable;
  report.left = std::chrono::seconds(2);
  report.elapsed = std::chrono::milliseconds(100);
  EXPECT_NE(DecideRetry(report, settings, budget).step, RetryStep::kGiveUp);
  report.elapsed = std::chrono::milliseconds(150);
  const auto late = DecideRetry(report, settings, budget);
  EXPECT_EQ(late.step, RetryStep::kGiveUp);
  EXPECT_EQ(late.outcome, Outcome::kNotRun);
}

TEST(RetryLimitTest, Redirect_AfterWaitAtPreviousOwner_IsFollowed)
{
  RetryBudget budget(0.2);
  RetrySettings settings;
  settings.maxAttempts = 100;
  settings.redirectLimit = std::chrono::milliseconds(150);
  settings.maxAttempts = 64;
  settings.maxRedirects = 6;
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.refusal = RefusalReason::kNotOwner;
  report.left = std::chrono::seconds(2);
  report.elapsed = std::chrono::milliseconds(900);
  EXPECT_NE(DecideRetry(report, settings, budget).step, RetryStep::kGiveUp);
  report.attempts = 6;
  EXPECT_EQ(DecideRetry(report, settings, budget).step, RetryStep::kGiveUp);
}

TEST(RetryLimitTest, Refusal_OverloadWithRetriesDisabled_IsFinal)
{
  RetryBudget budget(0.2);
  RetrySettings settings;
  settings.retryRefusals = false;
  AttemptReport report;
  report.end = AttemptEnd::kNotRun;
  report.refusal = RefusalReason::kOverloaded;
  report.left = std::chrono::seconds(2);
  const auto decision = DecideRetry(report, settings, budget);
  EXPECT_EQ(decision.step, RetryStep::kGiveUp);
  EXPECT_EQ(decision.outcome, Outcome::kNotRun);
}

}
