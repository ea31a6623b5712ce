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

/** \brief What is proved of a daemon relative to a change at some offset. */
enum class HolderState
{
  kMayHold,           ///< Nothing is proved.
  kEndedBeforeChange, ///< It holds nothing, and didn't carry the change out.
  kEndedUnknown,      ///< It holds nothing; whether it did is not known.
  kChangeAdopted,     ///< It carried the change out, or can't but have.
};

/**
 * \brief Evidence collected against other daemons (R3, R4, R8).
 */
class Evidence
{
public:
  explicit Evidence(const NodeSettings& aSettings);

  /**
   * \brief A witness tells of a leaseholder's silence.
   * \return witnesses to ask for seals now; empty: not yet, or all known.
   */
  std::vector<DaemonId> OnSilence(const OwnershipView& aView,
                                  DaemonId aWitness,
                                  DaemonId aLeaseholder,
                                  MonoTime aNow);

  void OnSeal(DaemonId aWitness, DaemonId aLeaseholder, Offset aVersion);
  void OnRelease(DaemonId aDaemon, const ReleaseItem& aItem);

  /** \brief A retire record was read; it counts after L(1+drift). */
  void OnRetired(DaemonId aLeaseholder, MonoTime aNow);

  /** \brief Moves the ends of these waits by that much. */
  void ExtendWaits(Duration aBy);

  /** \brief Retired leaseholders that count as out from now on; told once. */
  std::vector<DaemonId> OnTick(MonoTime aNow);

  /** \brief Forgets daemons that no entry names any more. */
  void Prune(const OwnershipView& aView);

  /** \brief Leaseholders with a seal above the offset before the one applied.
   */
  std::vector<DaemonId> CountableSince(Offset aBefore, Offset aApplied) const;

  /** \brief It said that it released the key below that offset. */
  bool IsReleased(DaemonId aDaemon, const EntryKey& aKey, Offset aBelow) const;

  /** \param aChange the offset of the change; none: of no change. */
  HolderState StateOf(const OwnershipView& aView,
                      DaemonId aDaemon,
                      std::optional<Offset> aChange) const;

  /** \brief By seals alone; what a GoneRecord needs. */
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
  std::map<DaemonId, MonoTime> m_retired; ///< Until when it may hold.
};

}

#endif
