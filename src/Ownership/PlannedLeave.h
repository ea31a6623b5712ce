#ifndef PISTACHIOSHIFT_OWNERSHIP_PLANNEDLEAVE_H
#define PISTACHIOSHIFT_OWNERSHIP_PLANNEDLEAVE_H

#include <optional>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ownership/Holdings.h"
#include "src/Ownership/NodeSettings.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

/** \brief Steps of a planned leave (R7). */
class PlannedLeave
{
public:
  PlannedLeave(DaemonId aSelf, const NodeSettings& aSettings);

  void Begin(MonoTime aNow);
  bool HasBegun() const { return m_begunAt.has_value(); }

  /** \brief Records that give up this daemon's ranks, to append now. */
  std::vector<PassRecord> Passes(const OwnershipView& aView,
                                 const Holdings& aHoldings,
                                 MonoTime aNow);

  /** \brief Whether all entries must stop, even those without a successor. */
  bool MustStop(MonoTime aNow) const;

  /** \brief Whether nothing is held, and ranks and witness duties are given up
   *         or the time is over. */
  bool IsDone(const OwnershipView& aView,
              const Holdings& aHoldings,
              MonoTime aNow);

private:
  bool MayPass(const EntryKey& aKey,
               const OwnershipView& aView,
               const Holdings& aHoldings) const;

  DaemonId m_self;
  NodeSettings m_settings;
  std::optional<MonoTime> m_begunAt;
  std::optional<MonoTime> m_idleSince;
  MonoTime m_nextPass = MonoTime::min();
};

}

#endif
