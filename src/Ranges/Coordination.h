#ifndef PISTACHIOSHIFT_RANGES_COORDINATION_H
#define PISTACHIOSHIFT_RANGES_COORDINATION_H

#include <functional>
#include <vector>

#include "src/Ranges/MeshState.h"

namespace pistachioshift {

/**
 * \brief Hosts in the order in which they take the role of the coordinator.
 *
 * Hosts with a larger processor share come first, because the coordinator's
 * work grows with the number of hosts. Hosts that are about to stop come last,
 * and suspected hosts are left out.
 */
std::vector<HostName> CoordinationOrder(const MeshState& aState);

/** \brief Receivers of an update that one of them forwards to the others. */
struct BroadcastGroup
{
  HostName relay;
  std::vector<HostName> members; ///< Without the relay.

  bool operator==(const BroadcastGroup&) const = default;
};

/**
 * \brief Divides all hosts that are not suspected into groups of one zone each,
 * so that an update reaches them in two steps and crosses zones once a group.
 *
 * A group has at most about the square root of the number of hosts, which
 * bounds what the sender and each relay send. Relays are the first usable
 * hosts in the order of CoordinationOrder.
 * \param aSelf the sender, which is in no group.
 * \param aIsUsable whether a host may be a relay; if no host of a group is
 * usable, its first host is the relay.
 */
std::vector<BroadcastGroup> PlanBroadcast(
  const MeshState& aState,
  const HostName& aSelf,
  const std::function<bool(const HostRecord&)>& aIsUsable);

}

#endif
