#include "src/Routing/KeySketch.h"

#include <algorithm>

namespace pistachioshift {

namespace {

constexpr double kLeastScale = 1e-9; // Keeps weights well inside a double.

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
  const auto place = m_places.find(aKey);
  if (place != m_places.end()) {
    return Raise(place, weight);
  }
  if (m_places.size() >= m_capacity) {
    return ReplaceLightest(aKey, weight);
  }
  const std::string key(aKey);
  m_places.emplace(key, m_counters.emplace(weight, Counter{ key, 0.0 }));
}

void
KeySketch::Decay(double aFactor)
{
  m_scale *= aFactor;
  if (m_scale < kLeastScale) {
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
KeySketch::Raise(Places::iterator aPlace, double aWeight)
{
  auto node = m_counters.extract(aPlace->second);
  node.key() += aWeight;
  aPlace->second = m_counters.insert(std::move(node));
}

void
KeySketch::ReplaceLightest(std::string_view aKey, double aWeight)
{
  auto node = m_counters.extract(m_counters.begin());
  m_places.erase(node.mapped().key);
  node.mapped() = Counter{ std::string(aKey), node.key() };
  node.key() += aWeight;
  const auto counter = m_counters.insert(std::move(node));
  m_places.emplace(counter->second.key, counter);
}

void
KeySketch::Rescale()
{
  Counters scaled;
  for (auto& [weight, counter] : m_counters) {
    counter.error *= m_scale;
    const auto place = m_places.find(counter.key);
    place->second = scaled.emplace(weight * m_scale, std::move(counter));
  }
  m_counters = std::move(scaled);
  m_total *= m_scale;
  m_scale = 1.0;
}

}
