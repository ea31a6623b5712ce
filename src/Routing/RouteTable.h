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

/** \brief A service that gets a share of a route's requests. */
struct RouteTarget
{
  ServiceName service;
  uint32_t weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

/** \brief Treatment of the requests for a host name and a path prefix. */
struct Route
{
  RouteName name;
  std::string host;       ///< In lower case, without a port.
  std::string pathPrefix; ///< Begins and ends with a slash.
  std::vector<RouteTarget> targets;
  bool idempotent = false;
  Duration timeout{};       ///< Longest time that a caller is kept waiting.
  Duration targetLatency{}; ///< Within it an answer is worth most.
  uint32_t attempts = 1;    ///< Backend servers that one request may go to.
  uint32_t priority = 0;    ///< 0 is the most urgent.

  bool operator==(const Route&) const = default;
};

/** \brief Routes of one version of the configuration. Immutable. */
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(std::vector<Route> aRoutes);

  /**
   * \brief The route with the longest prefix of the path.
   * \param aHost value of the Host field; case and port don't matter.
   * \param aPath without the query.
   * \return nullptr if no route matches.
   */
  const Route* Match(std::string_view aHost, std::string_view aPath) const;

  size_t Size() const { return m_size; }

private:
  /** Routes of one host name, longest prefix first. */
  std::map<std::string, std::vector<Route>, std::less<>> m_hosts;
  size_t m_size = 0;
};

/** \brief Draws the service for a request, by weight. */
const ServiceName& ChooseTarget(const Route& aRoute, RandomEngine& aRandom);

}

#endif
