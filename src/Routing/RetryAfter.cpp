#include "src/Routing/RetryAfter.h"

#include <algorithm>

#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::FromSeconds;
using internal::Seconds;

namespace {

/** Callers wait for their time left divided by this value at most. */
constexpr int kHonouredDivisor = 3;

/** Latest return, as a multiple of the expected time. Callers that are refused
 * within one service time return over half of the time that they wait. */
constexpr double kSpread = 1.5;

}

Duration
SpreadRetryAfter(Duration aExpected, Duration aLeft, double aDraw)
{
  auto earliest = Seconds(aExpected);
  auto latest = kSpread * earliest;
  if (aLeft > Duration{}) {
    latest = std::min(latest, Seconds(aLeft / kHonouredDivisor));
    earliest = std::min(earliest, latest / kSpread);
  }
  return FromSeconds(earliest + aDraw * (latest - earliest));
}

}
