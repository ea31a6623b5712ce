#include "src/Ranges/Assigner.h"

#include <algorithm>
#include <cmath>

namespace pistachioshift {

namespace {

/** A lost host's share is cut so that no target's load jumps by much. */
constexpr double kPieceShare = 0.25; // of a host's fair share

struct Place
{
  const PlacementTarget* target;
  double load = 0.0;

  double LevelWith(double aMore) const
  {
    return (load + aMore) / target->capacity;
  }
};

std::vector<Place>
MakePlaces(const MeshState& aState,
           const RangeRows& aRows,
           const std::vector<PlacementTarget>& aTargets,
           const LoadMap& aLoad)
{
  std::vector<Place> places;
  for (const auto& target : aTargets) {
    Place place{ &target };
    for (const auto& row : aRows) {
      if (row.holder == target.holder && aState.HolderOf(row) != nullptr) {
        place.load += aLoad.LoadOf(row.range);
      }
    }
    places.push_back(place);
  }
  return places;
}

Place&
Lowest(std::vector<Place>& aPlaces, double aMore)
{
  return *std::min_element(aPlaces.begin(),
                           aPlaces.end(),
                           [&](const Place& aLeft, const Place& aRight) {
                             return aLeft.LevelWith(aMore) <
                                    aRight.LevelWith(aMore);
                           });
}

/** The whole key space at once: one piece for each, by capacity. */
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
  const bool allFree =
    std::all_of(rows.begin(), rows.end(), [&](const RangeRow& aRow) {
      return aState.HolderOf(aRow) == nullptr && aRow.handover.empty();
    });
  if (allFree) {
    AssignAll(aTable, aService, aTargets, aLoad);
    return true;
  }
  auto places = MakePlaces(aState, rows, aTargets, aLoad);
  const double fair =
    aLoad.LoadOf(KeyRange{}) / static_cast<double>(aTargets.size());
  bool changed = false;
  for (const auto& row : rows) {
    if (aState.HolderOf(row) != nullptr) {
      continue;
    }
    const auto token = row.IsFree() ? row.handover : std::string();
    const auto load = aLoad.LoadOf(row.range);
    const auto wanted = std::ceil(load / (fair * kPieceShare));
    for (const auto& piece :
         aLoad.Split(row.range, static_cast<uint32_t>(std::max(wanted, 1.0)))) {
      const auto more = aLoad.LoadOf(piece);
      auto& place = Lowest(places, more);
      aTable.Assign(aService, piece, place.target->holder, token);
      place.load += more;
    }
    changed = true;
  }
  return changed;
}

}
