#include "src/Ranges/Rebalancer.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <span>

namespace pistachioshift {

using internal::Exchange;
using internal::HostLoad;

namespace {

/** A host without load first gets this share of its fair load. */
constexpr double kIdleHostShare = 0.5;

/** Maximum load of a piece, as a multiple of the load to be moved. */
constexpr double kMaxOvershoot = 1.3;

/** Distance from the load to be moved, as a share of it, that a whole row may
 * have in excess of a part of a row if the receiver has many rows. */
constexpr double kSplitPenalty = 0.5;

/** Advantage of a piece that borders on a row of the receiver: adjacent rows of
 * a failed host become one free row. */
constexpr double kBorderBonus = 0.1;

/** Maximum load of the row handed back, as a share of the load moved. */
constexpr double kMaxSwapShare = 0.5;

/** Load from which the hottest key of a host stays, as a share of the host's
 * capacity. Its neighbours are moved instead. */
constexpr double kHotKeyShare = 0.25;

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
    hosts.push_back(HostLoad{ &target, {} });
  }
  for (const auto& row : aRows) {
    const auto found = indexes.find(row.holder);
    if (found != indexes.end()) {
      auto& host = hosts[found->second];
      host.ranges.push_back(row.range);
      host.load += aLoad.LoadOf(row.range);
      host.keys += row.range.Size();
      ++host.rows;
      ++host.transient;
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
  aHost.rows = aHost.rows + left.size() - aHost.ranges.size();
  aHost.ranges = std::move(left);
  aHost.load -= aLoad;
  aHost.keys -= aRange.Size();
}

/** Adds the load of a range that a host is to get. */
void
AddArriving(HostLoad& aHost, const KeyRange& aRange, double aLoad)
{
  aHost.load += aLoad;
  aHost.keys += aRange.Size();
  ++aHost.rows;
  ++aHost.transient;
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

/** Pieces of a row without a hot key, at the ends of the row. */
std::vector<KeyRange>
PiecesAround(const KeyRange& aRow,
             std::optional<uint32_t> aHotKey,
             const LoadMap& aLoad,
             double aWanted)
{
  if (!aHotKey || !aRow.Contains(ShardKey(*aHotKey))) {
    return EndPieces(aRow, aLoad, aWanted);
  }
  std::vector<KeyRange> pieces;
  if (aRow.first < *aHotKey) {
    const KeyRange below{ aRow.first, *aHotKey - 1 };
    pieces.push_back(EndPieces(below, aLoad, aWanted).front());
  }
  if (*aHotKey < aRow.last) {
    const KeyRange above{ *aHotKey + 1, aRow.last };
    pieces.push_back(EndPieces(above, aLoad, aWanted).back());
  }
  return pieces;
}

/** The hottest key of a host, if it takes much of the host's capacity. */
std::optional<uint32_t>
HotKeyOf(const HostLoad& aHost, const LoadMap& aLoad)
{
  KeyLoad hottest;
  for (const auto& range : aHost.ranges) {
    const auto key = aLoad.HottestKey(range);
    if (key.load > hottest.load) {
      hottest = key;
    }
  }
  const bool hot = hottest.load >= kHotKeyShare * aHost.target->capacity;
  return hot ? std::optional(hottest.key) : std::nullopt;
}

/** Whether a range borders on a row of a host. */
bool
Borders(const KeyRange& aRange, const HostLoad& aHost)
{
  return std::any_of(
    aHost.ranges.begin(), aHost.ranges.end(), [&](const KeyRange& aItem) {
      return aItem.last + 1 == aRange.first || aRange.last + 1 == aItem.first;
    });
}

/** The row of a host that has the least load. */
const KeyRange*
LeastLoadedRow(const HostLoad& aHost, const LoadMap& aLoad)
{
  const auto found =
    std::min_element(aHost.ranges.begin(),
                     aHost.ranges.end(),
                     [&](const KeyRange& aLeft, const KeyRange& aRight) {
                       return aLoad.LoadOf(aLeft) < aLoad.LoadOf(aRight);
                     });
  return found == aHost.ranges.end() ? nullptr : &*found;
}

/** Load that the hosts reported for a host's keys. The part that is spread over
 * all keys must not make a host without requests seem overloaded. */
double
ReportedLoad(const HostLoad& aHost, const LoadMap& aLoad)
{
  return std::max(aHost.load - aLoad.UniformLoadOf(aHost.keys), 0.0);
}

bool
ByUtilization(const HostLoad& aLeft, const HostLoad& aRight)
{
  return aLeft.Utilization() < aRight.Utilization();
}

bool
HasFewerRows(const HostLoad& aLeft, const HostLoad& aRight)
{
  return aLeft.transient < aRight.transient;
}

void
Move(HostLoad& aFrom,
     HostLoad& aTo,
     const KeyRange& aRange,
     const LoadMap& aLoad,
     std::vector<PlannedMove>& aMoves)
{
  const auto load = aLoad.LoadOf(aRange);
  aMoves.push_back(PlannedMove{ aRange, HostOf(aFrom), HostOf(aTo) });
  Remove(aFrom, aRange, load);
  AddArriving(aTo, aRange, load);
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
      AddArriving(*to, pending.move.range, load);
      to->ranges.clear(); // They are not moved again.
    }
  }
}

bool
Rebalancer::HasRoom(const HostLoad& aFrom,
                    const HostLoad& aTo,
                    bool aWholeRow) const
{
  if (aTo.transient >= kMaxRowsPerHost) {
    return false;
  }
  if (aTo.rows < m_settings.maxRows) {
    return true;
  }
  // The receiver hands back a row.
  const auto donorRows = aFrom.rows - (aWholeRow ? 1 : 0);
  return !aTo.ranges.empty() && donorRows < m_settings.maxRows &&
         aFrom.transient < kMaxRowsPerHost;
}

bool
Rebalancer::Pays(const HostLoad& aFrom,
                 const HostLoad& aTo,
                 const Exchange& aExchange,
                 const LoadMap& aLoad) const
{
  if (aTo.load <= 0.0) {
    return true; // It gets its first keys at any utilization.
  }
  const auto moved = aLoad.LoadOf(aExchange.range);
  MoveEffect effect{ moved, moved, 0.0 };
  double keys = aExchange.range.Size();
  if (aExchange.swappedRow) {
    const auto load = aLoad.LoadOf(*aExchange.swappedRow);
    effect.load -= load;
    effect.waiting += load;
    keys += aExchange.swappedRow->Size();
  }
  effect.keyShare = keys / kShardKeys;
  return MovePays({ aFrom.load, aFrom.target->capacity },
                  { ReportedLoad(aTo, aLoad), aTo.target->capacity },
                  effect,
                  aLoad.LoadOf(KeyRange{}),
                  m_settings.value);
}

std::optional<KeyRange>
Rebalancer::ChoosePiece(const HostLoad& aFrom,
                        const HostLoad& aTo,
                        const LoadMap& aLoad,
                        double aWanted) const
{
  const bool manyRows = aTo.rows >= m_settings.maxRows / 2;
  const auto hotKey = HotKeyOf(aFrom, aLoad);
  std::optional<KeyRange> best;
  double leastDistance = aWanted;
  for (const auto& range : aFrom.ranges) {
    for (const auto& piece : PiecesAround(range, hotKey, aLoad, aWanted)) {
      const bool whole = piece == range;
      const auto load = aLoad.LoadOf(piece);
      auto distance = std::abs(load - aWanted);
      if (manyRows && !whole) {
        distance += kSplitPenalty * aWanted;
      }
      if (manyRows && Borders(piece, aTo)) {
        distance -= kBorderBonus * aWanted;
      }
      if (load <= aWanted * kMaxOvershoot && distance < leastDistance &&
          HasRoom(aFrom, aTo, whole) &&
          Pays(aFrom, aTo, Exchange{ piece, {} }, aLoad)) {
        leastDistance = distance;
        best = piece;
      }
    }
  }
  return best;
}

std::optional<Exchange>
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
  auto wanted = imbalanced ? std::min(spare, excess) : spare * kIdleHostShare;
  if (!idle && aMean > 1.0) {
    // Load above the receiver's capacity would not be served there either.
    wanted = std::min(wanted,
                      aLeastUtilized.target->capacity -
                        ReportedLoad(aLeastUtilized, aLoad));
  }
  const auto piece = ChoosePiece(aMostUtilized, aLeastUtilized, aLoad, wanted);
  if (!piece || aLeastUtilized.rows < m_settings.maxRows) {
    return piece ? std::optional(Exchange{ *piece, {} }) : std::nullopt;
  }
  const auto* swappedRow = LeastLoadedRow(aLeastUtilized, aLoad);
  if (swappedRow == nullptr ||
      aLoad.LoadOf(*swappedRow) > kMaxSwapShare * aLoad.LoadOf(*piece)) {
    return std::nullopt;
  }
  const Exchange exchange{ *piece, *swappedRow };
  const bool pays = Pays(aMostUtilized, aLeastUtilized, exchange, aLoad);
  return pays ? std::optional(exchange) : std::nullopt;
}

