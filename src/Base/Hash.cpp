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
  // The high 64 bits of hash times count map the hash to a range, without the
  // bias of a modulo.
  const auto product =
    static_cast<unsigned __int128>(HashKey(aKey)) * aRangeCount;
  return RangeIndex(static_cast<uint32_t>(product >> 64U));
}

}
