#ifndef PISTACHIOSHIFT_OWNERSHIP_TAKEOVER_H
#define PISTACHIOSHIFT_OWNERSHIP_TAKEOVER_H

#include <vector>

#include "src/Ownership/Evidence.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

/** \brief This daemon's own state with regard to a key. */
struct OwnState
{
  DaemonId self;
  Offset adopted;
  bool holdsOlder = false; ///< Still holds an older entry of the key.
};

/** \brief A release query to an earlier holder. */
struct HolderQuery
{
  DaemonId daemon;
  ReleaseItem item;
};

/** \brief Whether a daemon may hold the current entry of a key. */
struct Takeover
{
  bool allowed = false;
  bool allReleased = true; ///< All earlier holders reported their release.
  std::vector<HolderQuery> queries; ///< Queries that may allow it sooner.
};

/** \brief Applies rules R4 and R5 to the current entry of a key. */
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
