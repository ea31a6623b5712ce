#include "src/HostDaemon/KeyLoadMeter.h"

#include <algorithm>
#include <cmath>

namespace pistachioshift {

namespace {

/** Time constant of the mean: a hot key shows within a few seconds. */
constexpr double kMeanSeconds = 3.0;

/** Rates below are forgotten, in requests a second. */
constexpr double kLeastRate = 0.02;

/** Buckets in one report; bounds its size. */
constexpr size_t kMostBuckets = 128;

}

std::vector<LoadBucket>
KeyLoadMeter::EndInterval(MonoTime aNow)
{
  const auto elapsed = std::chrono::duration<double>(aNow - m_since).count();
  m_since = aNow;
  const bool first = elapsed > 60.0; // Nothing was measured before.
  const auto seconds = first ? 1.0 : std::max(elapsed, 1e-3);
  const auto keep = std::exp(-seconds / kMeanSeconds);
  for (auto& [key, rate] : m_rates) {
    rate *= keep;
  }
  for (const auto& [key, count] : m_arrived) {
    m_rates[key] += (1.0 - keep) * count / seconds;
  }
  m_arrived.clear();
  std::erase_if(m_rates,
                [](const auto& aItem) { return aItem.second < kLeastRate; });
  double total = 0.0;
  for (const auto& [key, rate] : m_rates) {
    total += rate;
  }
  std::vector<LoadBucket> buckets;
  const auto most = 2.0 * total / kMostBuckets;
  for (const auto& [key, rate] : m_rates) {
    if (!buckets.empty() && buckets.back().load + rate <= most) {
      buckets.back().range.last = key;
      buckets.back().load += rate;
    } else {
      buckets.push_back(LoadBucket{ { key, key }, rate });
    }
  }
  return buckets;
}

}
