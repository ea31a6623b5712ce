#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;

/** How one attempt of a request ends, and what a query would tell of it. */
struct PlayedEnd
{
  AttemptEnd end = AttemptEnd::kNotRun;
  RefusalReason refusal = RefusalReason::kQueueFull;
  bool answerSeen = false;
  RequestState state = RequestState::kNeverSeen;
  Duration left{};
};

PlayedEnd
AnyEnd()
{
  PlayedEnd played;
  played.end = *rc::gen::element(AttemptEnd::kNotRun,
                                 AttemptEnd::kNotRun,
                                 AttemptEnd::kUnknown,
                                 AttemptEnd::kConnectionLost,
                                 AttemptEnd::kConnectionSilent);
  played.refusal = static_cast<RefusalReason>(
    *rc::gen::inRange<size_t>(0, kRefusalReasonCount));
  played.answerSeen =
    played.end == AttemptEnd::kConnectionLost && *rc::gen::arbitrary<bool>();
  played.state = *rc::gen::element(RequestState::kNeverSeen,
                                   RequestState::kForgotten,
                                   RequestState::kRunning,
                                   RequestState::kDone);
  played.left = milliseconds(*rc::gen::inRange(0, 200));
  return played;
}

// Guards against a request that is answered as not run because its last attempt
// was refused, although an earlier one may have run; and against an outcome
// that is called unknown although no attempt can have run.
RC_GTEST_PROP(RequestOutcomeTest, AnyAttempts_NotRun_OnlyIfNoneMayHaveRun, ())
{
  const bool idempotent = *rc::gen::arbitrary<bool>();
  RetryBudget budget(1.0);
  uint32_t runs = 0; // Attempts that may have run.
  for (uint32_t attempt = 1; attempt <= 5; ++attempt) {
    const auto played = AnyEnd();
    AttemptReport report;
    report.end = played.end;
    report.refusal = played.refusal;
    report.answerSeen = played.answerSeen;
    report.idempotent = idempotent;
    report.attempts = attempt;
    report.left = played.left;
    runs += played.end == AttemptEnd::kNotRun ? 0 : 1;
    report.runs = runs;
    auto decision = DecideRetry(report, {}, budget);
    if (decision.step == RetryStep::kQueryOwner) {
      const OutcomeQueryResult result{ played.state, std::nullopt };
      decision = DecideAfterQuery(result, report, {}, budget);
      const bool neverSeen = played.state == RequestState::kNeverSeen;
      runs -= neverSeen && !played.answerSeen ? 1 : 0;
    }
    if (decision.step == RetryStep::kQueryOwner) {
      return;
    }
    if (decision.step != RetryStep::kGiveUp) {
      RC_ASSERT(decision.runs == runs);
      continue;
    }
    const bool refusedAsNotRun = played.end != AttemptEnd::kNotRun ||
                                 OutcomeOf(played.refusal) == Outcome::kNotRun;
    const bool notRun = runs == 0 && refusedAsNotRun;
    RC_ASSERT((decision.outcome == Outcome::kNotRun) == notRun);
    return;
  }
}

}
}
