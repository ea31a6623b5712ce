#ifndef PISTACHIOSHIFT_RANGES_ASSIGNER_H
#define PISTACHIOSHIFT_RANGES_ASSIGNER_H

#include <map>
#include <vector>

#include "src/Ranges/LoadMap.h"
#include "src/Ranges/MeshState.h"

namespace pistachioshift {

/**
 * \brief Rows that a host should have at most. A row takes up to 46 bytes of
 * the reply to a heartbeat, which must stay below 4,096 bytes; the rest is for
 * parts of rows that are being revoked.
 */
inline constexpr size_t kMaxRowsPerHost = 80;

/** \brief Host to which ranges of a service can be assigned. */
struct PlacementTarget
{
  RangeHolder holder;
  double capacity = 1.0; ///< Load that the host can sustain.
};

/**
 * \brief Assigns all rows of a service without a live holder, in proportion to
 * the capacity of the targets. Performs no I/O.
 *
 * Rows of a host whose backend server was restarted return to it. Others are
 * split so that the load of a failed host is spread over many hosts, unless
 * there are so many rows already that hosts may exceed kMaxRowsPerHost. Hosts
 * with that many rows get more only if all others have as many.
 * \return whether the table was changed.
 */
bool AssignFreeRows(RangeTable& aTable,
                    const MeshState& aState,
                    const ServiceName& aService,
                    const std::vector<PlacementTarget>& aTargets,
                    const LoadMap& aLoad);

}

#endif
