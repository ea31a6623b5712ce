#ifndef PISTACHIOSHIFT_RANGES_ASSIGNER_H
#define PISTACHIOSHIFT_RANGES_ASSIGNER_H

#include <map>
#include <vector>

#include "src/Ranges/LoadMap.h"
#include "src/Ranges/MeshState.h"

namespace pistachioshift {

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
 * split so that the load of a failed host is spread over many hosts.
 * \return whether the table was changed.
 */
bool AssignFreeRows(RangeTable& aTable,
                    const MeshState& aState,
                    const ServiceName& aService,
                    const std::vector<PlacementTarget>& aTargets,
                    const LoadMap& aLoad);

}

#endif
