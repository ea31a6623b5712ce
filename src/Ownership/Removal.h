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
 * \brief Writes records that remove lost daemons from the members.
 *
 * Several daemons may write the same record. Each waits a different time, so
 * that usually only one does.
 */
class Removal
{
public:
  Removal(DaemonId aSelf, const NodeSettings& aSettings);

  /** \brief Schedules a GoneRecord if this daemon's leaseholder is sealed. */
  void OnSealed(const OwnershipView& aView,
                const Evidence& aEvidence,
                DaemonId aLeaseholder,
                MonoTime aNow);

  /** \brief Schedules RetireRecords for leaseholders of a lost witness. */
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
