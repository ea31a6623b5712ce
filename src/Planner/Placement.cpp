#include "src/Planner/Placement.h"

#include <algorithm>
#include <tuple>

namespace pistachioshift {

Placement::Placement(const OwnershipView& aView,
                     const ServicePolicies& aPolicies)
  : m_view(aView)
  , m_policies(aPolicies)
{
  CountLoads();
}

void
Placement::CountLoads()
{
  for (const auto& [daemon, member] : m_view.Members()) {
    if (member.leaving) {
      continue;
    }
    for (const auto& service : member.join.services) {
      m_loads[service][daemon].slots = std::max(member.join.slots, 1U);
      m_hosts[service].insert(member.join.host);
    }
  }
  for (const auto& [key, chain] : m_view.Entries()) {
    auto& loads = m_loads[key.service];
    const auto& holders = chain.Current().holders;
    for (size_t rank = 0; rank < holders.size(); ++rank) {
      const auto load = loads.find(holders[rank]);
      if (load != loads.end()) {
        ++(rank == 0 ? load->second.owned : load->second.successorOf);
      }
    }
  }
}

std::vector<Assignment>
Placement::Plan(size_t aMaxAssignments, const std::set<EntryKey>& aSkip)
{
  std::vector<Assignment> plan;
  const auto add = [&](const std::optional<Assignment>& aItem) {
    if (aItem) {
      plan.push_back(*aItem);
    }
  };
  for (const auto& [name, policy] : m_policies) {
    for (uint32_t range = 0; range < policy.ranges; ++range) {
      const EntryKey key{ name, RangeIndex(range), {} };
      const bool due = m_view.FindChain(key) == nullptr && !aSkip.contains(key);
      if (due && plan.size() < aMaxAssignments) {
        add(AssignNew(key));
      }
    }
  }
  for (const auto& [key, chain] : m_view.Entries()) {
    const bool due = plan.size() < aMaxAssignments && !aSkip.contains(key);
    if (due && NeedsOwner(chain)) {
      add(Reassign(key, chain));
    } else if (due && NeedsSuccessors(key, chain)) {
      add(ReplaceSuccessors(key, chain));
    }
  }
  return plan;
}

std::optional<Assignment>
Placement::AssignNew(const EntryKey& aKey)
{
  auto& loads = m_loads[aKey.service];
  const auto relative = [](const MemberLoad& aLoad) {
    return static_cast<double>(aLoad.owned) / aLoad.slots;
  };
  const auto least = std::min_element(
    loads.begin(), loads.end(), [&](const auto& aLeft, const auto& aRight) {
      return relative(aLeft.second) < relative(aRight.second);
    });
  if (least == loads.end()) {
    return std::nullopt;
  }
  ++least->second.owned;
  Assignment assignment;
  assignment.key = aKey;
  assignment.owner = least->first;
  assignment.successors = ChooseSuccessors(aKey.service, least->first);
  return assignment;
}

std::optional<Assignment>
Placement::Reassign(const EntryKey& aKey, const EntryChain& aChain)
{
  auto assignment = AssignNew(aKey);
  if (assignment) {
    assignment->base = aChain.Current().offset;
  }
  return assignment;
}

std::vector<DaemonId>
Placement::ChooseSuccessors(const ServiceName& aService, DaemonId aOwner)
{
  auto& loads = m_loads[aService];
  const auto* owner = m_view.FindMember(aOwner);
  std::set<ZoneName> zones{ owner->join.zone };
  std::set<HostName> hosts{ owner->join.host };
  std::vector<DaemonId> successors;
  while (successors.size() < kMaxSuccessors) {
    const auto successor = FindBestSuccessor(loads, *owner, zones, hosts);
    if (!successor) {
      break;
    }
    const auto& join = m_view.FindMember(*successor)->join;
    zones.insert(join.zone);
    hosts.insert(join.host);
    ++loads[*successor].successorOf;
    successors.push_back(*successor);
  }
  return successors;
}

std::optional<DaemonId>
Placement::FindBestSuccessor(const Loads& aLoads,
                             const Member& aOwner,
                             const std::set<ZoneName>& aZones,
                             const std::set<HostName>& aHosts) const
{
  std::optional<std::tuple<bool, bool, uint32_t, DaemonId>> best;
  for (const auto& [daemon, load] : aLoads) {
    const auto& join = m_view.FindMember(daemon)->join;
    if (aHosts.contains(join.host)) {
      continue;
    }
    const bool otherRegion = join.region != aOwner.join.region;
    const bool sameZone = aZones.contains(join.zone);
    const std::tuple rank{ otherRegion, sameZone, load.successorOf, daemon };
    best = best ? std::min(*best, rank) : rank;
  }
  return best ? std::optional(std::get<DaemonId>(*best)) : std::nullopt;
}

size_t
Placement::CountLiveSuccessors(const Entry& aEntry) const
{
  const auto held = aEntry.held.value_or(Rank());
  size_t live = 0;
  for (size_t rank = held.Value() + 1U; rank < aEntry.holders.size(); ++rank) {
    const auto* member = m_view.FindMember(aEntry.holders[rank]);
    const auto pass = aEntry.PassOf(Rank(static_cast<uint8_t>(rank)));
    const bool usable = member != nullptr && !member->leaving && !pass;
    live += usable ? 1 : 0;
  }
  return live;
}

bool
Placement::NeedsOwner(const EntryChain& aChain) const
{
  const auto& entry = aChain.Current();
  const auto first = entry.held.value_or(Rank()).Value();
  return std::none_of(
    entry.holders.begin() + first,
    entry.holders.end(),
    [this](DaemonId aDaemon) { return m_view.FindMember(aDaemon) != nullptr; });
}

bool
Placement::NeedsSuccessors(const EntryKey& aKey, const EntryChain& aChain)
{
  const auto& entry = aChain.Current();
  if (!entry.held) {
    return false;
  }
  const auto hosts = m_hosts[aKey.service].size();
  const auto possible = std::min(kMaxSuccessors, hosts == 0 ? 0 : hosts - 1);
  return CountLiveSuccessors(entry) < possible;
}

std::optional<Assignment>
Placement::ReplaceSuccessors(const EntryKey& aKey, const EntryChain& aChain)
{
  const auto& entry = aChain.Current();
  const auto holder = entry.holders[entry.held->Value()];
  const auto* member = m_view.FindMember(holder);
  if (member == nullptr || member->leaving) {
    return std::nullopt;
  }
  Assignment assignment;
  assignment.key = aKey;
  assignment.base = entry.offset;
  assignment.owner = holder;
  assignment.successors = ChooseSuccessors(aKey.service, holder);
  return assignment;
}

}
