#ifndef PISTACHIOSHIFT_OWNERSHIP_REMOVAL_H
#define PISTACHIOSHIFT_OWNERSHIP_REMOVAL_H

#include <map>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ownership/Evidence.h"
#include "src/Ownership/NodeSettings.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

/**
 * \brief Has lost daemons removed from the log's list of members.
 *
 * Several daemons could write the same record; they wait different times, so
 * that one copy is usual.
 */
class Removal
{
public:
  Removal(DaemonId aSelf, const NodeSettings& aSettings);

  /** \brief A seal of one of this witness's leaseholders came in. */
  void OnSealed(const OwnershipView& aView,
                const Evidence& aEvidence,
                DaemonId aLeaseholder,
                MonoTime aNow);

  /** \brief Looks for leaseholders whose witnesses are gone. */
  void OnGone(const OwnershipView& aView, DaemonId aWitness, MonoTime aNow);

  std::vector<OwnershipRecord> OnTick(const OwnershipView& aView,
                                      const Evidence& aEvidence,
                                      MonoTime aNow);

private:
  DaemonId m_self;
  NodeSettings m_settings;
  std::map<DaemonId, MonoTime> m_sealed;
  std::map<DaemonId, MonoTime> m_retirable;
};

}

#endif
