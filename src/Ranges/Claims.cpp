#include "src/Ranges/Claims.h"

#include <algorithm>

namespace pistachioshift {

bool
ConfirmClaims(RangeTable& aTable, const MeshState& aState)
{
  if (aTable.settled) {
    return false;
  }
  bool changed = false;
  for (const auto& [name, host] : aState.Hosts()) {
    if (host.era != aTable.era || !host.server) {
      continue;
    }
    const RangeHolder holder{ name, host.server->incarnation };
    for (const auto& claim : host.claims) {
      const auto rows = aTable.RowsOf(host.service);
      for (const auto& row : rows) {
        if (row.unconfirmed && row.range.Overlaps(claim.range)) {
          const auto part = row.range.Intersection(claim.range);
          aTable.Confirm(host.service,
                         RangeRow{ part, holder, claim.fence, claim.handover });
          changed = true;
        }
      }
    }
  }
  return changed;
}

std::vector<RangeRow>
UnconfirmedClaims(const RangeTable& aTable,
                  const ServiceName& aService,
                  const RangeHolder& aHolder,
                  const std::vector<ClaimedRange>& aClaims)
{
  std::vector<RangeRow> rows;
  for (const auto& claim : aClaims) {
    if (!AreConfirmed(aTable, aService, { claim })) {
      rows.push_back(
        RangeRow{ claim.range, aHolder, claim.fence, claim.handover, true });
    }
  }
  return rows;
}

bool
AreConfirmed(const RangeTable& aTable,
             const ServiceName& aService,
             const std::vector<ClaimedRange>& aClaims)
{
  const auto& rows = aTable.RowsOf(aService);
  return std::none_of(rows.begin(), rows.end(), [&](const RangeRow& aRow) {
    return aRow.unconfirmed &&
           std::any_of(aClaims.begin(), aClaims.end(), [&](const auto& aClaim) {
             return aClaim.range.Overlaps(aRow.range);
           });
  });
}

}
