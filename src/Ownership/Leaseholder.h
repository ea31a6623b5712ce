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

/** \brief Renewals to send now. */
struct Renewals
{
  std::vector<DaemonId> witnesses;
  Renew renew;
};

/**
 * \brief Lease side: renews with witnesses, adopts changes (R2), switches
 *        witness sets (R8).
 *
 * Two grades of lease: the plain one counts every ack, the firm one only
 * those of witnesses that hold a plain lease themselves. Entries are served
 * under the firm one. So a witness that was sealed can't uphold a leaseholder
 * that the log has retired, yet leases come back after all of them lapsed.
 */
class Leaseholder
{
public:
  Leaseholder(DaemonId aSelf, const NodeSettings& aSettings);

  /** \brief Takes over set changes after a record was applied. */
  void Sync(const OwnershipView& aView);

  /** \brief Renews at the next tick, as a change waits for its adoption. */
  void RenewOnNextTick() { m_nextRenewal = MonoTime::min(); }

  std::optional<Renewals> OnTick(Offset aApplied, MonoTime aNow);
  void OnAck(DaemonId aWitness, const RenewAck& aAck, MonoTime aNow);

  MonoTime PlainLeaseEnd() const;
  MonoTime FirmLeaseEnd() const;

  /** \brief Highest offset whose changes may be carried out (R2). */
  Offset Adopted() const { return m_adopted; }

  /** \brief Recomputes Adopted; returns a switch to record, if one was made. */
  std::optional<WitnessSetSwitchedRecord> AdvanceAdopted(Offset aApplied);

  /** \brief A new set to name, if the one in force needs it. */
  std::optional<WitnessSetRecord> ProposeWitnesses(const OwnershipView& aView,
                                                   RandomEngine& aRandom,
                                                   MonoTime aNow);

  /** \brief This incarnation's lease can't come back. */
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
