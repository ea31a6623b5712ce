#include "src/Ranges/TableChange.h"

#include <algorithm>

namespace pistachioshift {

namespace {

bool
StartsBefore(const RangeRow& aLeft, const RangeRow& aRight)
{
  return aLeft.range.first < aRight.range.first;
}

/** Rows of aAfter that aBefore lacks. Both are sorted by range. */
RangeRows
NewRows(const RangeRows& aBefore, const RangeRows& aAfter)
{
  RangeRows rows;
  for (const auto& row : aAfter) {
    const auto found =
      std::lower_bound(aBefore.begin(), aBefore.end(), row, StartsBefore);
    if (found == aBefore.end() || *found != row) {
      rows.push_back(row);
    }
  }
  return rows;
}

/**
 * Replaces the old rows that overlap new ones. New rows cover every changed row
 * completely, so that no part of its range is lost.
 */
RangeRows
MergeRows(const RangeRows& aBefore, const RangeRows& aNew)
{
  RangeRows rows;
  rows.reserve(aBefore.size() + aNew.size());
  auto next = aNew.begin();
  for (const auto& row : aBefore) {
    while (next != aNew.end() && next->range.last < row.range.first) {
      rows.push_back(*next++);
    }
    if (next == aNew.end() || !next->range.Overlaps(row.range)) {
      rows.push_back(row);
    }
  }
  rows.insert(rows.end(), next, aNew.end());
  return rows;
}

}

std::optional<TableChange>
DiffTables(const RangeTable& aBefore, const RangeTable& aAfter)
{
  TableChange change;
  change.base = aBefore.revision;
  change.baseEra = aBefore.writtenEra;
  change.era = aAfter.era;
  change.settled = aAfter.settled;
  change.revision = aAfter.revision;
  change.nextFence = aAfter.nextFence;
  change.nextSuspicion = aAfter.nextSuspicion;
  change.suspicions = aAfter.suspicions;
  for (const auto& [service, rows] : aBefore.services) {
    if (!aAfter.services.contains(service)) {
      return std::nullopt;
    }
  }
  for (const auto& [service, rows] : aAfter.services) {
    const auto old = aBefore.services.find(service);
    auto changed =
      old == aBefore.services.end() ? rows : NewRows(old->second, rows);
    if (!changed.empty()) {
      change.rows.emplace(service, std::move(changed));
    }
  }
  return change;
}

std::optional<RangeTable>
ApplyTableChange(const RangeTable& aBefore, const TableChange& aChange)
{
  if (aBefore.revision != aChange.base ||
      aBefore.writtenEra != aChange.baseEra) {
    return std::nullopt;
  }
  RangeTable table;
  table.era = aChange.era;
  table.writtenEra = aChange.era;
  table.settled = aChange.settled;
  table.revision = aChange.revision;
  table.nextFence = aChange.nextFence;
  table.nextSuspicion = aChange.nextSuspicion;
  table.suspicions = aChange.suspicions;
  for (const auto& [service, rows] : aBefore.services) {
    const auto changed = aChange.rows.find(service);
    table.services.emplace(
      service,
      changed == aChange.rows.end() ? rows : MergeRows(rows, changed->second));
  }
  for (const auto& [service, rows] : aChange.rows) {
    table.services.try_emplace(service, rows); // A new service.
  }
  return table;
}

}
