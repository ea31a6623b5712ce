#include "src/Routing/Retry.h"

#include <algorithm>
#include <cmath>

namespace pistachioshift {

namespace {

constexpr double kMaxTokens = 20.0; // Limits a burst of retries.
// Without initial tokens, a service with few requests couldn't retry.
constexpr double kInitialTokens = 5.0;
constexpr double kMinLatencySeconds = 50e-6;
constexpr double kBucketRatio = 1.1;
constexpr uint32_t kMaxDelayDoublings = 16;
constexpr double kMaxSamples = 5000.0; // At this number, counts are halved.
constexpr double kMinSamples = 50.0;

RetryDecision
GiveUp(Outcome aOutcome, RefusalReason aRefusal)
{
  RetryDecision decision;
  decision.step = RetryStep::kGiveUp;
  decision.outcome = aOutcome;
  decision.refusal = aRefusal;
  return decision;
}

RetryDecision
RetryIn(Duration aDelay, RetryReason aReason, uint32_t aRuns)
{
  RetryDecision decision;
  decision.runs = aRuns;
  decision.step =
    aDelay > Duration{} ? RetryStep::kRetryAfter : RetryStep::kRetryNow;
  decision.delay = aDelay;
  decision.reason = aReason;
  return decision;
}

bool
IsRedirect(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::kNotOwner:
    case RefusalReason::kLeaseNotHeld:
    case RefusalReason::kDraining:
    case RefusalReason::kCold:
    case RefusalReason::kNoOwner:
    case RefusalReason::kPoisoned:         // The sender knows the position now.
    case RefusalReason::kOwnerUnreachable: // Reached no backend server.
    case RefusalReason::kNoInstance:
      return true;
    default:
      return false;
  }
}

// Refusals by a daemon that no longer owns the key, or doesn't own it yet.
bool
IsOwnerChange(RefusalReason aReason)
{
  return aReason == RefusalReason::kNotOwner ||
         aReason == RefusalReason::kLeaseNotHeld;
}

// A retry would be refused again, or nobody waits for its answer any more.
bool
IsFinal(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::kDeadlineExpired:
    case RefusalReason::kCancelled:
    case RefusalReason::kNoService:
    case RefusalReason::kNoKey:
    case RefusalReason::kRetriesSpent:
    case RefusalReason::kBodyTooLarge:
    case RefusalReason::kBodyTimeout:
    case RefusalReason::kFatalRequest:
    case RefusalReason::kCalleeOverloaded: // All instances call that callee.
      return true;
    default:
      return false;
  }
}

RetryReason
ReasonOf(RefusalReason aReason)
{
  if (IsRedirect(aReason)) {
    return RetryReason::kRedirected;
  }
  switch (aReason) {
    case RefusalReason::kCold:
    case RefusalReason::kBackendDown:
    case RefusalReason::kOwnerUnreachable:
    case RefusalReason::kNoInstance:
      return RetryReason::kUnavailable;
    default:
      return RetryReason::kOverloaded;
  }
}

RetryReason
ReasonOf(AttemptEnd aEnd)
{
  switch (aEnd) {
    case AttemptEnd::kConnectionSilent:
      return RetryReason::kConnectionSilent;
    case AttemptEnd::kServerFailed:
      return RetryReason::kServerFailed;
    default:
      return RetryReason::kConnectionLost;
  }
}

// Whether another attempt after the delay is possible and allowed; if not, the
// outcome of the last attempt is final.
bool
CanRetry(const AttemptReport& aReport,
         const RetrySettings& aSettings,
         Duration aDelay)
{
  const bool timeLeft = aReport.left - aDelay >= aSettings.minRemaining;
  return timeLeft && aReport.replayable && !aReport.answerBegun &&
         aReport.attempts < aSettings.maxAttempts;
}

// Whether only the server that has refused the request can run it.
bool
IsShedByOnlyServer(const AttemptReport& aReport, const RetrySettings& aSettings)
{
  return aReport.refusal == RefusalReason::kShed && !aSettings.retryRefusals;
}

