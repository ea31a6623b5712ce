#ifndef PISTACHIOSHIFT_RANGES_KEYRANGE_H
#define PISTACHIOSHIFT_RANGES_KEYRANGE_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief Key of a service whose key space is partitioned into ranges. */
using ShardKey = StrongId<struct ShardKeyTag, uint32_t>;

/** \brief Size of the key space: keys are 0 to 65535. */
inline constexpr uint32_t kShardKeys = 65536;

/** \brief Parses a decimal shard key; nullopt if it is malformed or too large.
 */
std::optional<ShardKey> ParseShardKey(std::string_view aText);

/** \brief Contiguous keys; both bounds are inclusive. */
struct KeyRange
{
  uint32_t first = 0;
  uint32_t last = kShardKeys - 1;

  bool Contains(ShardKey aKey) const
  {
    return first <= aKey.Value() && aKey.Value() <= last;
  }

  bool Contains(const KeyRange& aOther) const
  {
    return first <= aOther.first && aOther.last <= last;
  }

  bool Overlaps(const KeyRange& aOther) const
  {
    return first <= aOther.last && aOther.first <= last;
  }

  /** \brief Intersection of two ranges, which must overlap. */
  KeyRange Intersection(const KeyRange& aOther) const
  {
    return { std::max(first, aOther.first), std::min(last, aOther.last) };
  }

  uint32_t Size() const { return last - first + 1; }

  auto operator<=>(const KeyRange&) const = default;
};

}

#endif