size_t
Rebalancer::MaxMoves(size_t aHosts) const
{
  return std::max(m_settings.minConcurrentMoves,
                  static_cast<size_t>(static_cast<double>(aHosts) *
                                      m_settings.concurrentMovesPerHost));
}

void
Rebalancer::PlanForLoad(std::vector<HostLoad>& aHosts,
                        const LoadMap& aLoad,
                        size_t aMaxMoves,
                        std::vector<PlannedMove>& aMoves) const
{
  // Skip hosts whose load cannot be split, such as that of a single hot key, so
  // that they do not keep other hosts from being relieved.
  auto donors = aHosts.size();
  while (donors > 1 && aMoves.size() < aMaxMoves) {
    const auto mean = MeanUtilization(aHosts);
    std::ranges::sort(std::span(aHosts).first(donors), ByUtilization);
    auto& mostUtilized = aHosts[donors - 1];
    auto& leastUtilized =
      *std::min_element(aHosts.begin(), aHosts.end(), ByUtilization);
    const auto chosen = ChooseRange(mostUtilized, leastUtilized, mean, aLoad);
    if (!chosen) {
      --donors;
      continue;
    }
    Move(mostUtilized, leastUtilized, chosen->range, aLoad, aMoves);
    if (chosen->swappedRow) {
      Move(leastUtilized, mostUtilized, *chosen->swappedRow, aLoad, aMoves);
    }
  }
}

void
Rebalancer::PlanForRows(std::vector<HostLoad>& aHosts,
                        const LoadMap& aLoad,
                        size_t aMaxMoves,
                        std::vector<PlannedMove>& aMoves) const
{
  for (auto& host : aHosts) {
    auto& receiver =
      *std::min_element(aHosts.begin(), aHosts.end(), HasFewerRows);
    const auto* row = LeastLoadedRow(host, aLoad);
    if (host.rows > m_settings.maxRows && row != nullptr &&
        receiver.transient < m_settings.maxRows && aMoves.size() < aMaxMoves) {
      Move(host, receiver, KeyRange(*row), aLoad, aMoves);
    }
  }
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
  const auto maxMoves = MaxMoves(hosts.size());
  const auto newMoves = maxMoves - std::min(maxMoves, m_pending.size());
  std::vector<PlannedMove> moves;
  PlanForLoad(hosts, aLoad, newMoves, moves);
  PlanForRows(hosts, aLoad, newMoves, moves);
  for (const auto& move : moves) {
    m_pending.push_back(Pending{ move, aNow });
  }
  return moves;
}

}
