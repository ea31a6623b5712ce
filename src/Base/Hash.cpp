#include "src/Base/Hash.h"

#include <xxhash.h>

namespace pistachioshift {

uint64_t
HashKey(std::string_view aKey)
{
  return XXH3_64bits(aKey.data(), aKey.size());
}

RangeIndex
RangeOfKey(std::string_view aKey, uint32_t aRangeCount)
{
  // The high bits of the product pick the range without a division's bias.
  const auto product =
    static_cast<unsigned __int128>(HashKey(aKey)) * aRangeCount;
  return RangeIndex(static_cast<uint32_t>(product >> 64U));
}

}
