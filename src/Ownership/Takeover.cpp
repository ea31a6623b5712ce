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
TakeoverRule::Decide(const EntryKey& aKey, const OwnPart& aOwn) const
{
  Takeover takeover;
  const auto* chain = m_view.FindChain(aKey);
  if (chain == nullptr || aOwn.holding) {
    return takeover;
  }
  const auto& current = chain->Current();
  const auto rank = current.RankOf(aOwn.self);
  // A higher rank that held it had proof that this one is out.
  if (!rank || current.PassOf(*rank) || current.held > rank) {
    return takeover;
  }
  takeover.allowed = EarlierRanksOut(aKey, current, *rank, takeover) &&
                     OldChainDone(aKey, *chain, aOwn, takeover);
  return takeover;
}

bool
TakeoverRule::EarlierRanksOut(const EntryKey& aKey,
                              const Entry& aEntry,
                              Rank aRank,
                              Takeover& aTakeover) const
{
  // Ranks below the recorded holder's were proved out before it started.
  const auto first = aEntry.held.value_or(Rank());
  for (auto value = first.Value(); value < aRank.Value(); ++value) {
    const auto daemon = aEntry.holders[value];
    const auto pass = aEntry.PassOf(Rank(value));
    if (pass && m_evidence.IsReleased(daemon, aKey, *pass)) {
      continue;
    }
    if (m_evidence.StandingOf(m_view, daemon, std::nullopt) ==
        Standing::kMayHold) {
      if (pass) {
        aTakeover.asks.push_back({ daemon, { aKey, *pass } });
      }
      return false;
    }
    aTakeover.released = false;
  }
  return true;
}

bool
TakeoverRule::OldChainDone(const EntryKey& aKey,
                           const EntryChain& aChain,
                           const OwnPart& aOwn,
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
    // Replaced without ever being recorded as held: nobody was left for it.
    if (!AllOut(entries[index], entries.back().offset, aTakeover)) {
      return false;
    }
  }
  // The base ended with the first change after it.
  return !base.held || BaseDone(aKey, base, entries[1].offset, aOwn, aTakeover);
}

bool
TakeoverRule::AllOut(const Entry& aEntry,
                     Offset aChange,
                     Takeover& aTakeover) const
{
  aTakeover.released = false;
  return std::ranges::none_of(aEntry.holders, [&](DaemonId aDaemon) {
    return m_evidence.StandingOf(m_view, aDaemon, aChange) ==
           Standing::kMayHold;
  });
}

bool
TakeoverRule::BaseDone(const EntryKey& aKey,
                       const Entry& aBase,
                       Offset aChange,
                       const OwnPart& aOwn,
                       Takeover& aTakeover) const
{
  bool unknown = false;
  for (size_t value = aBase.held->Value(); value < aBase.holders.size();
       ++value) {
    const Rank rank(static_cast<uint8_t>(value));
    switch (RankStanding(aKey, aBase, rank, aChange, aOwn, aTakeover)) {
      case Standing::kMayHold:
        aTakeover.asks.push_back({ aBase.holders[value], { aKey, aChange } });
        return false;
      case Standing::kOutBefore:
        break;
      case Standing::kOutUnknown:
        // Later ranks may know that it didn't carry the change out.
        unknown = true;
        break;
      case Standing::kCarriedOut:
        if (!unknown && !aBase.PassOf(rank)) {
          return true;
        }
        break;
    }
  }
  return true;
}

Standing
TakeoverRule::RankStanding(const EntryKey& aKey,
                           const Entry& aEntry,
                           Rank aRank,
                           Offset aChange,
                           const OwnPart& aOwn,
                           Takeover& aTakeover) const
{
  const auto daemon = aEntry.holders[aRank.Value()];
  if (daemon == aOwn.self) {
    const bool done = aOwn.adopted >= aChange;
    return done ? Standing::kCarriedOut : Standing::kMayHold;
  }
  if (m_evidence.IsReleased(daemon, aKey, aChange)) {
    return Standing::kCarriedOut;
  }
  const auto standing = m_evidence.StandingOf(m_view, daemon, aChange);
  if (standing != Standing::kMayHold) {
    aTakeover.released = false;
  }
  return standing;
}

}
