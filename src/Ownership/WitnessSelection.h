#ifndef PISTACHIOSHIFT_OWNERSHIP_WITNESSSELECTION_H
#define PISTACHIOSHIFT_OWNERSHIP_WITNESSSELECTION_H

#include <set>
#include <vector>

#include "src/Base/Random.h"
#include "src/Ownership/View.h"

namespace pistachioshift {

/**
 * \brief Chooses witnesses for a leaseholder.
 *
 * Prefers different hosts, then daemons of the leaseholder's region, different
 * zones, zones other than its own, then those with the fewest leaseholders.
 *
 * \param aKeep witnesses that stay.
 * \param aAvoid daemons to choose only if no others are left.
 * \return kWitnesses daemons, or fewer in a small mesh.
 */
std::vector<DaemonId> SelectWitnesses(const OwnershipView& aView,
                                      DaemonId aLeaseholder,
                                      const std::vector<DaemonId>& aKeep,
                                      const std::set<DaemonId>& aAvoid,
                                      RandomEngine& aRandom);

}

#endif
