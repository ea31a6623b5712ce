#include "src/Ranges/LoadMap.h"

#include <algorithm>
#include <utility>

namespace pistachioshift {

LoadMap::LoadMap(double aUniformLoad)
  : m_uniformLoad(aUniformLoad)
  , m_steps{ Step{ 0, 0.0, aUniformLoad / kShardKeys } }
{
}

void
LoadMap::Add(const std::vector<LoadBucket>& aBuckets)
{
  // Changes of the load per key, by the key at which they occur.
  std::vector<std::pair<uint32_t, double>> changes;
  changes.reserve(m_steps.size() + 2 * aBuckets.size());
  double previous = 0.0;
  for (const auto& step : m_steps) {
    changes.emplace_back(step.key, step.loadPerKey - previous);
    previous = step.loadPerKey;
  }
  for (const auto& bucket : aBuckets) {
    const auto loadPerKey = bucket.load / bucket.range.Size();
    changes.emplace_back(bucket.range.first, loadPerKey);
    changes.emplace_back(bucket.range.last + 1, -loadPerKey);
  }
  std::sort(changes.begin(), changes.end());
  m_steps.clear();
  for (const auto& [key, change] : changes) {
    if (m_steps.empty()) {
      m_steps.push_back(Step{ key });
    } else if (m_steps.back().key != key) {
      const auto& last = m_steps.back();
      const auto load = last.loadBefore + last.loadPerKey * (key - last.key);
      m_steps.push_back(Step{ key, load, last.loadPerKey });
    }
    m_steps.back().loadPerKey += change;
  }
}

void
LoadMap::Scale(double aFactor)
{
  m_uniformLoad *= aFactor;
  for (auto& step : m_steps) {
    step.loadBefore *= aFactor;
    step.loadPerKey *= aFactor;
  }
}

std::vector<LoadMap::Step>::const_iterator
LoadMap::StepOf(uint32_t aKey) const
{
  const auto next = std::upper_bound(
    m_steps.begin(),
    m_steps.end(),
    aKey,
    [](uint32_t aSought, const Step& aStep) { return aSought < aStep.key; });
  return std::prev(next); // The first step is at key 0.
}

double
LoadMap::LoadBelow(uint32_t aKey) const
{
  const auto& step = *StepOf(aKey);
  return step.loadBefore + step.loadPerKey * (aKey - step.key);
}

KeyLoad
LoadMap::HottestKey(const KeyRange& aRange) const
{
  auto step = StepOf(aRange.first);
  KeyLoad hottest{ aRange.first, step->loadPerKey };
  for (++step; step != m_steps.end() && step->key <= aRange.last; ++step) {
    if (step->loadPerKey > hottest.load) {
      hottest = KeyLoad{ step->key, step->loadPerKey };
    }
  }
  return hottest;
}

double
LoadMap::LoadOf(const KeyRange& aRange) const
{
  return LoadBelow(aRange.last + 1) - LoadBelow(aRange.first);
}

uint32_t
LoadMap::LastKeyForLoad(const KeyRange& aRange, double aLoad) const
{
  // The load of [first, end] increases with end: binary search for aLoad.
  uint32_t low = aRange.first;
  uint32_t high = aRange.last;
  while (low < high) {
    const auto middle = low + (high - low) / 2;
    if (LoadOf({ aRange.first, middle }) >= aLoad) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  // Leave out the last key if the load is closer to aLoad without it.
  if (low > aRange.first) {
    const auto over = LoadOf({ aRange.first, low }) - aLoad;
    const auto under = aLoad - LoadOf({ aRange.first, low - 1 });
    if (under < over) {
      --low;
    }
  }
  return low;
}

std::vector<KeyRange>
LoadMap::Split(const KeyRange& aRange, uint32_t aPieces) const
{
  std::vector<KeyRange> pieces;
  auto rest = aRange;
  double left = LoadOf(aRange);
  for (uint32_t count = aPieces; count > 1 && rest.Size() > 1; --count) {
    const auto end = LastKeyForLoad(rest, left / count);
    if (end >= rest.last) {
      break;
    }
    pieces.push_back({ rest.first, end });
    left -= LoadOf(pieces.back());
    rest.first = end + 1;
  }
  pieces.push_back(rest);
  return pieces;
}

}
