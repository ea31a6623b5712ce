#include "src/Ranges/Rebalancer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <span>

namespace pistachioshift {

using internal::HostLoad;

namespace {

/** A host without load first gets this share of its fair load. */
constexpr double kIdleHostShare = 0.5;

/** Maximum load of a piece, as a multiple of the load to be moved. */
constexpr double kMaxOvershoot = 1.3;

const HostName&
HostOf(const HostLoad& aHost)
{
  return aHost.target->holder.host;
}

std::vector<HostLoad>
CollectLoads(const RangeRows& aRows,
             const std::vector<PlacementTarget>& aTargets,
             const LoadMap& aLoad)
{
  std::vector<HostLoad> hosts;
  std::map<RangeHolder, size_t> indexes;
  for (const auto& target : aTargets) {
    indexes.emplace(target.holder, hosts.size());
    hosts.push_back(HostLoad{ &target, {}, 0.0 });
  }
  for (const auto& row : aRows) {
    const auto found = indexes.find(row.holder);
    if (found != indexes.end()) {
      auto& host = hosts[found->second];
      host.ranges.push_back(row.range);
      host.load += aLoad.LoadOf(row.range);
    }
  }
  return hosts;
}

HostLoad*
Find(std::vector<HostLoad>& aHosts, const HostName& aName)
{
  const auto found =
    std::find_if(aHosts.begin(), aHosts.end(), [&](const HostLoad& aHost) {
      return HostOf(aHost) == aName;
    });
  return found == aHosts.end() ? nullptr : &*found;
}

/** Removes a range from a host's ranges, splitting the range around it. */
void
Remove(HostLoad& aHost, const KeyRange& aRange, double aLoad)
{
  std::vector<KeyRange> left;
  for (const auto& range : aHost.ranges) {
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
  aHost.ranges = std::move(left);
  aHost.load -= aLoad;
}

/** Pieces at either end of a range whose load is about aWanted. */
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

/** Piece of a host's ranges whose load is closest to aWanted. */
std::optional<KeyRange>
ChoosePiece(const HostLoad& aFrom, const LoadMap& aLoad, double aWanted)
{
  std::optional<KeyRange> best;
  double leastDistance = aWanted;
  for (const auto& range : aFrom.ranges) {
    for (const auto& piece : EndPieces(range, aLoad, aWanted)) {
      const auto load = aLoad.LoadOf(piece);
      const auto distance = std::abs(load - aWanted);
      if (load <= aWanted * kMaxOvershoot && distance < leastDistance) {
        leastDistance = distance;
        best = piece;
      }
    }
  }
  return best;
}

bool
ByUtilization(const HostLoad& aLeft, const HostLoad& aRight)
{
  return aLeft.Utilization() < aRight.Utilization();
}

double
MeanUtilization(const std::vector<HostLoad>& aHosts)
{
  double load = 0.0;
  double capacity = 0.0;
  for (const auto& host : aHosts) {
    load += host.load;
    capacity += host.target->capacity;
  }
  return load / capacity;
}

}

void
Rebalancer::RemoveFinished(const RangeRows& aRows, MonoTime aNow)
{
  std::erase_if(m_pending, [&](const Pending& aItem) {
    const bool pending =
      std::any_of(aRows.begin(), aRows.end(), [&](const RangeRow& aRow) {
        return aRow.range.Overlaps(aItem.move.range) &&
               aRow.holder.host == aItem.move.from;
      });
    return !pending || aNow - aItem.plannedAt >= m_settings.moveTimeout;
  });
}

void
Rebalancer::ApplyPending(std::vector<HostLoad>& aHosts,
                         const LoadMap& aLoad) const
{
  for (const auto& pending : m_pending) {
    const auto load = aLoad.LoadOf(pending.move.range);
    if (auto* from = Find(aHosts, pending.move.from)) {
      Remove(*from, pending.move.range, load);
    }
    if (auto* to = Find(aHosts, pending.move.to)) {
      to->load += load; // Its ranges are not moved again.
      to->ranges.clear();
    }
  }
}

std::optional<KeyRange>
Rebalancer::ChooseRange(const HostLoad& aMostUtilized,
                        const HostLoad& aLeastUtilized,
                        double aMean,
                        const LoadMap& aLoad) const
{
  const bool idle = aLeastUtilized.load <= 0.0;
  const bool imbalanced =
    aMostUtilized.Utilization() >= m_settings.minUtilization &&
    aMostUtilized.Utilization() - aLeastUtilized.Utilization() >=
      m_settings.minUtilizationGap;
  if (!idle && !imbalanced) {
    return std::nullopt;
  }
  const auto spare =
    (aMean - aLeastUtilized.Utilization()) * aLeastUtilized.target->capacity;
  const auto excess =
    (aMostUtilized.Utilization() - aMean) * aMostUtilized.target->capacity;
  const auto wanted =
    imbalanced ? std::min(spare, excess) : spare * kIdleHostShare;
  return ChoosePiece(aMostUtilized, aLoad, wanted);
}

std::vector<PlannedMove>
Rebalancer::Plan(const RangeRows& aRows,
                 const std::vector<PlacementTarget>& aTargets,
                 const LoadMap& aLoad,
                 MonoTime aNow)
{
  RemoveFinished(aRows, aNow);
  auto hosts = CollectLoads(aRows, aTargets, aLoad);
  ApplyPending(hosts, aLoad);
  const auto maxMoves =
    std::max(m_settings.minConcurrentMoves,
             static_cast<size_t>(static_cast<double>(hosts.size()) *
                                 m_settings.concurrentMovesPerHost));
  std::vector<PlannedMove> moves;
  // Skip hosts whose load cannot be split, such as that of a single hot key, so
  // that they do not keep other hosts from being relieved.
  auto donors = hosts.size();
  while (donors > 1 && m_pending.size() + moves.size() < maxMoves) {
    const auto mean = MeanUtilization(hosts);
    std::ranges::sort(std::span(hosts).first(donors), ByUtilization);
    auto& mostUtilized = hosts[donors - 1];
    auto& leastUtilized =
      *std::min_element(hosts.begin(), hosts.end(), ByUtilization);
    const auto piece = ChooseRange(mostUtilized, leastUtilized, mean, aLoad);
    if (!piece) {
      --donors;
      continue;
    }
    const auto moved = aLoad.LoadOf(*piece);
    moves.push_back(
      PlannedMove{ *piece, HostOf(mostUtilized), HostOf(leastUtilized) });
    Remove(mostUtilized, *piece, moved);
    leastUtilized.load += moved;
  }
  for (const auto& move : moves) {
    m_pending.push_back(Pending{ move, aNow });
  }
  return moves;
}

}
