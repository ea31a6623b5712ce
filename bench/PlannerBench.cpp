#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "Pistachioshift/Ownership"
#include "src/Planner/Placement.h"

namespace pistachioshift {
namespace {

constexpr size_t kMembers = 460;
constexpr size_t kZones = 7;
constexpr size_t kMostAssignments = 128;

const ServiceName kService{ "registry" };

DaemonId
Member(size_t aIndex)
{
  return DaemonId(static_cast<int64_t>(aIndex % kMembers) + 1);
}

/** \brief A full mesh whose entries are held by their owners. */
OwnershipView
FullMesh(uint32_t aEntries)
{
  OwnershipView view;
  int64_t next = 1;
  const auto apply = [&](const OwnershipRecord& aRecord) {
    view.Apply(Offset(next), aRecord);
    return Offset(next++);
  };
  for (size_t index = 0; index < kMembers; ++index) {
    JoinRecord join;
    join.boot = BootId(index + 1);
    join.host = HostName(fmt::format("host-{}", index));
    join.zone = ZoneName(fmt::format("zone-{}", index % kZones));
    join.region = RegionName(index % kZones < 4 ? "region-1" : "region-2");
    join.services = { kService };
    join.slots = 9;
    apply(join);
  }
  const auto term = apply(PlannerTermRecord{ Member(0), Offset() });
  for (uint32_t range = 0; range < aEntries; ++range) {
    const EntryKey key{ kService, RangeIndex(range), {} };
    const Assignment assignment{
      key,
      std::nullopt,
      Member(range),
      { Member(range + 1), Member(range + 2), Member(range + 3) }
    };
    const auto entry = apply(AssignRecord{ term, Member(0), { assignment } });
    apply(HeldRecord{ Member(range), { { key, entry, Rank(0) } } });
  }
  return view;
}

// What the planner does several times a second when nothing is to be done.
void
PlacementFindsNothingDue(benchmark::State& aState)
{
  const auto entries = static_cast<uint32_t>(aState.range(0));
  const auto view = FullMesh(entries);
  ServicePolicies policies;
  policies[kService].name = kService;
  policies[kService].ranges = entries;
  size_t planned = 0;
  for (auto _ : aState) {
    planned = Placement(view, policies).Plan(kMostAssignments, {}).size();
    benchmark::DoNotOptimize(planned);
  }
  aState.counters["planned"] = static_cast<double>(planned);
}
BENCHMARK(PlacementFindsNothingDue)
  ->Arg(1000)
  ->Arg(30000)
  ->Unit(benchmark::kMillisecond);

}
}
