#ifndef PISTACHIOSHIFT_OWNERSHIP_TAKEOVER_H
#define PISTACHIOSHIFT_OWNERSHIP_TAKEOVER_H

#include <vector>

#include "src/Ownership/Evidence.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

/** \brief What a daemon knows of its own part in a key. */
struct OwnState
{
  DaemonId self;
  Offset adopted;
  bool holdsOlder = false; ///< It still holds an older entry of the key.
};

/** \brief A question to an earlier holder. */
struct HolderQuery
{
  DaemonId daemon;
  ReleaseItem item;
};

/** \brief Whether a daemon may hold the current entry of a key. */
struct Takeover
{
  bool allowed = false;
  bool allReleased = true; ///< No earlier holder was cut short by its lease.
  std::vector<HolderQuery> queries; ///< What would bring it forward.
};

/** \brief Rules R4 and R5 for the current entry of a key; no side effects. */
class TakeoverRule
{
public:
  TakeoverRule(const OwnershipView& aView,
               const Evidence& aEvidence,
               const NodeSettings& aSettings);

  Takeover Decide(const EntryKey& aKey, const OwnState& aOwn) const;

private:
  bool EarlierRanksEnded(const EntryKey& aKey,
                         const Entry& aEntry,
                         Rank aRank,
                         Takeover& aTakeover) const;
  bool OlderEntriesEnded(const EntryKey& aKey,
                         const EntryChain& aChain,
                         const OwnState& aOwn,
                         Takeover& aTakeover) const;
  bool AllHoldersEnded(const Entry& aEntry,
                       Offset aChange,
                       Takeover& aTakeover) const;
  bool BaseEnded(const EntryKey& aKey,
                 const Entry& aBase,
                 Offset aChange,
                 const OwnState& aOwn,
                 Takeover& aTakeover) const;
  HolderState RankState(const EntryKey& aKey,
                        const Entry& aEntry,
                        Rank aRank,
                        Offset aChange,
                        const OwnState& aOwn,
                        Takeover& aTakeover) const;

  const OwnershipView& m_view;
  const Evidence& m_evidence;
  const NodeSettings& m_settings;
};

}

#endif