Duration
RetryDelay(const AttemptReport& aReport, const RetrySettings& aSettings)
{
  if (IsShedByOnlyServer(aReport, aSettings)) {
    return aSettings.shedDelay * aReport.sheds;
  }
  if (!IsRedirect(aReport.refusal)) {
    return std::max(aReport.retryAfter, aSettings.redirectDelay);
  }
  if (aReport.attempts <= 1) {
    return Duration{};
  }
  if (!aSettings.maxRedirectDelay) {
    return aSettings.redirectDelay;
  }
  const auto doublings = std::min(aReport.attempts - 2, kMaxDelayDoublings);
  return std::min(aSettings.redirectDelay * (1U << doublings),
                  *aSettings.maxRedirectDelay);
}

bool
MayRetryRefusal(const AttemptReport& aReport,
                const RetrySettings& aSettings,
                RetryBudget& aBudget)
{
  if (IsOwnerChange(aReport.refusal)) {
    // redirectLimit doesn't apply: the time may have passed in the queue of
    // the previous owner, which was handing the key over.
    return aReport.attempts < aSettings.maxRedirects;
  }
  if (IsRedirect(aReport.refusal)) {
    const bool retries = aSettings.retryUnreachable ||
                         aReport.refusal != RefusalReason::kOwnerUnreachable;
    return retries && aReport.elapsed < aSettings.redirectLimit;
  }
  if (IsShedByOnlyServer(aReport, aSettings)) {
    const auto left = aReport.left - RetryDelay(aReport, aSettings);
    return aReport.sheds <= aSettings.shedRepeats &&
           left >= aSettings.shedMinRemaining && aBudget.TrySpend();
  }
  return aSettings.retryRefusals && aBudget.TrySpend();
}

RetryDecision
DecideAfterNotRun(const AttemptReport& aReport,
                  const RetrySettings& aSettings,
                  RetryBudget& aBudget)
{
  if (OutcomeOf(aReport.refusal) != Outcome::kNotRun) {
    return GiveUp(Outcome::kUnknown, aReport.refusal);
  }
  const auto giveUp =
    GiveUp(OutcomeWithoutAnswer(aReport.runs), aReport.refusal);
  const auto delay = RetryDelay(aReport, aSettings);
  if (IsFinal(aReport.refusal) || !CanRetry(aReport, aSettings, delay)) {
    return giveUp;
  }
  return MayRetryRefusal(aReport, aSettings, aBudget)
           ? RetryIn(delay, ReasonOf(aReport.refusal), aReport.runs)
           : giveUp;
}

RetryDecision
DecideIdempotent(const AttemptReport& aReport,
                 const RetrySettings& aSettings,
                 RetryBudget& aBudget)
{
  const bool failed = aReport.end == AttemptEnd::kServerFailed;
  const auto outcome = failed ? Outcome::kDone : Outcome::kUnknown;
  if (aReport.end == AttemptEnd::kUnknown && IsFinal(aReport.refusal)) {
    return GiveUp(outcome, aReport.refusal);
  }
  const bool mayRun = aReport.runs < aSettings.maxRuns;
  if (!mayRun || !CanRetry(aReport, aSettings, Duration{}) ||
      !aBudget.TrySpend()) {
    return GiveUp(outcome, RefusalReason::kRetriesSpent);
  }
  return RetryIn(Duration{}, ReasonOf(aReport.end), aReport.runs);
}

bool
LostConnection(const AttemptReport& aReport)
{
  return aReport.end == AttemptEnd::kConnectionLost ||
         aReport.end == AttemptEnd::kConnectionSilent;
}

size_t
BucketOf(Duration aLatency, size_t aBucketCount)
{
  const auto seconds = std::chrono::duration<double>(aLatency).count();
  const auto ratio = std::max(seconds / kMinLatencySeconds, 1.0);
  const auto bucket = std::log(ratio) / std::log(kBucketRatio);
  return std::min(static_cast<size_t>(bucket), aBucketCount - 1);
}

Duration
UpperBoundOf(size_t aBucket)
{
  const auto exponent = static_cast<double>(aBucket) + 1.0;
  const std::chrono::duration<double> bound(kMinLatencySeconds *
                                            std::pow(kBucketRatio, exponent));
  return std::chrono::duration_cast<Duration>(bound);
}

}

RetryBudget::RetryBudget(double aShare)
  : m_share(std::clamp(aShare, 0.0, 1.0))
  , m_tokens(m_share > 0.0 ? kInitialTokens : 0.0)
  , m_maxTokens(kMaxTokens)
{
}

void
RetryBudget::SetMaxTokens(double aTokens)
{
  m_maxTokens = std::clamp(aTokens, 1.0, kMaxTokens);
  m_tokens = std::min(m_tokens, m_maxTokens);
}

