#ifndef PISTACHIOSHIFT_DAEMON_PREDECESSOR_H
#define PISTACHIOSHIFT_DAEMON_PREDECESSOR_H

#include <optional>
#include <string>

#include "src/Ownership/View.h"

namespace pistachioshift {

/** \brief Boot id of the running kernel; empty if it can't be read. */
std::string ReadKernelBootId();

/**
 * \brief Finds the member that this daemon replaces: one whose process has
 * certainly ended, because this daemon has bound the same inner endpoint.
 *
 * A process keeps its endpoint bound for as long as it exists, even while it is
 * frozen, so within one kernel boot the previous process at the endpoint has
 * ended. Across different boots this can't be concluded: the previous host may
 * be partitioned and still running.
 */
std::optional<DaemonId> FindPredecessor(const OwnershipView& aView,
                                        const JoinRecord& aJoin);

}

#endif
