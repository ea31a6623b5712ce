#ifndef PISTACHIOSHIFT_PLANNER_IMBALANCE_H
#define PISTACHIOSHIFT_PLANNER_IMBALANCE_H

#include <span>
#include <vector>

#include "src/Planner/ServiceLoad.h"

namespace pistachioshift {

/**
 * \brief Largest load per capacity over its mean; 1 without load.
 *
 * A move that isn't complete counts at its target.
 */
double ImbalanceOf(const ServiceLoad& aLoad);

/**
 * \brief Least imbalance that any assignment of whole keys can reach.
 *
 * A lower bound for equal servers: the mean, and, for each j, the j + 1
 * lightest of the j * n + 1 heaviest keys, two of which must meet.
 * \param aKeyLoads loads of single keys, in any order.
 * \param aServers number of servers n, at least 1.
 */
double ImbalanceLowerBound(std::vector<double> aKeyLoads, size_t aServers);

}

#endif
