#ifndef PISTACHIOSHIFT_BASE_RANDOM_H
#define PISTACHIOSHIFT_BASE_RANDOM_H

#include <array>
#include <cstdint>
#include <random>

#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief Random number generator, passed by reference to code that uses it. */
using RandomEngine = std::mt19937_64;

/**
 * \brief What a process seeds its generator from.
 *
 * Identifiers of processes and requests must differ from those of the process
 * before, also where the random source repeats after a restart, as that of a
 * restored machine image can. The times and the process id then differ.
 */
struct SeedSources
{
  std::array<uint32_t, 4> random{}; ///< From std::random_device.
  int64_t wallNanoseconds = 0;      ///< Time of day.
  int64_t bootNanoseconds = 0;      ///< Since the host's kernel started.
  int64_t processId = 0;
};

/** \brief Reads the sources of this process. */
SeedSources ReadSeedSources();

RandomEngine MakeRandomEngine(const SeedSources& aSources);

/** \brief Draws a random request identifier. */
inline RequestId
DrawRequestId(RandomEngine& aRandom)
{
  return RequestId{ aRandom(), aRandom() };
}

}

#endif
