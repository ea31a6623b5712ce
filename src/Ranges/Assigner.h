#ifndef PISTACHIOSHIFT_RANGES_ASSIGNER_H
#define PISTACHIOSHIFT_RANGES_ASSIGNER_H

#include <map>
#include <vector>

#include "src/Ranges/LoadMap.h"
#include "src/Ranges/MeshState.h"

namespace pistachioshift {

/** \brief A host that can take keys of a service. */
struct PlacementTarget
{
  RangeHolder holder;
  double capacity = 1.0; ///< Load that it can carry.
};

/**
 * \brief Gives the rows of a service that nobody holds to those that can take
 * them, in proportion to capacity. Pure.
 *
 * A free row is cut into pieces so that a lost host's load spreads over many.
 * \return whether the table was changed.
 */
bool AssignFreeRows(RangeTable& aTable,
                    const MeshState& aState,
                    const ServiceName& aService,
                    const std::vector<PlacementTarget>& aTargets,
                    const LoadMap& aLoad);

}

#endif
