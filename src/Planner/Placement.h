#ifndef PISTACHIOSHIFT_PLANNER_PLACEMENT_H
#define PISTACHIOSHIFT_PLANNER_PLACEMENT_H

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Ownership/Records.h"
#include "src/Ownership/View.h"
#include "src/Routing/ServicePolicy.h"

namespace pistachioshift {

/**
 * \brief Assigns owners to entries that have none or whose owner and successors
 * are all no longer members, and replaces successors that are not.
 *
 * A successor is a daemon that takes an entry over if its owner fails. The
 * number of entries that a member owns is proportional to its slots, among the
 * members that offer the service. Successors are spread over availability zones
 * and members. The result depends on the view and the policies only.
 */
class Placement
{
public:
  Placement(const OwnershipView& aView, const ServicePolicies& aPolicies);

  /**
   * \brief Assignments to be written to the log.
   * \param aMaxAssignments maximum number of assignments returned.
   * \param aSkip entries whose assignment has been sent but not yet applied.
   */
  std::vector<Assignment> Plan(size_t aMaxAssignments,
                               const std::set<EntryKey>& aSkip);

  /**
   * \brief Chooses the successors of an entry with this owner, up to the
   * maximum number; no two of them on one host and none on the owner's host.
   *
   * Members of the owner's region come first, then those in zones not used by
   * the owner or another successor, then those that are successors of fewest
   * entries.
   */
  std::vector<DaemonId> ChooseSuccessors(const ServiceName& aService,
                                         DaemonId aOwner);

private:
  struct MemberLoad
  {
    uint32_t slots = 1;
    uint32_t owned = 0;       ///< Entries that the member owns.
    uint32_t successorOf = 0; ///< Entries that the member is a successor of.
  };

  using Loads = std::map<DaemonId, MemberLoad>;

  void CountLoads();
  bool NeedsOwner(const EntryChain& aChain) const;
  bool NeedsSuccessors(const EntryKey& aKey, const EntryChain& aChain);
  std::optional<Assignment> AssignNew(const EntryKey& aKey);
  std::optional<Assignment> Reassign(const EntryKey& aKey,
                                     const EntryChain& aChain);
  std::optional<Assignment> ReplaceSuccessors(const EntryKey& aKey,
                                              const EntryChain& aChain);
  std::optional<DaemonId> FindBestSuccessor(
    const Loads& aLoads,
    const Member& aOwner,
    const std::set<ZoneName>& aZones,
    const std::set<HostName>& aHosts) const;
  size_t CountLiveSuccessors(const Entry& aEntry) const;

  const OwnershipView& m_view;
  const ServicePolicies& m_policies;
  std::map<ServiceName, Loads> m_loads;
  /// Hosts with a member that offers the service.
  std::map<ServiceName, std::set<HostName>> m_hosts;
};

}

#endif
