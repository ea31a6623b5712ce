#ifndef PISTACHIOSHIFT_HOSTDAEMON_ZONEEVACUATION_H
#define PISTACHIOSHIFT_HOSTDAEMON_ZONEEVACUATION_H

#include <optional>
#include <set>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"

namespace pistachioshift {

/**
 * \brief Decides whether the backend server of this host takes keys and starts
 * requests while the operator evacuates zones. Performs no I/O.
 *
 * After an evacuation of the own zone has become known, requests are still
 * started for a while, so that keys are handed over without refusals.
 */
class ZoneEvacuation
{
public:
  enum class Change : uint8_t
  {
    kNone,
    kBegun,
    kEnded,
  };

  /**
   * \param aLimit time after the operator's order from which no request may
   * reach the server. Empty: the settings do not state one. A usual limit
   * applies then, and requests are started before the evacuated zones are
   * known.
   */
  explicit ZoneEvacuation(std::optional<Duration> aLimit);

  /**
   * \brief Applies the evacuated zones.
   * \param aUnchangedAt when the set of before was last known to be in force.
   * Empty, or no set before: the evacuation may be old, and no more requests
   * are started.
   */
  Change Update(const ZoneName& aOwn,
                const std::set<ZoneName>& aZones,
                std::optional<MonoTime> aUnchangedAt,
                MonoTime aNow);

  /** \brief Whether the own zone is evacuated. */
  bool Active() const { return m_endOfStarts.has_value(); }

  /** \brief Whether the server may get keys. */
  bool TakesKeys() const { return (m_known || !m_required) && !Active(); }

  /** \brief Whether no request may be started at this time. */
  bool RefusesStarts(MonoTime aNow) const
  {
    return m_endOfStarts ? aNow >= *m_endOfStarts : !TakesKeys();
  }

  /** \brief End of the time in which requests are still started; empty: the
   * own zone is not evacuated. */
  std::optional<MonoTime> EndOfStarts() const { return m_endOfStarts; }

private:
  Duration m_limit;
  bool m_required; ///< The set must be known before the first start.
  bool m_known = false;
  std::optional<MonoTime> m_endOfStarts; ///< Set while the zone is evacuated.
};

}

#endif
