#ifndef PISTACHIOSHIFT_OWNERSHIP_TAKEOVER_H
#define PISTACHIOSHIFT_OWNERSHIP_TAKEOVER_H

#include <vector>

#include "src/Ownership/Evidence.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

/** \brief What a daemon knows of its own part in a key. */
struct OwnPart
{
  DaemonId self;
  Offset adopted;
  bool holding = false; ///< It still holds an older entry of the key.
};

/** \brief A question to an earlier holder. */
struct Ask
{
  DaemonId daemon;
  ReleaseItem item;
};

/** \brief Whether a daemon may hold the current entry of a key. */
struct Takeover
{
  bool allowed = false;
  bool released = true;  ///< No earlier holder was cut short by its lease.
  std::vector<Ask> asks; ///< What would bring it forward.
};

/** \brief Rules R4 and R5 for the current entry of a key; no side effects. */
class TakeoverRule
{
public:
  TakeoverRule(const OwnershipView& aView,
               const Evidence& aEvidence,
               const NodeSettings& aSettings);

  Takeover Decide(const EntryKey& aKey, const OwnPart& aOwn) const;

private:
  bool EarlierRanksOut(const EntryKey& aKey,
                       const Entry& aEntry,
                       Rank aRank,
                       Takeover& aTakeover) const;
  bool OldChainDone(const EntryKey& aKey,
                    const EntryChain& aChain,
                    const OwnPart& aOwn,
                    Takeover& aTakeover) const;
  bool AllOut(const Entry& aEntry, Offset aChange, Takeover& aTakeover) const;
  bool BaseDone(const EntryKey& aKey,
                const Entry& aBase,
                Offset aChange,
                const OwnPart& aOwn,
                Takeover& aTakeover) const;
  Standing RankStanding(const EntryKey& aKey,
                        const Entry& aEntry,
                        Rank aRank,
                        Offset aChange,
                        const OwnPart& aOwn,
                        Takeover& aTakeover) const;

  const OwnershipView& m_view;
  const Evidence& m_evidence;
  const NodeSettings& m_settings;
};

}

#endif
