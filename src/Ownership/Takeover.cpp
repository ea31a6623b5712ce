#include "src/Ownership/Takeover.h"

#include <algorithm>

namespace pistachioshift::internal {

TakeoverRule::TakeoverRule(const OwnershipView& aView,
                           const Evidence& aEvidence,
                           const NodeSettings& aSettings)
  : m_view(aView)
  , m_evidence(aEvidence)
  , m_settings(aSettings)
{
}

Takeover
TakeoverRule::Decide(const EntryKey& aKey, const OwnState& aOwn) const
{
  Takeover takeover;
  const auto* chain = m_view.FindChain(aKey);
  if (chain == nullptr || aOwn.holdsOlder) {
    return takeover;
  }
  const auto& current = chain->Current();
  const auto rank = current.RankOf(aOwn.self);
  // A daemon of higher rank has held it, with evidence against this daemon.
  if (!rank || current.PassOf(*rank) || current.held > rank) {
    return takeover;
  }
  takeover.allowed = EarlierRanksEnded(aKey, current, *rank, takeover) &&
                     OlderEntriesEnded(aKey, *chain, aOwn, takeover);
  return takeover;
}

bool
TakeoverRule::EarlierRanksEnded(const EntryKey& aKey,
                                const Entry& aEntry,
                                Rank aRank,
                                Takeover& aTakeover) const
{
  // Ranks below the recorded holder's had ended before that holder started.
  const auto first = aEntry.held.value_or(Rank());
  for (auto value = first.Value(); value < aRank.Value(); ++value) {
    const auto daemon = aEntry.holders[value];
    const auto pass = aEntry.PassOf(Rank(value));
    if (pass && m_evidence.IsReleased(daemon, aKey, *pass)) {
      continue;
    }
    if (m_evidence.StateOf(m_view, daemon, std::nullopt) ==
        HolderState::kMayHold) {
      if (pass) {
        aTakeover.queries.push_back({ daemon, { aKey, *pass } });
      }
      return false;
    }
    aTakeover.allReleased = false;
  }
  return true;
}

bool
TakeoverRule::OlderEntriesEnded(const EntryKey& aKey,
                                const EntryChain& aChain,
                                const OwnState& aOwn,
                                Takeover& aTakeover) const
{
  const auto& entries = aChain.entries;
  if (entries.size() < 2) {
    return true;
  }
  const bool successor = entries.back().holders.front() != aOwn.self;
  if (m_settings.mutation == Mutation::kForgetOldChain && successor) {
    return true;
  }
  const auto& base = entries.front();
  const size_t firstUnheld = base.held ? 1 : 0;
  for (size_t index = firstUnheld; index + 1 < entries.size(); ++index) {
    // It was replaced without being recorded as held, which replay accepts only
    // once all its holders are gone.
    if (!AllHoldersEnded(entries[index], entries.back().offset, aTakeover)) {
      return false;
    }
  }
  // The base entry ended with the first change after it.
  return !base.held ||
         BaseEnded(aKey, base, entries[1].offset, aOwn, aTakeover);
}

bool
TakeoverRule::AllHoldersEnded(const Entry& aEntry,
                              Offset aChange,
                              Takeover& aTakeover) const
{
  aTakeover.allReleased = false;
  return std::ranges::none_of(aEntry.holders, [&](DaemonId aDaemon) {
    return m_evidence.StateOf(m_view, aDaemon, aChange) ==
           HolderState::kMayHold;
  });
}

bool
TakeoverRule::BaseEnded(const EntryKey& aKey,
                        const Entry& aBase,
                        Offset aChange,
                        const OwnState& aOwn,
                        Takeover& aTakeover) const
{
  bool undecided = false;
  for (size_t value = aBase.held->Value(); value < aBase.holders.size();
       ++value) {
    const Rank rank(static_cast<uint8_t>(value));
    switch (RankState(aKey, aBase, rank, aChange, aOwn, aTakeover)) {
      case HolderState::kMayHold:
        aTakeover.queries.push_back(
          { aBase.holders[value], { aKey, aChange } });
        return false;
      case HolderState::kEndedBeforeChange:
        break;
      case HolderState::kEndedUnknown:
        // A later rank may have proved that this one did not adopt the change.
        undecided = true;
        break;
      case HolderState::kChangeAdopted:
        if (!undecided && !aBase.PassOf(rank)) {
          return true;
        }
        break;
    }
  }
  return true;
}

HolderState
TakeoverRule::RankState(const EntryKey& aKey,
                        const Entry& aEntry,
                        Rank aRank,
                        Offset aChange,
                        const OwnState& aOwn,
                        Takeover& aTakeover) const
{
  const auto daemon = aEntry.holders[aRank.Value()];
  if (daemon == aOwn.self) {
    const bool done = aOwn.adopted >= aChange;
    return done ? HolderState::kChangeAdopted : HolderState::kMayHold;
  }
  if (m_evidence.IsReleased(daemon, aKey, aChange)) {
    return HolderState::kChangeAdopted;
  }
  const auto state = m_evidence.StateOf(m_view, daemon, aChange);
  if (state != HolderState::kMayHold) {
    aTakeover.allReleased = false;
  }
  return state;
}

}
