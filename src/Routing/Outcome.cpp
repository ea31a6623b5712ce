#include "src/Routing/Outcome.h"

namespace pistachioshift {

namespace {

constexpr std::array<std::string_view, 3> kOutcomeNames{
  "done",
  "not-run",
  "unknown",
};

constexpr std::array<std::string_view, kRefusalReasonCount> kRefusalNames{
  "queue-full",
  "overloaded",
  "cannot-finish",
  "deadline-expired",
  "displaced",
  "cancelled",
  "duplicate",
  "poisoned",
  "undecided",
  "table-full",
  "not-owner",
  "lease-not-held",
  "draining",
  "cold",
  "shed",
  "backend-down",
  "owner-unreachable",
  "no-owner",
  "no-instance",
  "no-service",
  "no-key",
  "retries-spent",
  "body-too-large",
  "body-timeout",
  "fatal-request",
  "callee-overloaded",
};

constexpr std::array<std::string_view, kRetryReasonCount> kRetryNames{
  "redirected",        "overloaded",    "unavailable", "connection-lost",
  "connection-silent", "server-failed", "never-seen",  "hedged",
};

}

std::string_view
ToString(Outcome aOutcome)
{
  return kOutcomeNames.at(static_cast<size_t>(aOutcome));
}

std::string_view
ToString(RefusalReason aReason)
{
  return kRefusalNames.at(static_cast<size_t>(aReason));
}

std::string_view
ToString(RetryReason aReason)
{
  return kRetryNames.at(static_cast<size_t>(aReason));
}

Outcome
OutcomeOf(RefusalReason aReason)
{
  const bool earlierCopy = aReason == RefusalReason::kDuplicate ||
                           aReason == RefusalReason::kUndecided;
  return earlierCopy ? Outcome::kUnknown : Outcome::kNotRun;
}

}
