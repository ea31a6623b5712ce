#include <algorithm>

#include "src/HostDaemon/CoordinatorTask.h"

namespace pistachioshift {

/**
 * After a return of the store, records the holders that hosts claim. What
 * nobody has claimed is free once all leases of the earlier eras have expired.
 */
void
CoordinatorTask::ConfirmRows()
{
  if (m_state.TableOutdated()) {
    m_state.SubmitOrReplaceEdit(
      "rewrite", [](TableDraft&, const MeshState&) { return true; });
  }
  if (m_state.Latest().Table().settled) {
    return;
  }
  auto table = m_state.Latest().Table();
  if (!ConfirmClaims(table, m_state.Latest()) && !MaySettle(table)) {
    return;
  }
  m_state.SubmitOrReplaceEdit(
    "confirm", [this](TableDraft& aDraft, const MeshState& aState) {
      bool changed = ConfirmClaims(aDraft.table, aState);
      if (!aDraft.table.settled && MaySettle(aDraft.table)) {
        aDraft.table.Settle();
        changed = true;
      }
      return changed;
    });
}

bool
CoordinatorTask::MaySettle(const RangeTable& aTable) const
{
  if (m_clock.Now() - m_state.EraSince() >= kTakeoverWait) {
    return true;
  }
  const auto isConfirmed = [&](const ServiceName& aService) {
    return aTable.IsConfirmed(aService);
  };
  return !m_sharded.empty() &&
         std::all_of(m_sharded.begin(), m_sharded.end(), isConfirmed) &&
         std::all_of(
           aTable.services.begin(),
           aTable.services.end(),
           [&](const auto& aItem) { return isConfirmed(aItem.first); });
}

}
