#ifndef PISTACHIOSHIFT_ROUTING_OUTCOME_H
#define PISTACHIOSHIFT_ROUTING_OUTCOME_H

#include <array>
#include <cstdint>
#include <string_view>

namespace pistachioshift {

/** \brief What became of a request, as told to its caller. */
enum class Outcome : uint8_t
{
  kDone,    ///< Ran to its end; the answer is the backend server's.
  kNotRun,  ///< Did not run and never will.
  kUnknown, ///< May have run.
};

/** \brief Why a request was refused; one counter each. */
enum class RefusalReason : uint8_t
{
  kQueueFull,        ///< The queue of the class is at its bound.
  kOverloaded,       ///< The queue doesn't drain; it is kept short.
  kCannotFinish,     ///< Can't finish before its deadline.
  kDeadlineExpired,  ///< Deadline passed on arrival.
  kDisplaced,        ///< Left the queue for requests that can finish.
  kCancelled,        ///< The caller left before the request started.
  kDuplicate,        ///< The same request id is running or done.
  kPoisoned,         ///< Was reported as never seen before it arrived.
  kUndecided,        ///< An earlier run can't be excluded.
  kTableFull,        ///< No room to remember one more running request.
  kNotOwner,         ///< Another daemon owns the key.
  kLeaseNotHeld,     ///< The owner's lease lapsed.
  kDraining,         ///< The owner takes no new work.
  kCold,             ///< The backend server is not ready yet.
  kShed,             ///< The backend server refused it as not run.
  kBackendDown,      ///< No connection to the backend server.
  kOwnerUnreachable, ///< No connection to the owner's daemon.
  kNoOwner,          ///< No owner known for the key.
  kNoInstance,       ///< No instance of an any-instance service is usable.
  kNoService,        ///< The document doesn't name the service.
  kNoKey,            ///< The request names no key.
  kRetriesSpent,     ///< Retry budget or number of attempts is spent.
  kBodyTooLarge,     ///< The body exceeds what can be forwarded.
};

/** \brief Why a request was sent again; one counter each. */
enum class RetryReason : uint8_t
{
  kRedirected,       ///< Not run: the owner changed.
  kOverloaded,       ///< Not run: queue, deadline or load shedding.
  kUnavailable,      ///< Not run: lease, drain, cold start or no connection.
  kConnectionLost,   ///< Idempotent; the connection died.
  kConnectionSilent, ///< Idempotent; the connection went silent.
  kServerFailed,     ///< Idempotent; the backend server failed on it.
  kNeverSeen,        ///< The owner never saw the lost copy.
  kHedged,           ///< Idempotent; slower than the hedge quantile.
};

inline constexpr std::array kOutcomes{ Outcome::kDone,
                                       Outcome::kNotRun,
                                       Outcome::kUnknown };

inline constexpr size_t kRefusalReasonCount =
  static_cast<size_t>(RefusalReason::kBodyTooLarge) + 1;

inline constexpr size_t kRetryReasonCount =
  static_cast<size_t>(RetryReason::kHedged) + 1;

/** \brief Name in headers and metric labels: done, not-run, unknown. */
std::string_view ToString(Outcome aOutcome);

/** \brief Name in headers and metric labels, such as queue-full. */
std::string_view ToString(RefusalReason aReason);

/** \brief Name in headers and metric labels, such as connection-lost. */
std::string_view ToString(RetryReason aReason);

/**
 * \brief Outcome that a refusal amounts to.
 *
 * Only kDuplicate and kUndecided are unknown: an earlier copy may have run.
 */
Outcome OutcomeOf(RefusalReason aReason);

}

#endif