void
RetryBudget::OnFirstAttempt()
{
  m_tokens = std::min(m_tokens + m_share, m_maxTokens);
}

bool
RetryBudget::TrySpend()
{
  if (m_tokens < 1.0) {
    return false;
  }
  m_tokens -= 1.0;
  return true;
}

Outcome
OutcomeWithoutAnswer(uint32_t aRuns)
{
  return aRuns == 0 ? Outcome::kNotRun : Outcome::kUnknown;
}

RetryDecision
DecideRetry(const AttemptReport& aReport,
            const RetrySettings& aSettings,
            RetryBudget& aBudget)
{
  switch (aReport.end) {
    case AttemptEnd::kAnswered:
      return GiveUp(Outcome::kDone, RefusalReason::kRetriesSpent);
    case AttemptEnd::kNotRun:
      return DecideAfterNotRun(aReport, aSettings, aBudget);
    case AttemptEnd::kServerFailed:
      if (!aReport.idempotent) {
        return GiveUp(Outcome::kDone, RefusalReason::kRetriesSpent);
      }
      break;
    default:
      break;
  }
  if (aReport.idempotent) {
    return DecideIdempotent(aReport, aSettings, aBudget);
  }
  const bool enoughTime = aReport.left >= aSettings.minRemaining;
  if (LostConnection(aReport) && enoughTime && !aReport.answerBegun) {
    RetryDecision decision;
    decision.step = RetryStep::kQueryOwner;
    return decision;
  }
  return GiveUp(Outcome::kUnknown, RefusalReason::kUndecided);
}

RetryDecision
DecideAfterQuery(const OutcomeQueryResult& aResult,
                 const AttemptReport& aReport,
                 const RetrySettings& aSettings,
                 RetryBudget& aBudget)
{
  const auto unknown = GiveUp(Outcome::kUnknown, RefusalReason::kUndecided);
  switch (aResult.state) {
    case RequestState::kDone:
      return aResult.answer
               ? GiveUp(Outcome::kDone, RefusalReason::kRetriesSpent)
               : unknown;
    case RequestState::kForgotten:
      return unknown;
    case RequestState::kRunning: {
      const auto delay =
        std::max(aSettings.queryDelay, aSettings.redirectDelay);
      if (aReport.left - delay < aSettings.minRemaining) {
        return unknown;
      }
      RetryDecision decision;
      decision.step = RetryStep::kQueryOwner;
      decision.delay = delay;
      return decision;
    }
    case RequestState::kNeverSeen:
      if (aReport.answerSeen) {
        return unknown;
      }
      break;
  }
  const auto earlierRuns = std::max(aReport.runs, 1U) - 1;
  if (!CanRetry(aReport, aSettings, Duration{}) || !aBudget.TrySpend()) {
    return GiveUp(OutcomeWithoutAnswer(earlierRuns),
                  RefusalReason::kRetriesSpent);
  }
  return RetryIn(Duration{}, RetryReason::kNeverSeen, earlierRuns);
}

Duration
NestedDeadline(Duration aParentLeft, Duration aClassDeadline)
{
  return std::max(std::min(aParentLeft, aClassDeadline), Duration{});
}

HedgePolicy::HedgePolicy(double aQuantile)
  : m_quantile(aQuantile)
{
}

void
HedgePolicy::OnLatency(Duration aLatency)
{
  m_counts[BucketOf(aLatency, kBucketCount)] += 1.0;
  m_total += 1.0;
  if (m_total < kMaxSamples) {
    return;
  }
  for (auto& count : m_counts) {
    count /= 2.0;
  }
  m_total /= 2.0;
}

std::optional<Duration>
HedgePolicy::Delay() const
{
  if (m_quantile >= 1.0 || m_total < kMinSamples) {
    return std::nullopt;
  }
  double below = 0.0;
  for (size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    below += m_counts[bucket];
    if (below >= m_quantile * m_total) {
      return UpperBoundOf(bucket);
    }
  }
  return UpperBoundOf(kBucketCount - 1);
}

bool
HedgePolicy::TryHedge(Duration aElapsed,
                      Duration aLeft,
                      RetryBudget& aBudget) const
{
  const auto delay = Delay();
  if (!delay || aElapsed < *delay || aLeft < *delay / 2) {
    return false;
  }
  return aBudget.TrySpend();
}

}
