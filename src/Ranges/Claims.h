#ifndef PISTACHIOSHIFT_RANGES_CLAIMS_H
#define PISTACHIOSHIFT_RANGES_CLAIMS_H

#include <vector>

#include "src/Ranges/MeshState.h"

namespace pistachioshift {

/**
 * \brief Confirms the unconfirmed rows that hosts claim in their records.
 *
 * Claims do not overlap: a host claims only while its lease of the earlier era
 * lasts, so that its rows cannot have been given to others except by itself.
 * \return whether the table was changed.
 */
bool ConfirmClaims(RangeTable& aTable, const MeshState& aState);

/** \brief Rows of the claims that are not confirmed yet. */
std::vector<RangeRow> UnconfirmedClaims(
  const RangeTable& aTable,
  const ServiceName& aService,
  const RangeHolder& aHolder,
  const std::vector<ClaimedRange>& aClaims);

/** \brief Whether no part of the claimed ranges is unconfirmed. */
bool AreConfirmed(const RangeTable& aTable,
                  const ServiceName& aService,
                  const std::vector<ClaimedRange>& aClaims);

/** \brief Whether a record contains a whole table. */
bool IsTable(const StoreEntry& aEntry);

/** \brief Record of a table change, sent to other hosts only. */
StoreEntry EncodeChange(const TableChange& aChange);

}

#endif
