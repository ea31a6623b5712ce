#ifndef PISTACHIOSHIFT_ROUTING_SERVICEPOLICY_H
#define PISTACHIOSHIFT_ROUTING_SERVICEPOLICY_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief How the requests of a service are divided among backend servers. */
enum class Division
{
  kKeyed,       ///< Each key belongs to one owner.
  kAnyInstance, ///< Load balancing over all instances.
};

/** \brief Whether backend servers refuse fence tokens older than the newest. */
enum class Fencing
{
  kChecked,
  kUnchecked,
};

/** \brief Handling of the requests that match a method and a path prefix. */
struct RequestClass
{
  ClassName name;
  std::vector<std::string> methods; ///< Empty: every method.
  std::string pathPrefix;           ///< Without the key; empty: every path.
  bool idempotent = false;
  double weight = 1.0;     ///< Share of service relative to other classes.
  Duration deadline{};     ///< From arrival; also the longest accepted.
  uint32_t queueBound = 0; ///< Requests that may be queued for admission.

  bool operator==(const RequestClass&) const = default;
};

/** \brief Configuration of one service. */
struct ServicePolicy
{
  ServiceName name;
  Division division = Division::kKeyed;
  Fencing fencing = Fencing::kChecked;
  uint32_t ranges = 0;          ///< Number of hash ranges; 0 for kAnyInstance.
  uint32_t slots = 1;           ///< Concurrent requests per backend server.
  uint32_t maxMovesPerHour = 0; ///< Limit of planned moves of keys.
  double retryShare = 0.1;      ///< Retries per first attempt, 0 to 1.
  double hedgeQuantile = 0.95;  ///< Latency quantile; 1 disables hedging.
  std::vector<RequestClass> classes; ///< The first match counts; the last
                                     ///< class matches all requests.

  /**
   * \brief Longest deadline of any class.
   *
   * Bounds the wait of a new owner whose backend server checks no fence tokens.
   */
  Duration LongestDeadline() const;

  bool operator==(const ServicePolicy&) const = default;
};

/** \brief The current policies, by service. */
using ServicePolicies = std::map<ServiceName, ServicePolicy>;

/**
 * \brief Class of a request: the first one that matches.
 * \return nullptr if none matches.
 */
const RequestClass* FindClass(const ServicePolicy& aPolicy,
                              const std::string& aMethod,
                              const std::string& aPath);

}

#endif
