#ifndef PISTACHIOSHIFT_DAEMON_RESOLVEDREQUEST_H
#define PISTACHIOSHIFT_DAEMON_RESOLVEDREQUEST_H

#include <string>
#include <variant>

#include "src/Base/Clock.h"
#include "src/Http/Message.h"
#include "src/Routing/Outcome.h"
#include "src/Routing/Retry.h"
#include "src/Routing/ServicePolicy.h"

namespace pistachioshift {

/** \brief Attempts of one request at most, redirects included. */
inline constexpr uint32_t kMaxRequestAttempts = 100;

/** \brief Delay of an attempt after the second redirect in a row. */
inline constexpr Duration kRedirectDelay = std::chrono::milliseconds(20);

/** \brief What the document says of one request. */
struct ResolvedRequest
{
  ServicePolicy policy;
  RequestClass requestClass;
  std::string key;
  Duration timeLimit{}; ///< Time until the head of the answer is due.
  std::string idempotencyKey;
  bool repeat = false;   ///< The caller sent the idempotency key before.
  uint32_t priority = 0; ///< 0 is the most urgent.
  Duration goal{};       ///< Latency that is aimed at; zero: none.
  std::string logId;     ///< Names the request in log lines; may be empty.
  RetrySettings retry{ .maxAttempts = kMaxRequestAttempts,
                       .redirectDelay = kRedirectDelay };
};

/**
 * \brief Finds service, key, class and deadline of a request. Pure.
 *
 * The deadline is the class's, or less if the request says so: in
 * `Pistachio-Timeout-Ms`, or in `Pistachio-Deadline`, which a backend server
 * of this host passes on with a nested call.
 */
std::variant<ResolvedRequest, RefusalReason> ResolveRequest(
  const RequestHead& aHead,
  const ServicePolicies& aPolicies,
  WallTime aNow);

}

#endif
