#ifndef PISTACHIOSHIFT_RANGES_TABLECHANGE_H
#define PISTACHIOSHIFT_RANGES_TABLECHANGE_H

#include <optional>

#include "src/Ranges/RangeTable.h"

namespace pistachioshift {

/**
 * \brief Difference between two successive tables.
 *
 * Hosts send each other changes instead of whole tables: both the size of a
 * table and the number of receivers grow with the number of hosts.
 */
struct TableChange
{
  int64_t base = 0; ///< Revision of the table to which it applies.
  StoreEra baseEra; ///< Era in which that revision was written.
  StoreEra era;
  bool settled = true;
  int64_t revision = 0;
  int64_t nextFence = 1;
  int64_t nextSuspicion = 1;
  /// Rows that are new or changed; they replace all rows that they overlap.
  std::map<ServiceName, RangeRows> rows;
  std::vector<Suspicion> suspicions; ///< All of the new table.

  bool operator==(const TableChange&) const = default;
};

/** \brief Difference between two tables; nullopt if a service was removed. */
std::optional<TableChange> DiffTables(const RangeTable& aBefore,
                                      const RangeTable& aAfter);

/**
 * \brief Table after a change; nullopt if the change applies to another
 * revision.
 */
std::optional<RangeTable> ApplyTableChange(const RangeTable& aBefore,
                                           const TableChange& aChange);

}

#endif
