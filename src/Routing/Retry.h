#ifndef PISTACHIOSHIFT_ROUTING_RETRY_H
#define PISTACHIOSHIFT_ROUTING_RETRY_H

#include <array>
#include <cstdint>
#include <optional>

#include "src/Base/Clock.h"
#include "src/Routing/Outcome.h"
#include "src/Routing/OutcomeTable.h"

namespace pistachioshift {

/**
 * \brief Token bucket that bounds retries to a share of first attempts.
 *
 * One per service and daemon. Hedges take from it too.
 */
class RetryBudget
{
public:
  /** \param aShare retries per first attempt, 0 to 1. */
  explicit RetryBudget(double aShare);

  void OnFirstAttempt();
  bool TrySpend();
  double Tokens() const { return m_tokens; }

private:
  double m_share;
  double m_tokens;
};

/** \brief How one attempt ended, seen by the daemon that sent it. */
enum class AttemptEnd : uint8_t
{
  kAnswered,         ///< By the backend server, whatever its status.
  kServerFailed,     ///< The backend server says that it failed (5xx).
  kNotRun,           ///< Definitely not run, with a reason.
  kUnknown,          ///< The owner's daemon says unknown.
  kConnectionLost,   ///< Closed or reset before the answer.
  kConnectionSilent, ///< Heartbeats missed.
};

struct AttemptReport
{
  AttemptEnd end = AttemptEnd::kAnswered;
  RefusalReason refusal = RefusalReason::kQueueFull; ///< For kNotRun.
  Duration retryAfter{};                             ///< For kNotRun.
  bool idempotent = false;
  bool replayable = true;   ///< The body is still at hand.
  bool answerBegun = false; ///< Part of the answer has reached the caller.
  uint32_t attempts = 1;    ///< Made so far.
  Duration elapsed{};       ///< Since the request arrived.
  uint32_t runs = 0;        ///< Attempts that may have run, this one included.
  Duration left{};          ///< Until the deadline.
};

enum class RetryStep : uint8_t
{
  kRetryNow,
  kRetryAfter,
  kQueryOwner, ///< OutcomeTable::Query() on a new connection.
  kGiveUp,     ///< Tell the caller the outcome.
};

struct RetryDecision
{
  RetryStep step = RetryStep::kGiveUp;
  Duration delay{};                                     ///< kRetryAfter.
  RetryReason reason = RetryReason::kRedirected;        ///< On a retry.
  Outcome outcome = Outcome::kUnknown;                  ///< kGiveUp.
  RefusalReason refusal = RefusalReason::kRetriesSpent; ///< Unless done.
};

struct RetrySettings
{
  uint32_t maxAttempts = 4;
  Duration redirectDelay = std::chrono::milliseconds(5); ///< From the second.
  Duration minRemaining =
    std::chrono::milliseconds(2);           ///< Less isn't worth it.
  Duration redirectLimit = Duration::max(); ///< Then a refusal is passed on.
  uint32_t maxRedirects = UINT32_MAX;       ///< From one owner to the next.
  Duration queryDelay = std::chrono::milliseconds(5); ///< While it still runs.
  uint32_t maxRuns = UINT32_MAX; ///< Attempts that may run.
  bool retryRefusals = true;     ///< Also those of an overloaded holder.
};

/**
 * \brief Next step after an attempt.
 *
 * A request that isn't idempotent is sent again only after a definite not-run.
 * Retries that add load spend from the budget; those to a new owner don't.
 * A retry after a definite not-run takes a new request id.
 */
RetryDecision DecideRetry(const AttemptReport& aReport,
                          const RetrySettings& aSettings,
                          RetryBudget& aBudget);

/**
 * \brief Next step after the owner's daemon told what became of a request.
 *
 * For kRunning ask again after the delay; for kDone give the kept answer, or
 * unknown if none was kept.
 * \param aReport the attempt that led to the question.
 */
RetryDecision DecideAfterQuery(const OutcomeQueryResult& aResult,
                               const AttemptReport& aReport,
                               const RetrySettings& aSettings,
                               RetryBudget& aBudget);

/**
 * \brief Deadline of a nested call: what its parent has left, at most the
 * longest that its own class accepts.
 */
Duration NestedDeadline(Duration aParentLeft, Duration aClassDeadline);

/**
 * \brief Delay after which an idempotent request is hedged.
 *
 * Keeps a decaying histogram of latencies with bounds that grow by a fixed
 * ratio.
 */
class HedgePolicy
{
public:
  /** \param aQuantile of latency, 0 to 1; 1 turns hedging off. */
  explicit HedgePolicy(double aQuantile);

  void OnLatency(Duration aLatency);

  /** \brief None while off or with too few latencies seen. */
  std::optional<Duration> Delay() const;

  /** \brief Whether to send the second copy now; spends from the budget. */
  bool TryHedge(Duration aElapsed, Duration aLeft, RetryBudget& aBudget) const;

private:
  static constexpr size_t kBuckets = 128;

  double m_quantile;
  std::array<double, kBuckets> m_counts{};
  double m_total = 0.0;
};

}

#endif
