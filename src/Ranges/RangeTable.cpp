#include "src/Ranges/RangeTable.h"

#include <algorithm>
#include <charconv>

namespace pistachioshift {

namespace {

bool
EqualExceptRange(const RangeRow& aLeft, const RangeRow& aRight)
{
  return aLeft.holder == aRight.holder && aLeft.fence == aRight.fence &&
         aLeft.handover == aRight.handover;
}

RangeRows
MergeAdjacent(const RangeRows& aRows)
{
  RangeRows merged;
  for (const auto& row : aRows) {
    if (!merged.empty() && EqualExceptRange(merged.back(), row)) {
      merged.back().range.last = row.range.last;
    } else {
      merged.push_back(row);
    }
  }
  return merged;
}

}

std::optional<ShardKey>
ParseShardKey(std::string_view aText)
{
  uint32_t key = 0;
  const auto* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, key);
  const bool complete = result.ec == std::errc() && result.ptr == end;
  if (!complete || key >= kShardKeys) {
    return std::nullopt;
  }
  return ShardKey(key);
}

const RangeRows&
RangeTable::RowsOf(const ServiceName& aService) const
{
  static const RangeRows kAllFree{ RangeRow{} };
  const auto found = services.find(aService);
  return found == services.end() ? kAllFree : found->second;
}

const RangeRow*
RangeTable::Find(const ServiceName& aService, ShardKey aKey) const
{
  const auto& rows = RowsOf(aService);
  const auto found = std::lower_bound(
    rows.begin(), rows.end(), aKey, [](const RangeRow& aRow, ShardKey aSought) {
      return aRow.range.last < aSought.Value();
    });
  return found == rows.end() ? nullptr : &*found;
}

void
RangeTable::Replace(const ServiceName& aService, const RangeRow& aRow)
{
  RangeRows rows;
  for (const auto& old : RowsOf(aService)) {
    if (!old.range.Overlaps(aRow.range)) {
      rows.push_back(old);
      continue;
    }
    if (old.range.first < aRow.range.first) {
      rows.push_back(old);
      rows.back().range.last = aRow.range.first - 1;
    }
    if (old.range.Contains(ShardKey(aRow.range.first))) {
      rows.push_back(aRow);
    }
    if (old.range.last > aRow.range.last) {
      rows.push_back(old);
      rows.back().range.first = aRow.range.last + 1;
    }
  }
  services[aService] = MergeAdjacent(rows);
}

void
RangeTable::Assign(const ServiceName& aService,
                   const KeyRange& aRange,
                   const RangeHolder& aHolder,
                   const std::string& aHandover)
{
  Replace(aService, RangeRow{ aRange, aHolder, Fence(nextFence), aHandover });
  ++nextFence;
}

void
RangeTable::Free(const ServiceName& aService,
                 const KeyRange& aRange,
                 const std::string& aHandover)
{
  Replace(aService, RangeRow{ aRange, RangeHolder{}, Fence(), aHandover });
}

int64_t
RangeTable::Suspect(const HostName& aHost)
{
  if (const auto* known = FindSuspicion(aHost)) {
    return known->number;
  }
  suspicions.push_back(Suspicion{ aHost, nextSuspicion });
  return nextSuspicion++;
}

const Suspicion*
RangeTable::FindSuspicion(const HostName& aHost) const
{
  const auto found =
    std::find_if(suspicions.begin(),
                 suspicions.end(),
                 [&](const Suspicion& aItem) { return aItem.host == aHost; });
  return found == suspicions.end() ? nullptr : &*found;
}

void
RangeTable::DropSuspicion(const HostName& aHost)
{
  std::erase_if(suspicions,
                [&](const Suspicion& aItem) { return aItem.host == aHost; });
}

}
