#include "src/Ranges/Coordination.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>

namespace pistachioshift {

namespace {

bool
IsLeaving(const HostRecord& aHost)
{
  return aHost.server && aHost.server->state == ServerState::kDraining;
}

bool
PrecedesInOrder(const HostRecord* aLeft, const HostRecord* aRight)
{
  return std::tuple(IsLeaving(*aLeft), -aLeft->cpuMillis, aLeft->host) <
         std::tuple(IsLeaving(*aRight), -aRight->cpuMillis, aRight->host);
}

std::vector<const HostRecord*>
OrderedHosts(const MeshState& aState)
{
  std::set<HostName> suspected;
  for (const auto& suspicion : aState.Table().suspicions) {
    if (aState.Suspected(suspicion.host)) {
      suspected.insert(suspicion.host);
    }
  }
  std::vector<const HostRecord*> hosts;
  for (const auto& [name, host] : aState.Hosts()) {
    if (!suspected.contains(name)) {
      hosts.push_back(&host);
    }
  }
  std::sort(hosts.begin(), hosts.end(), PrecedesInOrder);
  return hosts;
}

/** Makes the first usable host of a group its relay. */
BroadcastGroup
MakeGroup(const std::vector<const HostRecord*>& aHosts,
          const std::function<bool(const HostRecord&)>& aIsUsable)
{
  const auto usable =
    std::find_if(aHosts.begin(), aHosts.end(), [&](const HostRecord* aHost) {
      return aIsUsable(*aHost);
    });
  const auto* relay = usable == aHosts.end() ? aHosts.front() : *usable;
  BroadcastGroup group{ relay->host, {} };
  for (const auto* host : aHosts) {
    if (host != relay) {
      group.members.push_back(host->host);
    }
  }
  return group;
}

}

std::vector<HostName>
CoordinationOrder(const MeshState& aState)
{
  std::vector<HostName> names;
  for (const auto* host : OrderedHosts(aState)) {
    names.push_back(host->host);
  }
  return names;
}

std::vector<BroadcastGroup>
PlanBroadcast(const MeshState& aState,
              const HostName& aSelf,
              const std::function<bool(const HostRecord&)>& aIsUsable)
{
  std::map<ZoneName, std::vector<const HostRecord*>> zones;
  size_t receivers = 0;
  for (const auto* host : OrderedHosts(aState)) {
    if (host->host != aSelf) {
      zones[host->zone].push_back(host);
      ++receivers;
    }
  }
  const auto maxGroup = static_cast<size_t>(
    std::ceil(std::sqrt(static_cast<double>(std::max<size_t>(receivers, 1)))));
  std::vector<BroadcastGroup> groups;
  for (const auto& [zone, hosts] : zones) {
    // The hosts are dealt out in turn, so that each group begins with one of
    // the largest.
    const auto count = (hosts.size() + maxGroup - 1) / maxGroup;
    for (size_t first = 0; first < count; ++first) {
      std::vector<const HostRecord*> group;
      for (size_t index = first; index < hosts.size(); index += count) {
        group.push_back(hosts[index]);
      }
      groups.push_back(MakeGroup(group, aIsUsable));
    }
  }
  return groups;
}

}
