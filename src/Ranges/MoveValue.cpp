#include "src/Ranges/MoveValue.h"

#include <algorithm>

namespace pistachioshift {

namespace {

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

}

double
LateLoad(const HostUsage& aHost, const MoveValueSettings& aSettings)
{
  const auto served = std::min(aHost.load, aHost.capacity);
  const auto busy =
    std::max((served / aHost.capacity - aSettings.minUtilization) /
               (1.0 - aSettings.minUtilization),
             0.0);
  return aHost.load - served +
         served * aSettings.lateShareAtCapacity * busy * busy;
}

bool
MovePays(const HostUsage& aFrom,
         const HostUsage& aTo,
         const MoveEffect& aEffect,
         double aTotal,
         const MoveValueSettings& aSettings)
{
  const auto before = LateLoad(aFrom, aSettings) + LateLoad(aTo, aSettings);
  const auto after =
    LateLoad({ aFrom.load - aEffect.load, aFrom.capacity }, aSettings) +
    LateLoad({ aTo.load + aEffect.load, aTo.capacity }, aSettings);
  const auto relieved = (before - after) * Seconds(aSettings.reliefTime);
  const auto cost = aEffect.waiting * Seconds(aSettings.moveTime) +
                    aEffect.keyShare * aTotal * Seconds(aSettings.ownerChange);
  return relieved > cost;
}

}
