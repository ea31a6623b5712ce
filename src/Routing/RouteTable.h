#ifndef PISTACHIOSHIFT_ROUTING_ROUTETABLE_H
#define PISTACHIOSHIFT_ROUTING_ROUTETABLE_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Base/Random.h"

namespace pistachioshift {

using RouteName = StrongId<struct RouteNameTag, std::string>;

/** \brief A service that receives a share of the requests of a route. */
struct RouteTarget
{
  ServiceName service;
  uint32_t weight = 1; ///< Relative to the other targets of the route.

  bool operator==(const RouteTarget&) const = default;
};

/** \brief Handling of the requests for a host name and a path prefix. */
struct Route
{
  RouteName name;
  std::string host;       ///< In lower case, without a port.
  std::string pathPrefix; ///< Begins and ends with a slash.
  std::vector<RouteTarget> targets;
  bool idempotent = false;
  Duration timeout{};       ///< Longest time that a caller waits.
  Duration targetLatency{}; ///< Answers should take no longer.
  uint32_t attempts = 1;    ///< Most backend servers tried for one request.
  uint32_t priority = 0;    ///< 0 is the most urgent.
  bool upload = false;      ///< Requests have large bodies.

  bool operator==(const Route&) const = default;
};

/** \brief Immutable table of the routes of one configuration version. */
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(std::vector<Route> aRoutes);

  /**
   * \brief The route of the host with the longest prefix of the path.
   * \param aHost value of the Host field; case and port are ignored.
   * \param aPath path without the query.
   * \return nullptr if no route matches.
   */
  const Route* Match(std::string_view aHost, std::string_view aPath) const;

  size_t Size() const { return m_size; }

private:
  /** Routes of one host name, longest prefix first. */
  std::map<std::string, std::vector<Route>, std::less<>> m_hosts;
  size_t m_size = 0;
};

/** \brief Selects the service for a request at random, by weight. */
const ServiceName& ChooseTarget(const Route& aRoute, RandomEngine& aRandom);

}

#endif
