#ifndef PISTACHIOSHIFT_ROUTING_OUTCOME_H
#define PISTACHIOSHIFT_ROUTING_OUTCOME_H

#include <array>
#include <cstdint>
#include <string_view>

namespace pistachioshift {

/** \brief Outcome of a request, as reported to its caller. */
enum class Outcome : uint8_t
{
  kDone,    ///< Completed; the answer is the backend server's.
  kNotRun,  ///< Did not run and will not run.
  kUnknown, ///< May have run.
};

/** \brief Why a request was refused. Each reason has its own counter. */
enum class RefusalReason : uint8_t
{
  kQueueFull,        ///< The queue of the class is at its bound.
  kOverloaded,       ///< Standing queue: the wait would be too long.
  kCannotFinish,     ///< Wait and service would exceed the deadline.
  kDeadlineExpired,  ///< The deadline had passed on arrival.
  kDisplaced,        ///< Removed from the queue for feasible requests.
  kCancelled,        ///< The caller cancelled it before it started.
  kDuplicate,        ///< The request id is already running or done.
  kPoisoned,         ///< Reported as never seen before it arrived, perhaps.
  kUndecided,        ///< May already have run.
  kTableFull,        ///< The outcome table is full of running requests.
  kNotOwner,         ///< Another daemon owns the key.
  kLeaseNotHeld,     ///< The lease of the owner has expired.
  kDraining,         ///< The owner is draining.
  kCold,             ///< The backend server is not ready yet.
  kShed,             ///< The backend server refused it as not run.
  kBackendDown,      ///< No connection to the backend server.
  kOwnerUnreachable, ///< No connection to the owner's daemon.
  kNoOwner,          ///< The key has no known owner.
  kNoInstance,       ///< The service has no usable instance.
  kNoService,        ///< The service isn't configured.
  kNoKey,            ///< The request has no key.
  kRetriesSpent,     ///< Retry budget or attempts are used up.
  kBodyTooLarge,     ///< The body is too large to forward.
  kBodyTimeout,      ///< The caller stopped sending the body.
  kFatalRequest,     ///< Backend servers have ended while running it.
  kCalleeOverloaded, ///< The calls that it would make aren't answered.
};

/** \brief Why a request was sent again. Each reason has its own counter. */
enum class RetryReason : uint8_t
{
  kRedirected,       ///< Not run; the owner has changed.
  kOverloaded,       ///< Not run; queue, deadline or load shedding.
  kUnavailable,      ///< Not run; lease, drain, cold start, no connection.
  kConnectionLost,   ///< Idempotent; the connection was lost.
  kConnectionSilent, ///< Idempotent; heartbeats were missed.
  kServerFailed,     ///< Idempotent; server error (5xx).
  kNeverSeen,        ///< The owner never received the lost attempt.
  kHedged,           ///< Idempotent; slower than the hedging quantile.
};

inline constexpr std::array kOutcomes{ Outcome::kDone,
                                       Outcome::kNotRun,
                                       Outcome::kUnknown };

inline constexpr size_t kRefusalReasonCount =
  static_cast<size_t>(RefusalReason::kCalleeOverloaded) + 1;

inline constexpr size_t kRetryReasonCount =
  static_cast<size_t>(RetryReason::kHedged) + 1;

/** \brief Name in headers and metric labels: done, not-run, unknown. */
std::string_view ToString(Outcome aOutcome);

/** \brief Name in headers and metric labels, such as queue-full. */
std::string_view ToString(RefusalReason aReason);

/** \brief Name in headers and metric labels, such as connection-lost. */
std::string_view ToString(RetryReason aReason);

/**
 * \brief Outcome of a request that was refused for a reason.
 *
 * Only kDuplicate and kUndecided give kUnknown: an earlier copy may have run.
 */
Outcome OutcomeOf(RefusalReason aReason);

}

#endif
