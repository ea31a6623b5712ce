#include "src/Routing/RouteTable.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace pistachioshift {

namespace {

std::string
NormalizeHost(std::string_view aField)
{
  std::string host(aField.substr(0, aField.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  });
  return host;
}

}

RouteTable::RouteTable(std::vector<Route> aRoutes)
  : m_size(aRoutes.size())
{
  for (auto& route : aRoutes) {
    m_hosts[NormalizeHost(route.host)].push_back(std::move(route));
  }
  for (auto& [host, routes] : m_hosts) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route& aLeft, const Route& aRight) {
                       return aLeft.pathPrefix.size() >
                              aRight.pathPrefix.size();
                     });
  }
}

const Route*
RouteTable::Match(std::string_view aHost, std::string_view aPath) const
{
  const auto found = m_hosts.find(NormalizeHost(aHost));
  if (found == m_hosts.end()) {
    return nullptr;
  }
  const auto& routes = found->second;
  const auto route =
    std::find_if(routes.begin(), routes.end(), [&](const Route& aRoute) {
      return aPath.starts_with(aRoute.pathPrefix);
    });
  return route == routes.end() ? nullptr : &*route;
}

const ServiceName&
ChooseTarget(const Route& aRoute, RandomEngine& aRandom)
{
  const auto total =
    std::accumulate(aRoute.targets.begin(),
                    aRoute.targets.end(),
                    uint32_t{ 0 },
                    [](uint32_t aSum, const RouteTarget& aItem) {
                      return aSum + aItem.weight;
                    });
  if (total == 0 || aRoute.targets.size() == 1) {
    return aRoute.targets.front().service;
  }
  auto drawn = static_cast<uint32_t>(aRandom() % total);
  for (const auto& target : aRoute.targets) {
    if (drawn < target.weight) {
      return target.service;
    }
    drawn -= target.weight;
  }
  return aRoute.targets.back().service;
}

}
