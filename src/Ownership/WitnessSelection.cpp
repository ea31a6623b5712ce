#include "src/Ownership/WitnessSelection.h"

#include <algorithm>
#include <compare>

namespace pistachioshift {

namespace {

/** \brief Reasons against a candidate, compared in this order. */
struct Cost
{
  bool avoided = false;
  bool hostTaken = false;
  bool otherRegion = false;
  bool zoneTaken = false;
  bool ownZone = false;
  size_t leaseholders = 0;
  uint64_t tieBreaker = 0;

  auto operator<=>(const Cost&) const = default;
};

Cost
CostOf(const OwnershipView& aView,
       const Member& aLeaseholder,
       const Member& aCandidate,
       const std::vector<const Member*>& aChosen,
       uint64_t aTieBreaker)
{
  const auto& join = aCandidate.join;
  Cost cost;
  for (const auto* other : aChosen) {
    cost.hostTaken |= other->join.host == join.host;
    cost.zoneTaken |= other->join.zone == join.zone;
  }
  cost.otherRegion = join.region != aLeaseholder.join.region;
  cost.ownZone = join.zone == aLeaseholder.join.zone;
  cost.leaseholders = aView.LeaseholdersOf(aCandidate.id).size();
  cost.tieBreaker = aTieBreaker;
  return cost;
}

}

std::vector<DaemonId>
SelectWitnesses(const OwnershipView& aView,
                DaemonId aLeaseholder,
                const std::vector<DaemonId>& aKeep,
                const std::set<DaemonId>& aAvoid,
                RandomEngine& aRandom)
{
  const auto* leaseholder = aView.FindMember(aLeaseholder);
  auto witnesses = aKeep;
  std::vector<const Member*> chosen;
  chosen.reserve(kWitnesses);
  for (const auto kept : aKeep) {
    chosen.push_back(aView.FindMember(kept));
  }
  while (leaseholder != nullptr && witnesses.size() < kWitnesses) {
    const Member* best = nullptr;
    Cost lowest;
    for (const auto& [id, member] : aView.Members()) {
      // A witness on the leaseholder's host would fail together with it.
      const bool ineligible =
        member.leaving || member.join.host == leaseholder->join.host;
      if (ineligible || std::ranges::count(witnesses, id) > 0) {
        continue;
      }
      auto cost = CostOf(aView, *leaseholder, member, chosen, aRandom());
      cost.avoided = aAvoid.contains(id);
      if (best == nullptr || cost < lowest) {
        best = &member;
        lowest = cost;
      }
    }
    if (best == nullptr) {
      break;
    }
    witnesses.push_back(best->id);
    chosen.push_back(best);
  }
  std::ranges::sort(witnesses);
  return witnesses;
}

}
