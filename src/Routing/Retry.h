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
 * \brief Token bucket that limits retries to a share of the first attempts.
 *
 * Each daemon has one for each service. Hedged requests also consume tokens.
 */
class RetryBudget
{
public:
  /** \param aShare retries per first attempt, 0 to 1. */
  explicit RetryBudget(double aShare);

  /**
   * \brief Sets the largest burst of retries, at least 1.
   *
   * The bursts of all daemons add up if all of them see the same fault.
   */
  void SetMaxTokens(double aTokens);

  void OnFirstAttempt();

  /** \brief Consumes one token; false if there is none. */
  bool TrySpend();

  double Tokens() const { return m_tokens; }

private:
  double m_share;
  double m_tokens;
  double m_maxTokens;
};

/** \brief How one attempt ended, from the view of the daemon that sent it. */
enum class AttemptEnd : uint8_t
{
  kAnswered,         ///< By the backend server, with any status.
  kServerFailed,     ///< The backend server reports an error (5xx).
  kNotRun,           ///< Certainly not run, for a given reason.
  kUnknown,          ///< The daemon of the owner doesn't know.
  kConnectionLost,   ///< Closed or reset before the answer.
  kConnectionSilent, ///< Heartbeats missed.
};

struct AttemptReport
{
  AttemptEnd end = AttemptEnd::kAnswered;
  RefusalReason refusal =
    RefusalReason::kQueueFull; ///< For kNotRun and kUnknown.
  Duration retryAfter{};       ///< For kNotRun.
  bool idempotent = false;
  bool replayable = true;   ///< The whole body is still buffered.
  bool answerBegun = false; ///< Part of the answer was sent to the caller.
  bool answerSeen = false;  ///< Part of the answer arrived, so it has run.
  uint32_t attempts = 1;    ///< So far, this one included.
  Duration elapsed{};       ///< Since the request arrived.
  uint32_t runs = 0;        ///< Attempts that may have run, this one included.
  uint32_t sheds = 0;       ///< Refused by a backend server, this one included.
  Duration left{};          ///< Until the deadline.
};

enum class RetryStep : uint8_t
{
  kRetryNow,
  kRetryAfter,
  kQueryOwner, ///< Call OutcomeTable::Query() over a new connection.
  kGiveUp,     ///< Report the outcome to the caller.
};

struct RetryDecision
{
  RetryStep step = RetryStep::kGiveUp;
  Duration delay{}; ///< Before a retry or a query.
  /// Valid for a retry.
  RetryReason reason = RetryReason::kRedirected;
  /// Attempts so far that may have run; valid for a retry.
  uint32_t runs = 0;
  /// Valid for kGiveUp.
  Outcome outcome = Outcome::kUnknown;
  /// Valid for kGiveUp, unless the outcome is kDone.
  RefusalReason refusal = RefusalReason::kRetriesSpent;
};

struct RetrySettings
{
  uint32_t maxAttempts = 4;
  /// Delay of each redirect after the first, and least delay of other retries.
  Duration redirectDelay = std::chrono::milliseconds(5);
  /// Limit of the delay of redirects, which doubles with each one; none by
  /// default. A new owner is known to all hosts after some tens of
  /// milliseconds.
  std::optional<Duration> maxRedirectDelay;
  /// Time that must be left until the deadline for another attempt.
  Duration minRemaining = std::chrono::milliseconds(2);
  /// Time since arrival from which refusals without a usable owner are final.
  Duration redirectLimit = Duration::max();
  /// Attempts after which refusals by a daemon without the key are final.
  uint32_t maxRedirects = UINT32_MAX;
  /// Delay between queries while the request is running.
  Duration queryDelay = std::chrono::milliseconds(5);
  /// Attempts that may run, for one idempotent request.
  uint32_t maxRuns = UINT32_MAX;
  /// Whether refusals for other reasons, such as overload, are retried.
  bool retryRefusals = true;
  /// Where refusals are not retried: times that a request which the backend
  /// server itself has refused is sent to the same server again.
  uint32_t shedRepeats = 0;
  /// Delay before the first of them; the next one waits twice as long.
  Duration shedDelay = std::chrono::milliseconds(5);
  /// Time that must be left until the deadline after the delay.
  Duration shedMinRemaining{};
  /// Whether a request whose owner cannot be reached is retried until
  /// redirectLimit; if not, it is refused at once.
  bool retryUnreachable = true;
};

/**
 * \brief Outcome of a request that gets no answer from a backend server.
 *
 * "Not run" is a promise about the whole request: one attempt that may have run
 * rules it out, however the others ended.
 * \param aRuns attempts that may have run, an open one included.
 */
Outcome OutcomeWithoutAnswer(uint32_t aRuns);

/**
 * \brief Next step after an attempt.
 *
 * A request that isn't idempotent is sent again only if it certainly did not
 * run; that retry takes a new request id. Retries that add load consume tokens
 * of the budget; redirects to a new owner don't.
 */
RetryDecision DecideRetry(const AttemptReport& aReport,
                          const RetrySettings& aSettings,
                          RetryBudget& aBudget);

/**
 * \brief Next step after OutcomeTable::Query() by the daemon of the owner.
 *
 * For kRunning the query is repeated after the delay. For kDone the stored
 * answer is returned to the caller, or unknown if none is stored. After
 * kNeverSeen the attempt no longer counts as one that may have run; if part of
 * its answer has arrived, kNeverSeen is wrong and the outcome unknown.
 * \param aReport the attempt whose outcome was queried.
 */
RetryDecision DecideAfterQuery(const OutcomeQueryResult& aResult,
                               const AttemptReport& aReport,
                               const RetrySettings& aSettings,
                               RetryBudget& aBudget);

/**
 * \brief Deadline of a nested call: the time left to its parent, but at most
 * the deadline of its own class.
 */
Duration NestedDeadline(Duration aParentLeft, Duration aClassDeadline);

/**
 * \brief Decides when an idempotent request is hedged: sent a second time.
 *
 * The delay is a quantile of a decaying latency histogram, whose bucket bounds
 * grow by a fixed ratio.
 */
class HedgePolicy
{
public:
  /** \param aQuantile latency quantile, 0 to 1; 1 disables hedging. */
  explicit HedgePolicy(double aQuantile);

  void OnLatency(Duration aLatency);

  /** \brief None if hedging is disabled or there are too few samples. */
  std::optional<Duration> Delay() const;

  /** \brief Whether to send the second copy now; consumes a retry token. */
  bool TryHedge(Duration aElapsed, Duration aLeft, RetryBudget& aBudget) const;

private:
  static constexpr size_t kBucketCount = 128;

  double m_quantile;
  std::array<double, kBucketCount> m_counts{};
  double m_total = 0.0;
};

}

#endif
