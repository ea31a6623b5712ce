#ifndef PISTACHIOSHIFT_ROUTING_SERVICEPOLICY_H
#define PISTACHIOSHIFT_ROUTING_SERVICEPOLICY_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief How the requests of a service find their backend server. */
enum class Division
{
  kKeyed,
  kAnyInstance,
};

/** \brief Whether backend servers refuse a fence token lower than one seen. */
enum class Fencing
{
  kChecked,
  kUnchecked,
};

/** \brief Treatment of the requests that match a method and a path prefix. */
struct RequestClass
{
  ClassName name;
  std::vector<std::string> methods; ///< Empty: every method.
  std::string pathPrefix;           ///< Below the key; empty: every path.
  bool idempotent = false;
  double weight = 1.0;     ///< Share of service relative to other classes.
  Duration deadline{};     ///< From arrival; also the longest one accepted.
  uint32_t queueBound = 0; ///< Requests that may wait at the gate.

  bool operator==(const RequestClass&) const = default;
};

/** \brief What the document says of one service. */
struct ServicePolicy
{
  ServiceName name;
  Division division = Division::kKeyed;
  Fencing fencing = Fencing::kChecked;
  uint32_t ranges = 0;               ///< Hash ranges; 0 for kAnyInstance.
  uint32_t slots = 1;                ///< Requests at once per backend server.
  uint32_t maxMovesPerHour = 0;      ///< Churn budget of the planner.
  double retryShare = 0.1;           ///< Retries per first attempt, 0 to 1.
  double hedgeQuantile = 0.95;       ///< Latency quantile; 1 turns hedging off.
  std::vector<RequestClass> classes; ///< First match counts; the last one
                                     ///< matches all.

  /** \brief Longest deadline of any class; bounds the wait of an heir. */
  Duration LongestDeadline() const;

  bool operator==(const ServicePolicy&) const = default;
};

/** \brief The policies in force, by service. */
using ServicePolicies = std::map<ServiceName, ServicePolicy>;

/**
 * \brief Class of a request: the first that matches.
 * \return nullptr if none matches.
 */
const RequestClass* FindClass(const ServicePolicy& aPolicy,
                              const std::string& aMethod,
                              const std::string& aPath);

}

#endif
