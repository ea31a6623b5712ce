#ifndef PISTACHIOSHIFT_OWNERSHIP_WITNESSSELECTION_H
#define PISTACHIOSHIFT_OWNERSHIP_WITNESSSELECTION_H

#include <set>
#include <vector>

#include "src/Base/Random.h"
#include "src/Ownership/View.h"

namespace pistachioshift {

/**
 * \brief Chooses a leaseholder's witnesses: other hosts, spread over zones of
 * its region, those with the fewest leaseholders first.
 *
 * \param aKeep members of the set that stay.
 * \param aAvoid daemons not to choose while others are left.
 * \return up to kWitnesses members; fewer only in a small mesh.
 */
std::vector<DaemonId> SelectWitnesses(const OwnershipView& aView,
                                      DaemonId aLeaseholder,
                                      const std::vector<DaemonId>& aKeep,
                                      const std::set<DaemonId>& aAvoid,
                                      RandomEngine& aRandom);

}

#endif
