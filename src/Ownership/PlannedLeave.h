#ifndef PISTACHIOSHIFT_OWNERSHIP_PLANNEDLEAVE_H
#define PISTACHIOSHIFT_OWNERSHIP_PLANNEDLEAVE_H

#include <optional>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ownership/Holdings.h"
#include "src/Ownership/NodeSettings.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

/** \brief A planned leave (R7): what to pass, when to stop, when it is done. */
class PlannedLeave
{
public:
  PlannedLeave(DaemonId aSelf, const NodeSettings& aSettings);

  void Begin(MonoTime aNow);
  bool HasBegun() const { return m_begunAt.has_value(); }

  /** \brief Ranks to give up now, in records of bounded size. */
  std::vector<PassRecord> Passes(const OwnershipView& aView,
                                 const Holdings& aHoldings,
                                 MonoTime aNow);

  /** \brief Nothing new may start any more, also without a successor. */
  bool MustStop(MonoTime aNow) const;

  /** \brief Nothing is held and no leaseholder is left, or it took too long. */
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
