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

/** \brief Maximum number of attempts of one request, including redirects. */
inline constexpr uint32_t kMaxRequestAttempts = 100;

/** \brief Delay before an attempt that follows a second redirect in a row. */
inline constexpr Duration kRedirectDelay = std::chrono::milliseconds(20);

/** \brief A caller's request with the policy that applies to it. */
struct ResolvedRequest
{
  ServicePolicy policy;
  RequestClass requestClass;
  std::string key;
  Duration timeLimit{}; ///< Time until the head of the response is due.
  std::string idempotencyKey;
  bool repeat = false;   ///< The caller has sent the idempotency key before.
  uint32_t priority = 0; ///< 0 is the most urgent.
  Duration goal{};       ///< Target latency; zero: none.
  std::string logId;     ///< Identifies the request in the log; may be empty.
  bool nested = false;   ///< Made by a backend server while it runs a request.
  /// A large request body: it is admitted by its size before it is read.
  bool upload = false;
  RetrySettings retry{ .maxAttempts = kMaxRequestAttempts,
                       .redirectDelay = kRedirectDelay };
};

/**
 * \brief Resolves service, key, class and time limit of a request. Pure.
 *
 * The time limit is that of the request class. The caller can shorten it with
 * `Pistachio-Timeout-Ms`; a backend server of this host that makes a nested
 * call shortens it by forwarding `Pistachio-Deadline`.
 * \return the reason if the request must be refused.
 */
std::variant<ResolvedRequest, RefusalReason> ResolveRequest(
  const RequestHead& aHead,
  const ServicePolicies& aPolicies,
  WallTime aNow);

}

#endif
