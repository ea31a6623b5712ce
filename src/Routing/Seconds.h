#ifndef PISTACHIOSHIFT_ROUTING_SECONDS_H
#define PISTACHIOSHIFT_ROUTING_SECONDS_H

#include "src/Base/Clock.h"

namespace pistachioshift::internal {

inline double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

}

#endif
