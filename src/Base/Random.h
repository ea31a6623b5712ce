#ifndef PISTACHIOSHIFT_BASE_RANDOM_H
#define PISTACHIOSHIFT_BASE_RANDOM_H

#include <cstdint>
#include <random>

#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief The generator that decisions take by reference. */
using RandomEngine = std::mt19937_64;

/** \brief Draws a request identity. */
inline RequestId
DrawRequestId(RandomEngine& aRandom)
{
  return RequestId{ aRandom(), aRandom() };
}

}

#endif
