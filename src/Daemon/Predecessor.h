#ifndef PISTACHIOSHIFT_DAEMON_PREDECESSOR_H
#define PISTACHIOSHIFT_DAEMON_PREDECESSOR_H

#include <optional>
#include <string>

#include "src/Ownership/View.h"

namespace pistachioshift {

/** \brief Name of the running kernel's boot; empty if it can't be read. */
std::string ReadKernelBootId();

/**
 * \brief The member whose process has ended for certain, seen by a daemon
 * that has bound its inner endpoint.
 *
 * A process holds its endpoint as long as it lives, frozen or not, so under
 * the same kernel boot whoever bound it before is gone. Under another boot
 * nothing is certain: the old host may be cut off and alive.
 */
std::optional<DaemonId> FindPredecessor(const OwnershipView& aView,
                                        const JoinRecord& aJoin);

}

#endif
