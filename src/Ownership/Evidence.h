#ifndef PISTACHIOSHIFT_OWNERSHIP_EVIDENCE_H
#define PISTACHIOSHIFT_OWNERSHIP_EVIDENCE_H

#include <map>
#include <optional>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ownership/Messages.h"
#include "src/Ownership/NodeSettings.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

/** \brief What is known of an earlier holder with regard to a given change. */
enum class HolderState
{
  kMayHold,           ///< It may still hold the entry.
  kEndedBeforeChange, ///< It holds nothing; it did not adopt the change.
  kEndedUnknown,      ///< It holds nothing; it may have adopted the change.
  kChangeAdopted,     ///< It holds nothing; it counts as having adopted it.
};

/** \brief Evidence that other daemons hold entries no longer (R3, R4, R8). */
class Evidence
{
public:
  explicit Evidence(const NodeSettings& aSettings);

  /**
   * \brief Handles a witness's report that a leaseholder is silent.
   * \return witnesses to ask for seals now; empty if too few have reported, if
   *         they were asked just now, or if all seals are known.
   */
  std::vector<DaemonId> OnSilence(const OwnershipView& aView,
                                  DaemonId aWitness,
                                  DaemonId aLeaseholder,
                                  MonoTime aNow);

  void OnSeal(DaemonId aWitness, DaemonId aLeaseholder, Offset aVersion);
  void OnRelease(DaemonId aDaemon, const ReleaseItem& aItem);

  /** \brief Notes a RetireRecord; it takes effect after L(1+drift). */
  void OnRetired(DaemonId aLeaseholder, MonoTime aNow);

  /** \brief Extends the waits that follow a RetireRecord. */
  void ExtendWaits(Duration aBy);

  /** \brief Retired leaseholders whose wait has just ended; each only once. */
  std::vector<DaemonId> OnTick(MonoTime aNow);

  /** \brief Forgets former members that no entry names any more. */
  void Prune(const OwnershipView& aView);

  /** \brief Leaseholders with a seal version in (aBefore, aApplied]. */
  std::vector<DaemonId> CountableSince(Offset aBefore, Offset aApplied) const;

  /** \brief Whether a daemon reported the key released below that offset. */
  bool IsReleased(DaemonId aDaemon, const EntryKey& aKey, Offset aBelow) const;

  /**
   * \brief State by all evidence: seals and records.
   * \param aChange offset of the change; nullopt: only whether it holds.
   */
  HolderState StateOf(const OwnershipView& aView,
                      DaemonId aDaemon,
                      std::optional<Offset> aChange) const;

  /** \brief State by seals alone, as required for a GoneRecord. */
  HolderState SealedState(const OwnershipView& aView,
                          DaemonId aDaemon,
                          std::optional<Offset> aChange) const;

private:
  struct Suspect
  {
    std::map<DaemonId, MonoTime> reportedAt;
    std::map<DaemonId, Offset> seals;
    std::optional<MonoTime> queriedAt;
  };
  struct SealCount
  {
    size_t before = 0;
    size_t after = 0;
  };

  SealCount CountSeals(const Suspect& aSuspect,
                       const WitnessSet& aSet,
                       Offset aChange,
                       Offset aApplied) const;
  HolderState StateFromSeals(const Suspect& aSuspect,
                             const WitnessSet& aSet,
                             std::optional<Offset> aChange,
                             Offset aApplied) const;
  size_t Majority(const WitnessSet& aSet) const;
  bool IsSuspected(const Suspect& aSuspect,
                   const WitnessSets& aSets,
                   MonoTime aNow) const;

  NodeSettings m_settings;
  std::map<DaemonId, Suspect> m_suspects;
  std::map<DaemonId, std::map<EntryKey, Offset>> m_released;
  std::map<DaemonId, MonoTime> m_retired; ///< End of the wait; min(): over.
};

}

#endif
