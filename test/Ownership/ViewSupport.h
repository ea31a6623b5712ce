#ifndef PISTACHIOSHIFT_TEST_OWNERSHIP_VIEWSUPPORT_H
#define PISTACHIOSHIFT_TEST_OWNERSHIP_VIEWSUPPORT_H

#include <vector>

#include <fmt/format.h>

#include "Pistachioshift/Ownership"

namespace pistachioshift {

inline const ServiceName kRegistry{ "registry" };

inline EntryKey
RangeKey(uint32_t aRange)
{
  return EntryKey{ kRegistry, RangeIndex(aRange), {} };
}

/** \brief Join record of daemon aIndex, in zone aIndex modulo aZones. */
inline JoinRecord
MakeJoin(uint64_t aIndex, uint64_t aZones = 3)
{
  JoinRecord join;
  join.boot = BootId(aIndex + 1);
  join.host = HostName(fmt::format("host-{}", aIndex));
  join.zone = ZoneName(fmt::format("zone-{}", aIndex % aZones));
  join.region = RegionName("region-0");
  join.services = { kRegistry };
  join.slots = 9;
  return join;
}

/** \brief A view and the offset of the last record appended to it. */
class Stream
{
public:
  Verdict Append(const OwnershipRecord& aRecord)
  {
    return view.Apply(Offset(++offset), aRecord);
  }

  DaemonId Join(uint64_t aIndex, uint64_t aZones = 3)
  {
    Append(MakeJoin(aIndex, aZones));
    return DaemonId(offset);
  }

  void ClaimTerm(DaemonId aPlanner)
  {
    Append(PlannerTermRecord{ aPlanner, view.Term().term });
  }

  Verdict Assign(const EntryKey& aKey,
                 std::optional<Offset> aBase,
                 std::vector<DaemonId> aHolders)
  {
    Assignment assignment{ aKey, aBase, aHolders.front(), {} };
    assignment.successors.assign(aHolders.begin() + 1, aHolders.end());
    return Append(
      AssignRecord{ view.Term().term, view.Term().planner, { assignment } });
  }

  Verdict Hold(const EntryKey& aKey, DaemonId aDaemon)
  {
    const auto& entry = view.FindChain(aKey)->Current();
    const auto rank = entry.RankOf(aDaemon).value_or(Rank());
    return Append(HeldRecord{ aDaemon, { { aKey, entry.offset, rank } } });
  }

  OwnershipView view;
  int64_t offset = 0;
};

}

#endif
