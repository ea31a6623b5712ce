#ifndef PISTACHIOSHIFT_BASE_HASH_H
#define PISTACHIOSHIFT_BASE_HASH_H

#include <cstdint>
#include <string_view>

#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief XXH3 64-bit hash of a key. */
uint64_t HashKey(std::string_view aKey);

/**
 * \brief Returns the hash range that contains the key.
 * \param aRangeCount number of ranges of the service, at least 1.
 */
RangeIndex RangeOfKey(std::string_view aKey, uint32_t aRangeCount);

}

#endif
