#include "src/Ranges/Rebalancer.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <span>

namespace pistachioshift {

using internal::Place;

namespace {

/** A newcomer gets this share of a fair load at first. */
constexpr double kNewcomerShare = 0.5;

/** A piece may carry this much more than what is to be moved. */
constexpr double kOvershoot = 1.3;

const HostName&
HostOf(const Place& aPlace)
{
  return aPlace.target->holder.host;
}

std::vector<Place>
MakePlaces(const RangeRows& aRows,
           const std::vector<PlacementTarget>& aTargets,
           const LoadMap& aLoad)
{
  std::vector<Place> places;
  for (const auto& target : aTargets) {
    Place place{ &target, {}, 0.0 };
    for (const auto& row : aRows) {
      if (row.holder == target.holder) {
        place.ranges.push_back(row.range);
        place.load += aLoad.LoadOf(row.range);
      }
    }
    places.push_back(std::move(place));
  }
  return places;
}

Place*
Find(std::vector<Place>& aPlaces, const HostName& aHost)
{
  const auto found =
    std::find_if(aPlaces.begin(), aPlaces.end(), [&](const Place& aPlace) {
      return HostOf(aPlace) == aHost;
    });
  return found == aPlaces.end() ? nullptr : &*found;
}

/** Takes a range out of a host's ranges; its ends may remain. */
void
Remove(Place& aPlace, const KeyRange& aRange, double aLoad)
{
  std::vector<KeyRange> left;
  for (const auto& range : aPlace.ranges) {
    if (!range.Overlaps(aRange)) {
      left.push_back(range);
      continue;
    }
    if (range.first < aRange.first) {
      left.push_back({ range.first, aRange.first - 1 });
    }
    if (range.last > aRange.last) {
      left.push_back({ aRange.last + 1, range.last });
    }
  }
  aPlace.ranges = std::move(left);
  aPlace.load -= aLoad;
}

/** The pieces at both ends of a range that carry about the wanted load. */
std::vector<KeyRange>
EndPieces(const KeyRange& aRange, const LoadMap& aLoad, double aWanted)
{
  const auto load = aLoad.LoadOf(aRange);
  if (load <= aWanted) {
    return { aRange };
  }
  std::vector<KeyRange> pieces{ { aRange.first,
                                  aLoad.LastKeyForLoad(aRange, aWanted) } };
  const auto before = aLoad.LastKeyForLoad(aRange, load - aWanted);
  if (before < aRange.last) {
    pieces.push_back({ before + 1, aRange.last });
  }
  return pieces;
}

/** The piece of a host's ranges whose load comes closest to what is wanted. */
std::optional<KeyRange>
ChoosePiece(const Place& aFrom, const LoadMap& aLoad, double aWanted)
{
  std::optional<KeyRange> best;
  double least = aWanted;
  for (const auto& range : aFrom.ranges) {
    for (const auto& piece : EndPieces(range, aLoad, aWanted)) {
      const auto load = aLoad.LoadOf(piece);
      const auto distance = std::abs(load - aWanted);
      if (load <= aWanted * kOvershoot && distance < least) {
        least = distance;
        best = piece;
      }
    }
  }
  return best;
}

bool
ByLevel(const Place& aLeft, const Place& aRight)
{
  return aLeft.Level() < aRight.Level();
}

double
MeanLevel(const std::vector<Place>& aPlaces)
{
  double load = 0.0;
  double capacity = 0.0;
  for (const auto& place : aPlaces) {
    load += place.load;
    capacity += place.target->capacity;
  }
  return load / capacity;
}

}

void
Rebalancer::ForgetDone(const RangeRows& aRows, MonoTime aNow)
{
  std::erase_if(m_pending, [&](const Pending& aItem) {
    const bool waits =
      std::any_of(aRows.begin(), aRows.end(), [&](const RangeRow& aRow) {
        return aRow.range.Overlaps(aItem.move.range) &&
               aRow.holder.host == aItem.move.from;
      });
    return !waits || aNow - aItem.at >= m_settings.moveTimeout;
  });
}

void
Rebalancer::CountPending(std::vector<Place>& aPlaces,
                         const LoadMap& aLoad) const
{
  for (const auto& pending : m_pending) {
    const auto load = aLoad.LoadOf(pending.move.range);
    if (auto* from = Find(aPlaces, pending.move.from)) {
      Remove(*from, pending.move.range, load);
    }
    if (auto* to = Find(aPlaces, pending.move.to)) {
      to->load += load; // Its ranges stay out of further moves.
      to->ranges.clear();
    }
  }
}

std::optional<KeyRange>
Rebalancer::PieceFor(const Place& aHigh,
                     const Place& aLow,
                     double aMean,
                     const LoadMap& aLoad) const
{
  const bool newcomer = aLow.load <= 0.0;
  const bool uneven =
    aHigh.Level() >= m_settings.minUtilization &&
    aHigh.Level() - aLow.Level() >= m_settings.minUtilizationGap;
  if (!newcomer && !uneven) {
    return std::nullopt;
  }
  const auto spare = (aMean - aLow.Level()) * aLow.target->capacity;
  const auto excess = (aHigh.Level() - aMean) * aHigh.target->capacity;
  const auto wanted = uneven ? std::min(spare, excess) : spare * kNewcomerShare;
  return ChoosePiece(aHigh, aLoad, wanted);
}

std::vector<PlannedMove>
Rebalancer::Plan(const RangeRows& aRows,
                 const std::vector<PlacementTarget>& aTargets,
                 const LoadMap& aLoad,
                 MonoTime aNow)
{
  ForgetDone(aRows, aNow);
  auto places = MakePlaces(aRows, aTargets, aLoad);
  CountPending(places, aLoad);
  const auto most =
    std::max(m_settings.minConcurrentMoves,
             static_cast<size_t>(static_cast<double>(places.size()) *
                                 m_settings.concurrentMovesPerHost));
  std::vector<PlannedMove> moves;
  // A host that can give nothing, as its load is one key, holds up no other.
  auto givers = places.size();
  while (givers > 1 && m_pending.size() + moves.size() < most) {
    const auto mean = MeanLevel(places);
    std::ranges::sort(std::span(places).first(givers), ByLevel);
    auto& high = places[givers - 1];
    auto& low = *std::min_element(places.begin(), places.end(), ByLevel);
    const auto piece = PieceFor(high, low, mean, aLoad);
    if (!piece) {
      --givers;
      continue;
    }
    const auto moved = aLoad.LoadOf(*piece);
    moves.push_back(PlannedMove{ *piece, HostOf(high), HostOf(low) });
    Remove(high, *piece, moved);
    low.load += moved;
  }
  for (const auto& move : moves) {
    m_pending.push_back(Pending{ move, aNow });
  }
  return moves;
}

}
