#include "src/Ranges/LoadTrend.h"

#include <algorithm>
#include <cmath>

namespace pistachioshift {

namespace {

/** Fewer samples give no slope that can be told from noise. */
constexpr size_t kMinSamples = 3;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

}

void
LoadTrend::Add(double aLoad, size_t aHosts, MonoTime aNow)
{
  if (aHosts != m_hosts) {
    m_hosts = aHosts;
    m_samples.clear();
  }
  std::erase_if(m_samples, [&](const Sample& aItem) {
    return aNow - aItem.at > m_settings.window;
  });
  m_samples.push_back(Sample{ aNow, aLoad });
}

double
LoadTrend::Factor() const
{
  if (m_samples.size() < kMinSamples || m_samples.back().load <= 0.0) {
    return 1.0;
  }
  const auto& last = m_samples.back();
  const auto count = static_cast<double>(m_samples.size());
  double meanTime = 0.0;
  double meanLoad = 0.0;
  for (const auto& sample : m_samples) {
    meanTime += Seconds(sample.at - last.at) / count;
    meanLoad += sample.load / count;
  }
  double covariance = 0.0;
  double variance = 0.0;
  for (const auto& sample : m_samples) {
    const auto time = Seconds(sample.at - last.at) - meanTime;
    covariance += time * (sample.load - meanLoad);
    variance += time * time;
  }
  if (variance <= 0.0) {
    return 1.0;
  }
  const auto change =
    covariance / variance * Seconds(m_settings.lead) / last.load;
  const auto threshold =
    std::max(m_settings.minChange, m_settings.noise / std::sqrt(last.load));
  if (std::abs(change) < threshold) {
    return 1.0;
  }
  return std::clamp(1.0 + change, m_settings.minFactor, m_settings.maxFactor);
}

}
