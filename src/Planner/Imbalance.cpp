#include "src/Planner/Imbalance.h"

#include <algorithm>
#include <functional>
#include <map>
#include <numeric>

namespace pistachioshift {

double
ImbalanceOf(const ServiceLoad& aLoad)
{
  std::map<DaemonId, double> loads;
  for (const auto& entry : aLoad.entries) {
    loads[entry.movingTo.value_or(entry.owner)] += entry.load;
  }
  double total = 0.0;
  double capacity = 0.0;
  double largest = 0.0;
  for (const auto& server : aLoad.servers) {
    const auto load = loads[server.id];
    total += load;
    capacity += server.capacity;
    largest = std::max(largest, load / server.capacity);
  }
  return total > 0.0 ? largest * capacity / total : 1.0;
}

double
ImbalanceLowerBound(std::vector<double> aKeyLoads, size_t aServers)
{
  std::sort(aKeyLoads.begin(), aKeyLoads.end(), std::greater<>());
  const auto total = std::accumulate(aKeyLoads.begin(), aKeyLoads.end(), 0.0);
  if (!(total > 0.0)) {
    return 1.0;
  }
  const auto mean = total / static_cast<double>(aServers);
  double bound = mean;
  for (size_t j = 0; j * aServers < aKeyLoads.size(); ++j) {
    const auto lightest = j * aServers;
    double sum = 0.0;
    for (size_t index = lightest - j; index <= lightest; ++index) {
      sum += aKeyLoads[index];
    }
    bound = std::max(bound, sum);
  }
  return bound / mean;
}

}
