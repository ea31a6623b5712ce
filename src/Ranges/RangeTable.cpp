#include "src/Ranges/RangeTable.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <span>

namespace pistachioshift {

namespace {

bool
EqualExceptRange(const RangeRow& aLeft, const RangeRow& aRight)
{
  return aLeft.holder == aRight.holder && aLeft.fence == aRight.fence &&
         aLeft.handover == aRight.handover;
}

bool
EndsBefore(const RangeRow& aRow, const KeyRange& aRange)
{
  return aRow.range.last < aRange.first;
}

/** Parts of the rows that overlap a range, with the range replaced by aRow. */
RangeRows
ReplaceWithin(std::span<const RangeRow> aRows, const RangeRow& aRow)
{
  RangeRows parts;
  const auto& first = aRows.front();
  if (first.range.first < aRow.range.first) {
    parts.push_back(first);
    parts.back().range.last = aRow.range.first - 1;
  }
  parts.push_back(aRow);
  const auto& last = aRows.back();
  if (last.range.last > aRow.range.last) {
    parts.push_back(last);
    parts.back().range.first = aRow.range.last + 1;
  }
  return parts;
}

/** Merges the rows before aEnd, back to aBegin, that differ only in range. */
void
MergeAdjacent(RangeRows& aRows, size_t aBegin, size_t aEnd)
{
  for (size_t index = aEnd; index-- > aBegin + 1;) {
    auto& row = aRows[index];
    auto& before = aRows[index - 1];
    if (EqualExceptRange(before, row)) {
      before.range.last = row.range.last;
      aRows.erase(aRows.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
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
  auto& rows =
    services.try_emplace(aService, RangeRows{ RangeRow{} }).first->second;
  const auto begin =
    std::lower_bound(rows.begin(), rows.end(), aRow.range, EndsBefore);
  auto end = begin;
  while (end != rows.end() && end->range.Overlaps(aRow.range)) {
    ++end;
  }
  auto parts = ReplaceWithin(std::span<const RangeRow>(begin, end), aRow);
  const auto index = static_cast<size_t>(begin - rows.begin());
  const auto count = parts.size();
  const auto next = rows.erase(begin, end);
  rows.insert(next,
              std::make_move_iterator(parts.begin()),
              std::make_move_iterator(parts.end()));
  MergeAdjacent(
    rows, index > 0 ? index - 1 : 0, std::min(rows.size(), index + count + 1));
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
