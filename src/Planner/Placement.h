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
 * \brief Names owners for ranges that have none or whose owner and heirs are
 * all gone, and heirs where some are gone.
 *
 * Owners are even over the members that offer a service, by slots; heirs are
 * spread over availability zones and members. Pure.
 */
class Placement
{
public:
  Placement(const OwnershipView& aView, const ServicePolicies& aPolicies);

  /**
   * \brief Assignments that are due.
   * \param aSkip keys whose assignment is on its way already.
   */
  std::vector<Assignment> Plan(size_t aMost, const std::set<EntryKey>& aSkip);

  /**
   * \brief Heirs for an owner: least laden first, other hosts and zones first.
   */
  std::vector<DaemonId> ChooseHeirs(const ServiceName& aService,
                                    DaemonId aOwner);

private:
  struct Load
  {
    uint32_t slots = 1;
    uint32_t owned = 0;
    uint32_t inherits = 0;
  };

  using Loads = std::map<DaemonId, Load>;

  void CountLoads();
  bool NeedsOwner(const EntryChain& aChain) const;
  bool NeedsHeirs(const EntryKey& aKey, const EntryChain& aChain);
  std::optional<Assignment> PlaceNew(const EntryKey& aKey);
  std::optional<Assignment> PlaceAnew(const EntryKey& aKey,
                                      const EntryChain& aChain);
  std::optional<Assignment> RenewHeirs(const EntryKey& aKey,
                                       const EntryChain& aChain);
  std::optional<DaemonId> NextHeir(const Loads& aLoads,
                                   const Member& aOwner,
                                   const std::set<ZoneName>& aZones,
                                   const std::set<HostName>& aHosts) const;
  size_t LiveHeirs(const Entry& aEntry) const;

  const OwnershipView& m_view;
  const ServicePolicies& m_policies;
  std::map<ServiceName, Loads> m_loads;
  std::map<ServiceName, std::set<HostName>> m_hosts; ///< That offer it.
};

}

#endif
