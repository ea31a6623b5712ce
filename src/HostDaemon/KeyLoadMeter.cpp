#include "src/HostDaemon/KeyLoadMeter.h"

#include <algorithm>
#include <cmath>

namespace pistachioshift {

namespace {

/** Time constant of the mean; a hot key becomes visible in a few seconds. */
constexpr double kTimeConstantSeconds = 3.0;

/** Keys with a lower rate are dropped, in requests per second. */
constexpr double kMinRate = 0.02;

}

std::vector<LoadBucket>
KeyLoadMeter::EndInterval(MonoTime aNow, size_t aMaxBuckets)
{
  const auto elapsed =
    std::chrono::duration<double>(aNow - m_intervalStart).count();
  m_intervalStart = aNow;
  const bool first = elapsed > 60.0; // No interval was measured yet.
  const auto seconds = first ? 1.0 : std::max(elapsed, 1e-3);
  const auto retained = std::exp(-seconds / kTimeConstantSeconds);
  for (auto& [key, rate] : m_rates) {
    rate *= retained;
  }
  for (const auto& [key, count] : m_arrived) {
    m_rates[key] += (1.0 - retained) * count / seconds;
  }
  m_arrived.clear();
  std::erase_if(m_rates,
                [](const auto& aItem) { return aItem.second < kMinRate; });
  double total = 0.0;
  for (const auto& [key, rate] : m_rates) {
    total += rate;
  }
  std::vector<LoadBucket> buckets;
  const auto maxBucketLoad = 2.0 * total / static_cast<double>(aMaxBuckets);
  for (const auto& [key, rate] : m_rates) {
    if (!buckets.empty() && buckets.back().load + rate <= maxBucketLoad) {
      buckets.back().range.last = key;
      buckets.back().load += rate;
    } else {
      buckets.push_back(LoadBucket{ { key, key }, rate });
    }
  }
  return buckets;
}

}
