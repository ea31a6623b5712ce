#ifndef PISTACHIOSHIFT_ROUTING_CALLEETHROTTLE_H
#define PISTACHIOSHIFT_ROUTING_CALLEETHROTTLE_H

#include <optional>
#include <unordered_map>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Routing/DecayingSum.h"

namespace pistachioshift {

/** \brief How a nested call ended, as far as its callee can be judged. */
enum class CalleeResult : uint8_t
{
  kAnswered, ///< By a backend server of the callee, without a server error.
  kFailed,   ///< Refused, failed, or given up for want of an answer.
  kNeutral,  ///< Says nothing about the callee.
};

/**
 * \brief Refuses outer requests whose nested calls would fail.
 *
 * A request that has run and whose nested call fails has wasted its slot. For
 * each callee service the throttle compares the calls wanted in the last
 * seconds with the calls answered. Calls that refused requests would have made
 * count as wanted. Requests are admitted to the extent that calls are answered,
 * in proportion to the share of requests that make such calls; some are always
 * admitted, so that a recovery shows. Does no I/O and reads no clock.
 */
class CalleeThrottle
{
public:
  /**
   * \brief Decides on an outer request; called once for each of them.
   *
   * Refusals are spread evenly over the requests, not drawn at random.
   */
  bool Admits(MonoTime aNow);

  /** \brief Counts an outer request that is sent to the backend server. */
  void OnStarted(MonoTime aNow) { m_started.Add(1.0, aNow); }

  /** \brief Counts the end of a nested call to a service. */
  void OnCallEnded(const ServiceName& aCallee,
                   CalleeResult aResult,
                   MonoTime aNow);

  /** \brief Share of the outer requests that is refused now, 0 to below 1. */
  double RefusedShare(MonoTime aNow) const;

  /** \brief Callee with the largest share of refusals; none if all requests
   * are admitted. */
  std::optional<ServiceName> WorstCallee(MonoTime aNow) const;

private:
  /** Time constant of all sums. A daemon sees some ten calls in this time, and
   * a recovery is noticed within it. */
  static constexpr Duration kMemory = std::chrono::milliseconds(1500);

  struct Callee
  {
    internal::DecayingSum sent{ kMemory };
    internal::DecayingSum answered{ kMemory };
    internal::DecayingSum withheld{
      kMemory
    }; ///< Calls that refused requests would have made.
  };

  double RefusedShareBy(const Callee& aCallee, MonoTime aNow) const;
  double CallsPerRequest(const Callee& aCallee, MonoTime aNow) const;

  std::unordered_map<ServiceName, Callee> m_callees;
  internal::DecayingSum m_started{ kMemory }; ///< Outer requests.
  double m_due = 0.0; ///< Refusals due, as a fraction of one.
};

}

#endif
