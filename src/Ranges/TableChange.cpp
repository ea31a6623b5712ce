#include "src/Ranges/TableChange.h"

#include <algorithm>

namespace pistachioshift {

namespace {

bool
Before(const RangeRow& aLeft, const RangeRow& aRight)
{
  return aLeft.range.first < aRight.range.first;
}

/** Both are sorted; rows are equal only if their ranges are. */
RangeRows
NewRows(const RangeRows& aBefore, const RangeRows& aAfter)
{
  RangeRows rows;
  for (const auto& row : aAfter) {
    const auto found =
      std::lower_bound(aBefore.begin(), aBefore.end(), row, Before);
    if (found == aBefore.end() || *found != row) {
      rows.push_back(row);
    }
  }
  return rows;
}

/** A row that changed is covered by the new ones as a whole. */
RangeRows
Merge(const RangeRows& aBefore, const RangeRows& aNew)
{
  RangeRows rows;
  for (const auto& row : aBefore) {
    auto next = std::upper_bound(aNew.begin(), aNew.end(), row, Before);
    const bool covered =
      (next != aNew.end() && next->range.Overlaps(row.range)) ||
      (next != aNew.begin() && std::prev(next)->range.Overlaps(row.range));
    if (!covered) {
      rows.push_back(row);
    }
  }
  rows.insert(rows.end(), aNew.begin(), aNew.end());
  std::sort(rows.begin(), rows.end(), Before);
  return rows;
}

}

std::optional<TableChange>
DiffTables(const RangeTable& aBefore, const RangeTable& aAfter)
{
  TableChange change;
  change.base = aBefore.revision;
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
    const auto known = aBefore.services.find(service);
    auto changed =
      known == aBefore.services.end() ? rows : NewRows(known->second, rows);
    if (!changed.empty()) {
      change.rows.emplace(service, std::move(changed));
    }
  }
  return change;
}

std::optional<RangeTable>
ApplyTableChange(const RangeTable& aBefore, const TableChange& aChange)
{
  if (aBefore.revision != aChange.base) {
    return std::nullopt;
  }
  auto table = aBefore;
  table.revision = aChange.revision;
  table.nextFence = aChange.nextFence;
  table.nextSuspicion = aChange.nextSuspicion;
  table.suspicions = aChange.suspicions;
  for (const auto& [service, rows] : aChange.rows) {
    auto& known = table.services[service];
    known = Merge(known, rows);
  }
  return table;
}

}
