#ifndef PISTACHIOSHIFT_PLANNER_IMBALANCE_H
#define PISTACHIOSHIFT_PLANNER_IMBALANCE_H

#include <span>
#include <vector>

#include "src/Planner/ServiceLoad.h"

namespace pistachioshift {

/**
 * \brief Ratio of the highest relative load of a server to the mean relative
 * load, where relative load is load divided by capacity; 1 without load.
 *
 * An entry that is being moved is counted at the target of the move.
 */
double ImbalanceOf(const ServiceLoad& aLoad);

/**
 * \brief Lower bound of the imbalance of any assignment of whole keys to
 * servers of equal capacity.
 *
 * The highest load is at least the mean load. Also, for each j, at least one of
 * n servers holds j + 1 of the j * n + 1 heaviest keys, and so at least the
 * sum of the j + 1 lightest of these.
 * \param aKeyLoads loads of single keys, in any order.
 * \param aServers number of servers n, at least 1.
 */
double ImbalanceLowerBound(std::vector<double> aKeyLoads, size_t aServers);

}

#endif
