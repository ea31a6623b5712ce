#include "src/Routing/PriorityBalance.h"

#include <algorithm>

namespace pistachioshift {

namespace {

/** A standing is found anew at most this often. */
constexpr Duration kUpdateInterval = std::chrono::milliseconds(50);

/** A class with fewer requests in the memory is not compared. */
constexpr double kMinArrivals = 10.0;

/** Single refusals of an urgent class say nothing about the others. */
constexpr double kMinRefusedShare = 0.05;

/** Each class is to be served at least a quarter as often as all requests; the
 * difference from a quarter is a margin, as the standing follows the load. */
constexpr double kMinServedShare = 0.35;

}

void
PriorityBalance::OnArrival(size_t aClass, MonoTime aNow)
{
  m_classes[aClass].arrived.Add(1.0, aNow);
  if (!m_updatedAt || aNow - *m_updatedAt >= kUpdateInterval) {
    m_updatedAt = aNow;
    Update(aNow);
  }
}

void
PriorityBalance::OnRefused(size_t aClass, MonoTime aNow)
{
  m_classes[aClass].refused.Add(1.0, aNow);
}

void
PriorityBalance::Update(MonoTime aNow)
{
  double arrived = 0.0;
  double refused = 0.0;
  for (const auto& item : m_classes) {
    arrived += item.arrived.At(aNow);
    refused += item.refused.At(aNow);
  }
  const auto leastServed = kMinServedShare * (arrived - refused);
  double mostRefused = 0.0; // Share, of the more urgent classes.
  for (auto& item : m_classes) {
    item.standing = PriorityStanding::kNormal;
    const auto own = item.arrived.At(aNow);
    if (own < kMinArrivals) {
      continue;
    }
    const auto share = item.refused.At(aNow) / own;
    if ((1.0 - share) * arrived < leastServed) {
      item.standing = PriorityStanding::kStarving;
    } else if (mostRefused >= kMinRefusedShare && share < mostRefused) {
      item.standing = PriorityStanding::kOverServed;
    }
    mostRefused = std::max(mostRefused, share);
  }
}

}
