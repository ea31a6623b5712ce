#ifndef PISTACHIOSHIFT_OWNERSHIP_NODEIMPL_H
#define PISTACHIOSHIFT_OWNERSHIP_NODEIMPL_H

#include <map>
#include <set>
#include <vector>

#include "src/Ownership/Evidence.h"
#include "src/Ownership/Holdings.h"
#include "src/Ownership/Leaseholder.h"
#include "src/Ownership/Node.h"
#include "src/Ownership/PlannedLeave.h"
#include "src/Ownership/Removal.h"
#include "src/Ownership/Takeover.h"
#include "src/Ownership/Witness.h"

namespace pistachioshift {

/**
 * \brief Connects the parts of Node.
 *
 * Evaluates only keys in which this daemon has a rank, and only when a record,
 * a message or a newly adopted change may affect them.
 */
class Node::Impl
{
public:
  Impl(DaemonId aSelf,
       OwnershipView aView,
       NodeSettings aSettings,
       RandomEngine aRandom,
       MonoTime aNow);

  Verdict OnRecord(Offset aOffset,
                   const OwnershipRecord& aRecord,
                   MonoTime aNow);
  void OnMessage(DaemonId aFrom, const ControlMessage& aMessage, MonoTime aNow);
  void OnTick(MonoTime aNow);
  void OnEntryIdle(const EntryKey& aKey, MonoTime aNow);
  void BeginLeave(MonoTime aNow);
  std::optional<FenceToken> MayServe(const EntryKey& aKey, MonoTime aNow) const;
  std::vector<HeldEntry> Held() const;

  DaemonId self;
  OwnershipView view;
  AppliedOffsets applied;
  AppliedOffsets peerOffsets;
  std::map<ServiceName, Duration> fenceWaits;
  std::vector<Effect> effects;
  internal::Leaseholder leaseholder;
  bool left = false;

private:
  void Handle(DaemonId aFrom, const Renew& aRenew, MonoTime aNow);
  void Handle(DaemonId aFrom, const RenewAck& aAck, MonoTime aNow);
  void Handle(DaemonId aFrom, const SilenceReport& aSilence, MonoTime aNow);
  void Handle(DaemonId aFrom, const SealRequest& aRequest, MonoTime aNow);
  void Handle(DaemonId aFrom, const SealReply& aReply, MonoTime aNow);
  void Handle(DaemonId aFrom, const ReleaseQuery& aQuery, MonoTime aNow);
  void Handle(DaemonId aFrom, const ReleaseReply& aReply, MonoTime aNow);

  void AnnouncePin(const EntryKey& aPin);
  void OnMembershipRecord(const OwnershipRecord& aRecord, MonoTime aNow);
  void OnDaemonGone(DaemonId aDaemon, MonoTime aNow);
  void OnEntryChanged(const EntryKey& aKey, Offset aOffset);
  void UpdatePeerOffsets(const AppliedOffsets& aApplied);
  void MarkEntriesDirty(DaemonId aDaemon);

  void Adopt(MonoTime aNow);
  void StopEnded(const EntryKey& aKey, MonoTime aNow);
  void Stop(const EntryKey& aKey, MonoTime aNow);
  void StopAll(MonoTime aNow);
  DaemonId NextHolder(const EntryKey& aKey) const;
  void NotifyReleased(const EntryKey& aKey, Offset aEnd);

  void EvaluateDirty(MonoTime aNow);
  void Evaluate(const EntryKey& aKey, MonoTime aNow);
  void Start(const EntryKey& aKey,
             FenceToken aToken,
             bool aReleased,
             MonoTime aNow);
  bool HoldsOlderEntry(const EntryKey& aKey, Offset aEntry) const;

  void HandleTickGap(MonoTime aNow);
  void SendSilenceReports(MonoTime aNow);
  void SendRenewals(MonoTime aNow);
  void SendReleaseQueries();
  void FlushHeld(MonoTime aNow);
  void Retry(MonoTime aNow);
  void ContinueLeave(MonoTime aNow);
  void CheckLeaseLost(MonoTime aNow);

  bool IsActive() const { return !left && !m_leaseLost; }
  void Send(DaemonId aTo, ControlMessage aMessage);
  void Append(OwnershipRecord aRecord);

  NodeSettings m_settings;
  RandomEngine m_random;
  internal::Witness m_witness;
  internal::Evidence m_evidence;
  internal::Holdings m_holdings;
  internal::PlannedLeave m_leave;
  internal::Removal m_removal;
  std::set<EntryKey> m_dirty;     ///< To evaluate after the current input.
  std::set<EntryKey> m_retryKeys; ///< To evaluate again after retryInterval.
  std::multimap<Offset, EntryKey> m_unadopted; ///< Changes not adopted yet.
  std::map<DaemonId, std::vector<ReleaseItem>> m_releaseQueries;
  std::vector<HeldEntry> m_unrecorded;
  MonoTime m_flushHeldAt = MonoTime::max();
  MonoTime m_nextRetry = MonoTime::min();
  MonoTime m_lastTick;
  bool m_leaseLost = false;
};

}

#endif
