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

/** \brief Witness of other daemons' leases (R3): acks renewals, seals leases.
 */
class Witness
{
public:
  Witness(DaemonId aSelf, const NodeSettings& aSettings, MonoTime aNow);

  /** \brief Updates the watched leaseholders after a record was applied. */
  void Sync(const OwnershipView& aView, MonoTime aNow);

  /** \brief Acks a renewal; nullopt: not, or not yet, a witness of the sender.
   */
  std::optional<RenewAck> OnRenew(DaemonId aLeaseholder,
                                  const Renew& aRenew,
                                  bool aFirm,
                                  MonoTime aNow);

  /** \brief Seals the leaseholder if it is still silent; nullopt: it is not. */
  std::optional<SealReply> OnSealRequest(DaemonId aLeaseholder, MonoTime aNow);

  /** \brief Leaseholders whose silence is to be reported now. */
  std::vector<DaemonId> OnTick(MonoTime aNow);

  /** \brief Daemons to which a leaseholder's silence is reported. */
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
