#include "src/Routing/UsualTimes.h"

#include <algorithm>

namespace pistachioshift {

namespace {

constexpr size_t kFirstSamples = 9;

/** Change of the median with each sample, as a share of it. A server that
 * becomes two times slower changes it within 140 samples, when the change has
 * long been noticed. */
constexpr double kStep = 0.005;

}

void
UsualTimes::Record(ClassIndex aClass, Duration aTaken)
{
  auto& times = m_classes[aClass];
  if (times.median) {
    const auto factor = aTaken > *times.median ? 1.0 + kStep : 1.0 - kStep;
    times.median = std::chrono::duration_cast<Duration>(*times.median * factor);
    return;
  }
  times.first.push_back(aTaken);
  if (times.first.size() == kFirstSamples) {
    std::sort(times.first.begin(), times.first.end());
    times.median = times.first[kFirstSamples / 2];
    times.first.clear();
  }
}

std::optional<Duration>
UsualTimes::Of(ClassIndex aClass) const
{
  const auto found = m_classes.find(aClass);
  return found == m_classes.end() ? std::nullopt : found->second.median;
}

}
