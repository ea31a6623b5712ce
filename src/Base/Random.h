#ifndef PISTACHIOSHIFT_BASE_RANDOM_H
#define PISTACHIOSHIFT_BASE_RANDOM_H

#include <cstdint>
#include <random>

#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief Random number generator, passed by reference to code that uses it. */
using RandomEngine = std::mt19937_64;

/** \brief Draws a random request identifier. */
inline RequestId
DrawRequestId(RandomEngine& aRandom)
{
  return RequestId{ aRandom(), aRandom() };
}

}

#endif
