#include "src/Ranges/Assigner.h"

#include <algorithm>
#include <cmath>

namespace pistachioshift {

namespace {

/**
 * Load of a piece, as a share of the mean load per host. Rows of a failed host
 * are split into pieces of this size so that no target's load rises sharply.
 */
constexpr double kMaxPieceShare = 0.25;

/** Mean number of rows per host from which free rows are not split. */
constexpr size_t kMaxMeanRowsForSplit = kMaxRowsPerHost / 2;

struct HostLoad
{
  const PlacementTarget* target;
  double load = 0.0;
  size_t rows = 0;

  bool IsFull() const { return rows >= kMaxRowsPerHost; }

  double UtilizationWith(double aExtraLoad) const
  {
    return (load + aExtraLoad) / target->capacity;
  }
};

std::vector<HostLoad>
CollectLoads(const MeshState& aState,
             const RangeRows& aRows,
             const std::vector<PlacementTarget>& aTargets,
             const LoadMap& aLoad)
{
  std::vector<HostLoad> hosts;
  std::map<RangeHolder, size_t> indexes;
  for (const auto& target : aTargets) {
    indexes.emplace(target.holder, hosts.size());
    hosts.push_back(HostLoad{ &target });
  }
  for (const auto& row : aRows) {
    const auto found = indexes.find(row.holder);
    if (found != indexes.end() && aState.HolderOf(row) != nullptr) {
      auto& host = hosts[found->second];
      host.load += aLoad.LoadOf(row.range);
      ++host.rows;
    }
  }
  return hosts;
}

HostLoad*
FindHost(std::vector<HostLoad>& aHosts, const HostName& aName)
{
  const auto found =
    std::find_if(aHosts.begin(), aHosts.end(), [&](const HostLoad& aHost) {
      return aHost.target->holder.host == aName;
    });
  return found == aHosts.end() ? nullptr : &*found;
}

HostLoad&
LeastUtilized(std::vector<HostLoad>& aHosts, double aExtraLoad)
{
  return *std::min_element(aHosts.begin(),
                           aHosts.end(),
                           [&](const HostLoad& aLeft, const HostLoad& aRight) {
                             if (aLeft.IsFull() || aRight.IsFull()) {
                               return aLeft.IsFull() == aRight.IsFull()
                                        ? aLeft.rows < aRight.rows
                                        : aRight.IsFull();
                             }
                             return aLeft.UtilizationWith(aExtraLoad) <
                                    aRight.UtilizationWith(aExtraLoad);
                           });
}

/** Splits the whole key space by capacity; each target gets one range. */
void
AssignAll(RangeTable& aTable,
          const ServiceName& aService,
          const std::vector<PlacementTarget>& aTargets,
          const LoadMap& aLoad)
{
  double capacity = 0.0;
  for (const auto& target : aTargets) {
    capacity += target.capacity;
  }
  KeyRange rest;
  for (size_t index = 0; index < aTargets.size(); ++index) {
    const auto& target = aTargets[index];
    auto piece = rest;
    if (index + 1 < aTargets.size()) {
      const auto share = target.capacity / capacity;
      piece.last = aLoad.LastKeyForLoad(rest, aLoad.LoadOf(rest) * share);
    }
    aTable.Assign(aService, piece, target.holder, {});
    capacity -= target.capacity;
    if (piece.last == rest.last) {
      return;
    }
    rest.first = piece.last + 1;
  }
}

}

bool
AssignFreeRows(RangeTable& aTable,
               const MeshState& aState,
               const ServiceName& aService,
               const std::vector<PlacementTarget>& aTargets,
               const LoadMap& aLoad)
{
  if (aTargets.empty()) {
    return false;
  }
  const auto rows = aTable.RowsOf(aService);
  auto hosts = CollectLoads(aState, rows, aTargets, aLoad);
  const bool allFree =
    std::all_of(rows.begin(), rows.end(), [&](const RangeRow& aRow) {
      return aState.MayReassign(aRow) && aRow.handover.empty() &&
             FindHost(hosts, aRow.holder.host) == nullptr;
    });
  if (allFree) {
    AssignAll(aTable, aService, aTargets, aLoad);
    return true;
  }
  const double meanLoad =
    aLoad.LoadOf(KeyRange{}) / static_cast<double>(aTargets.size());
  const bool maySplit = rows.size() < aTargets.size() * kMaxMeanRowsForSplit;
  bool changed = false;
  for (const auto& row : rows) {
    if (!aState.MayReassign(row)) {
      continue;
    }
    changed = true;
    const auto load = aLoad.LoadOf(row.range);
    if (auto* previous = FindHost(hosts, row.holder.host)) {
      // Its backend server was restarted. After the loss of all hosts, this
      // keeps the keys as evenly spread as they were.
      aTable.Assign(aService, row.range, previous->target->holder, {});
      previous->load += load;
      ++previous->rows;
      continue;
    }
    const auto token = row.IsFree() ? row.handover : std::string();
    const auto pieces =
      maySplit ? std::ceil(load / (meanLoad * kMaxPieceShare)) : 1.0;
    for (const auto& piece :
         aLoad.Split(row.range, static_cast<uint32_t>(std::max(pieces, 1.0)))) {
      const auto pieceLoad = aLoad.LoadOf(piece);
      auto& host = LeastUtilized(hosts, pieceLoad);
      aTable.Assign(aService, piece, host.target->holder, token);
      host.load += pieceLoad;
      ++host.rows;
    }
  }
  return changed;
}

}
