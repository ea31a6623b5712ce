#ifndef PISTACHIOSHIFT_OWNERSHIP_LEASEHOLDER_H
#define PISTACHIOSHIFT_OWNERSHIP_LEASEHOLDER_H

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Random.h"
#include "src/Ownership/Messages.h"
#include "src/Ownership/NodeSettings.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

/** \brief A renewal and the witnesses to send it to. */
struct Renewals
{
  std::vector<DaemonId> witnesses;
  Renew renew;
};

/**
 * \brief This daemon's own lease: renews it, adopts changes (R2), switches
 *        witness sets (R8).
 *
 * Each daemon has two leases. The plain lease counts every ack; the firm lease
 * counts only acks of witnesses that hold a plain lease themselves. Entries are
 * served under the firm lease, so a sealed witness can't keep alive a
 * leaseholder that the log has retired. The plain lease lets all daemons get
 * leases again after all leases have expired.
 */
class Leaseholder
{
public:
  Leaseholder(DaemonId aSelf, const NodeSettings& aSettings);

  /** \brief Reads the witness sets after a record was applied. */
  void Sync(const OwnershipView& aView);

  /** \brief Renews at the next tick, so that a change is adopted sooner. */
  void RenewOnNextTick() { m_nextRenewal = MonoTime::min(); }

  std::optional<Renewals> OnTick(Offset aApplied, MonoTime aNow);
  void OnAck(DaemonId aWitness, const RenewAck& aAck, MonoTime aNow);

  MonoTime PlainLeaseEnd() const;
  MonoTime FirmLeaseEnd() const;

  /** \brief Highest offset up to which changes are adopted (R2). */
  Offset Adopted() const { return m_adopted; }

  /** \brief Updates Adopted(); returns a record if it switched witness sets. */
  std::optional<WitnessSetSwitchedRecord> AdvanceAdopted(Offset aApplied);

  /** \brief A new witness set, if the current one needs replacing. */
  std::optional<WitnessSetRecord> ProposeWitnesses(const OwnershipView& aView,
                                                   RandomEngine& aRandom,
                                                   MonoTime aNow);

  /** \brief Whether this incarnation can never get its lease back. */
  bool IsLeaseLost(const OwnershipView& aView) const;

private:
  struct WitnessState
  {
    MonoTime plain = MonoTime::min();
    MonoTime firm = MonoTime::min();
    MonoTime lastAck = MonoTime::min();
    Offset version;
    bool sealed = false;
  };
  struct SentRenewal
  {
    uint64_t sequence = 0;
    MonoTime at;
  };

  MonoTime LeaseEnd(MonoTime WitnessState::*aGrade) const;
  Offset AckedVersion(const WitnessSet& aSet) const;
  bool NeedsReplacing(const OwnershipView& aView,
                      DaemonId aWitness,
                      MonoTime aNow) const;

  DaemonId m_self;
  NodeSettings m_settings;
  std::optional<WitnessSet> m_current;
  std::optional<WitnessSet> m_pending;
  std::map<DaemonId, WitnessState> m_witnessStates;
  std::deque<SentRenewal> m_sent;
  uint64_t m_sequence = 0;
  MonoTime m_nextRenewal = MonoTime::min();
  MonoTime m_nextProposal = MonoTime::min();
  Offset m_adopted;
};

}

#endif
