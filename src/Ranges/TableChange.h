#ifndef PISTACHIOSHIFT_RANGES_TABLECHANGE_H
#define PISTACHIOSHIFT_RANGES_TABLECHANGE_H

#include <optional>

#include "src/Ranges/RangeTable.h"

namespace pistachioshift {

/**
 * \brief What a new table differs in from the one before it.
 *
 * Hosts tell each other these instead of whole tables, whose size grows with
 * the number of hosts, as does the number of hosts that are told.
 */
struct TableChange
{
  int64_t base = 0; ///< Revision of the table that it applies to.
  int64_t revision = 0;
  int64_t nextFence = 1;
  int64_t nextSuspicion = 1;
  /// Rows that the table before doesn't have: they replace all that they cover.
  std::map<ServiceName, RangeRows> rows;
  std::vector<Suspicion> suspicions; ///< All that stand.

  bool operator==(const TableChange&) const = default;
};

/** \brief Change between two tables; none if services are missing after it. */
std::optional<TableChange> DiffTables(const RangeTable& aBefore,
                                      const RangeTable& aAfter);

/** \brief Table after a change; none if the change is of another table. */
std::optional<RangeTable> ApplyTableChange(const RangeTable& aBefore,
                                           const TableChange& aChange);

}

#endif
