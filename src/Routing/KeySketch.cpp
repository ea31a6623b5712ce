#include "src/Routing/KeySketch.h"

#include <algorithm>

namespace pistachioshift {

namespace {

constexpr double kMinScale = 1e-9; // Keeps unscaled weights far from overflow.

}

KeySketch::KeySketch(size_t aCapacity)
  : m_capacity(std::max<size_t>(aCapacity, 1))
{
}

void
KeySketch::Add(std::string_view aKey, double aWeight)
{
  const auto weight = aWeight / m_scale;
  m_total += weight;
  const auto position = m_index.find(aKey);
  if (position != m_index.end()) {
    return Increase(position, weight);
  }
  if (m_index.size() >= m_capacity) {
    return ReplaceLightest(aKey, weight);
  }
  const std::string key(aKey);
  m_index.emplace(key, m_counters.emplace(weight, Counter{ key, 0.0 }));
}

void
KeySketch::Decay(double aFactor)
{
  m_scale *= aFactor;
  if (m_scale < kMinScale) {
    Rescale();
  }
}

std::vector<KeyWeight>
KeySketch::Top(size_t aCount) const
{
  std::vector<KeyWeight> top;
  const auto count = std::min(aCount, m_counters.size());
  top.reserve(count);
  for (auto next = m_counters.rbegin(); top.size() < count; ++next) {
    const auto& [weight, counter] = *next;
    top.push_back({ counter.key, weight * m_scale, counter.error * m_scale });
  }
  return top;
}

void
KeySketch::Increase(CounterIndex::iterator aPosition, double aWeight)
{
  auto node = m_counters.extract(aPosition->second);
  node.key() += aWeight;
  aPosition->second = m_counters.insert(std::move(node));
}

void
KeySketch::ReplaceLightest(std::string_view aKey, double aWeight)
{
  auto node = m_counters.extract(m_counters.begin());
  m_index.erase(node.mapped().key);
  node.mapped() = Counter{ std::string(aKey), node.key() };
  node.key() += aWeight;
  const auto counter = m_counters.insert(std::move(node));
  m_index.emplace(counter->second.key, counter);
}

void
KeySketch::Rescale()
{
  Counters scaled;
  for (auto& [weight, counter] : m_counters) {
    counter.error *= m_scale;
    const auto position = m_index.find(counter.key);
    position->second = scaled.emplace(weight * m_scale, std::move(counter));
  }
  m_counters = std::move(scaled);
  m_total *= m_scale;
  m_scale = 1.0;
}

}
