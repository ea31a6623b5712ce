#include "src/Ranges/Rebalancer.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace pistachioshift {

namespace {

/** A newcomer gets this share of a fair load at first. */
constexpr double kNewcomerShare = 0.5;

/** A piece may carry this much more than what is to be moved. */
constexpr double kOvershoot = 1.3;

/** One host as planned: its ranges and their load. */
struct Place
{
  const Taker* taker;
  std::vector<KeyRange> ranges;
  double load = 0.0;

  double Level() const { return load / taker->capacity; }
};

const HostName&
HostOf(const Place& aPlace)
{
  return aPlace.taker->holder.host;
}

std::vector<Place>
MakePlaces(const RangeRows& aRows,
           const std::vector<Taker>& aTakers,
           const LoadMap& aLoad)
{
  std::vector<Place> places;
  for (const auto& taker : aTakers) {
    Place place{ &taker, {}, 0.0 };
    for (const auto& row : aRows) {
      if (row.holder == taker.holder) {
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

/** The piece of a host's ranges whose load comes closest to what is wanted. */
std::optional<KeyRange>
ChoosePiece(const Place& aFrom, const LoadMap& aLoad, double aWanted)
{
  std::optional<KeyRange> best;
  double least = aWanted;
  for (const auto& range : aFrom.ranges) {
    auto piece = range;
    if (aLoad.LoadOf(range) > aWanted) {
      piece.last = aLoad.EndOfPiece(range, aWanted);
    }
    const auto load = aLoad.LoadOf(piece);
    const auto distance = std::abs(load - aWanted);
    if (load <= aWanted * kOvershoot && distance < least) {
      least = distance;
      best = piece;
    }
  }
  return best;
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

std::vector<PlannedMove>
Rebalancer::Plan(const RangeRows& aRows,
                 const std::vector<Taker>& aTakers,
                 const LoadMap& aLoad,
                 MonoTime aNow)
{
  ForgetDone(aRows, aNow);
  auto places = MakePlaces(aRows, aTakers, aLoad);
  for (const auto& pending : m_pending) {
    const auto load = aLoad.LoadOf(pending.move.range);
    if (auto* from = Find(places, pending.move.from)) {
      Remove(*from, pending.move.range, load);
    }
    if (auto* to = Find(places, pending.move.to)) {
      to->load += load; // Its ranges stay out of further moves.
      to->ranges.clear();
    }
  }
  std::vector<PlannedMove> moves;
  while (places.size() > 1 &&
         m_pending.size() + moves.size() < m_settings.mostMoves) {
    const auto byLevel = [](const Place& aLeft, const Place& aRight) {
      return aLeft.Level() < aRight.Level();
    };
    auto& high = *std::max_element(places.begin(), places.end(), byLevel);
    auto& low = *std::min_element(places.begin(), places.end(), byLevel);
    double load = 0.0;
    double capacity = 0.0;
    for (const auto& place : places) {
      load += place.load;
      capacity += place.taker->capacity;
    }
    const auto mean = load / capacity;
    const bool newcomer = low.load <= 0.0;
    const bool uneven = high.Level() >= m_settings.leastLevel &&
                        high.Level() - low.Level() >= m_settings.leastGap;
    if (!newcomer && !uneven) {
      break;
    }
    const auto spare = (mean - low.Level()) * low.taker->capacity;
    const auto excess = (high.Level() - mean) * high.taker->capacity;
    const auto wanted =
      uneven ? std::min(spare, excess) : spare * kNewcomerShare;
    const auto piece = ChoosePiece(high, aLoad, wanted);
    if (!piece) {
      break;
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
