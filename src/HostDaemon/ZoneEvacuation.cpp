#include "src/HostDaemon/ZoneEvacuation.h"

#include <algorithm>
#include <utility>

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

constexpr Duration kUsualLimit = milliseconds(5000);

/** Allows for the time until this daemon learns of the order, and until the
 * last request that it starts reaches the server. */
constexpr Duration kNoticeMargin = milliseconds(2000);

/** Allows for a request that is started while the server accepts a connection
 * slowly; the time limit of a connection. */
constexpr Duration kArrivalMargin = milliseconds(1000);

}

ZoneEvacuation::ZoneEvacuation(std::optional<Duration> aLimit)
  : m_limit(aLimit.value_or(kUsualLimit))
  , m_required(aLimit.has_value())
{
}

ZoneEvacuation::Change
ZoneEvacuation::Update(const ZoneName& aOwn,
                       const std::set<ZoneName>& aZones,
                       std::optional<MonoTime> aUnchangedAt,
                       MonoTime aNow)
{
  const bool first = !std::exchange(m_known, true);
  const bool evacuated = aZones.contains(aOwn);
  if (evacuated == Active()) {
    return Change::kNone;
  }
  if (!evacuated) {
    m_endOfStarts.reset();
    return Change::kEnded;
  }
  m_endOfStarts = aNow;
  if (!first && aUnchangedAt) {
    // The order was given after the set of before was last in force.
    const auto end = std::min(aNow + m_limit - kNoticeMargin,
                              *aUnchangedAt + m_limit - kArrivalMargin);
    m_endOfStarts = std::max(aNow, end);
  }
  return Change::kBegun;
}

}
