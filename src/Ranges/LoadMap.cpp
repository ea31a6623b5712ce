#include "src/Ranges/LoadMap.h"

#include <algorithm>

namespace pistachioshift {

void
LoadMap::Add(const std::vector<LoadBucket>& aBuckets)
{
  m_buckets.insert(m_buckets.end(), aBuckets.begin(), aBuckets.end());
  std::sort(m_buckets.begin(),
            m_buckets.end(),
            [](const LoadBucket& aLeft, const LoadBucket& aRight) {
              return aLeft.range < aRight.range;
            });
}

double
LoadMap::LoadOf(const KeyRange& aRange) const
{
  double load = m_uniformLoad * aRange.Size() / kShardKeys;
  for (const auto& bucket : m_buckets) {
    if (bucket.range.Overlaps(aRange)) {
      load += bucket.load * bucket.range.Intersection(aRange).Size() /
              bucket.range.Size();
    }
  }
  return load;
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
