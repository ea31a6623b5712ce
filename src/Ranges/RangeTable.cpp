#include "src/Ranges/RangeTable.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <span>

namespace pistachioshift {

namespace {

/**
 * Numbers of one era: more than are used in it, and few enough for a million
 * eras in the 53 bits that JSON readers keep.
 */
constexpr int64_t kNumbersPerEra = int64_t{ 1 } << 32U;
constexpr int64_t kMaxEra = int64_t{ 1 } << 20U;

/**
 * First number of an era that is above all numbers of the eras before, whatever
 * table is known of these. The store may count its eras from a large number.
 * \param aNext next number by a table of an earlier era.
 * \param aEras eras since that table.
 */
int64_t
FirstNumber(int64_t aNext, int64_t aEras, StoreEra aEra)
{
  const auto skipped = std::clamp<int64_t>(aEras, 1, kMaxEra) * kNumbersPerEra;
  const auto first =
    aEra.Value() <= kMaxEra ? aEra.Value() * kNumbersPerEra : 0;
  return std::max(aNext + skipped, first);
}

bool
EqualExceptRange(const RangeRow& aLeft, const RangeRow& aRight)
{
  return aLeft.holder == aRight.holder && aLeft.fence == aRight.fence &&
         aLeft.handover == aRight.handover &&
         aLeft.unconfirmed == aRight.unconfirmed;
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
  static const RangeRows kAllUnknown{ RangeRow{ .unconfirmed = true } };
  const auto found = services.find(aService);
  if (found == services.end()) {
    return settled ? kAllFree : kAllUnknown;
  }
  return found->second;
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
  auto& rows = services.try_emplace(aService, RowsOf(aService)).first->second;
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
RangeTable::Confirm(const ServiceName& aService, const RangeRow& aRow)
{
  Replace(aService, aRow);
}

void
RangeTable::BeginEra(StoreEra aEra)
{
  const auto eras = aEra.Value() - era.Value();
  nextFence = FirstNumber(nextFence, eras, aEra);
  nextSuspicion = FirstNumber(nextSuspicion, eras, aEra);
  suspicions.clear();
  for (auto& [service, rows] : services) {
    for (auto& row : rows) {
      row.unconfirmed = true;
    }
  }
  settled = false;
  era = aEra;
}

void
RangeTable::Settle()
{
  for (auto& [service, rows] : services) {
    const auto before = rows;
    for (const auto& row : before) {
      if (row.unconfirmed) {
        Free(service, row.range, {});
      }
    }
  }
  settled = true;
}

bool
RangeTable::IsConfirmed(const ServiceName& aService) const
{
  const auto found = services.find(aService);
  return found != services.end() &&
         std::none_of(found->second.begin(),
                      found->second.end(),
                      [](const RangeRow& aRow) { return aRow.unconfirmed; });
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
