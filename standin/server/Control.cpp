#include "standin/server/Control.h"

#include <algorithm>
#include <random>

namespace pistachioshift::standin {
namespace {

/// Slow-down when a cold start begins; it falls linearly to 1 at the end.
constexpr double kColdStartFactor = 10;

Duration
Millis(double aCount)
{
  using DoubleMillis = std::chrono::duration<double, std::milli>;
  return std::chrono::duration_cast<Duration>(DoubleMillis(aCount));
}

}

void
Control::Apply(const Target& aTarget, MonoTime aNow)
{
  const auto& query = aTarget.query;
  draining = aTarget.Number("drain", draining ? 1 : 0) != 0;
  shed = aTarget.Number("shed", shed);
  loadFactor = aTarget.Number("load-lie", loadFactor);
  freeze = Millis(aTarget.Number("freeze-ms", 0));
  if (query.contains("work-ms")) {
    work = Millis(aTarget.Number("work-ms", 0));
  }
  if (query.contains("cold-ms")) {
    cold = Millis(aTarget.Number("cold-ms", 0));
    coldSince = aNow;
  }
}

Duration
Control::WithColdStart(Duration aWork, MonoTime aNow) const
{
  Duration age = aNow - coldSince;
  if (age >= cold) {
    return aWork;
  }
  double remaining = 1 - std::chrono::duration<double>(age) /
                           std::chrono::duration<double>(cold);
  double factor = 1 + (kColdStartFactor - 1) * remaining;
  return std::chrono::duration_cast<Duration>(aWork * factor);
}

bool
Control::ShouldShed(RandomEngine& aRandom) const
{
  return std::bernoulli_distribution(std::clamp(shed, 0.0, 1.0))(aRandom);
}

}
