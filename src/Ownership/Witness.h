#ifndef PISTACHIOSHIFT_OWNERSHIP_WITNESS_H
#define PISTACHIOSHIFT_OWNERSHIP_WITNESS_H

#include <map>
#include <optional>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ownership/Messages.h"
#include "src/Ownership/NodeSettings.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

/**
 * \brief Witness side of leases (R3): acks leaseholders and seals silent ones.
 */
class Witness
{
public:
  Witness(DaemonId aSelf, const NodeSettings& aSettings, MonoTime aNow);

  /** \brief Takes on and drops leaseholders after a record was applied. */
  void Sync(const OwnershipView& aView, MonoTime aNow);

  /** \brief nullopt: this daemon isn't (yet) a witness of the sender. */
  std::optional<RenewAck> OnRenew(DaemonId aLeaseholder,
                                  const Renew& aRenew,
                                  bool aFirm,
                                  MonoTime aNow);

  /** \brief Seals if the leaseholder is silent still; nullopt: it isn't. */
  std::optional<SealReply> OnSealRequest(DaemonId aLeaseholder, MonoTime aNow);

  /** \brief Leaseholders whose silence is to be told now. */
  std::vector<DaemonId> OnTick(MonoTime aNow);

  /** \brief Daemons to tell of a leaseholder's silence. */
  std::vector<DaemonId> ReportRecipients(const OwnershipView& aView,
                                         DaemonId aLeaseholder) const;

private:
  struct WatchedLease
  {
    MonoTime lastHeard;
    Offset version;
    bool sealed = false;
    MonoTime nextReport;
    Duration reportInterval{};
  };

  bool IsSilent(const WatchedLease& aWatch, MonoTime aNow) const;
  void ResetSilencesAfterPause(MonoTime aNow);

  DaemonId m_self;
  NodeSettings m_settings;
  MonoTime m_lastTick;
  std::map<DaemonId, WatchedLease> m_watches;
};

}

#endif
