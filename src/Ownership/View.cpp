#include "src/Ownership/View.h"

#include <algorithm>

namespace pistachioshift {

namespace {

template<class Map, class Key>
const Map::mapped_type*
Find(const Map& aMap, const Key& aKey)
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? nullptr : &found->second;
}

void
AddCandidates(const Entry& aEntry,
              size_t aFirstRank,
              std::vector<DaemonId>& aCandidates)
{
  for (size_t rank = aFirstRank; rank < aEntry.holders.size(); ++rank) {
    const auto daemon = aEntry.holders[rank];
    const bool listed = std::ranges::count(aCandidates, daemon) > 0;
    if (!listed && !aEntry.PassOf(Rank(static_cast<uint8_t>(rank)))) {
      aCandidates.push_back(daemon);
    }
  }
}

}

const char*
ToString(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kOldOffset:
      return "old-offset";
    case Refusal::kUnknownDaemon:
      return "unknown-daemon";
    case Refusal::kDaemonGone:
      return "daemon-gone";
    case Refusal::kNotPlanner:
      return "not-planner";
    case Refusal::kTermChanged:
      return "term-changed";
    case Refusal::kNoSuchEntry:
      return "no-such-entry";
    case Refusal::kBaseNotCurrent:
      return "base-not-current";
    case Refusal::kBaseNotHeld:
      return "base-not-held";
    case Refusal::kBadSuccession:
      return "bad-succession";
    case Refusal::kNotInSuccession:
      return "not-in-succession";
    case Refusal::kSetChanged:
      return "set-changed";
    case Refusal::kBadWitnesses:
      return "bad-guardians";
    case Refusal::kWitnessesRemain:
      return "guardians-remain";
    case Refusal::kNotAlike:
      return "not-alike";
  }
  return "unknown";
}

std::optional<Rank>
Entry::RankOf(DaemonId aDaemon) const
{
  const auto found = std::ranges::find(holders, aDaemon);
  if (found == holders.end()) {
    return std::nullopt;
  }
  return Rank(static_cast<uint8_t>(found - holders.begin()));
}

std::optional<Offset>
Entry::PassOf(Rank aRank) const
{
  for (const auto& pass : passes) {
    if (pass.rank == aRank) {
      return pass.at;
    }
  }
  return std::nullopt;
}

bool
WitnessSet::Contains(DaemonId aDaemon) const
{
  return std::ranges::count(witnesses, aDaemon) > 0;
}

size_t
WitnessSet::Majority() const
{
  return witnesses.empty() ? 0 : witnesses.size() / 2 + 1;
}

const Member*
OwnershipView::FindMember(DaemonId aDaemon) const
{
  return Find(m_members, aDaemon);
}

const GoneDaemon*
OwnershipView::FindGone(DaemonId aDaemon) const
{
  return Find(m_gone, aDaemon);
}

const EntryChain*
OwnershipView::FindChain(const EntryKey& aKey) const
{
  return Find(m_entries, aKey);
}

const WitnessSets*
OwnershipView::FindWitnesses(DaemonId aLeaseholder) const
{
  return Find(m_witnesses, aLeaseholder);
}

const std::set<EntryKey>&
OwnershipView::EntriesOf(DaemonId aDaemon) const
{
  static const std::set<EntryKey> kEmpty;
  const auto* found = Find(m_byDaemon, aDaemon);
  return found == nullptr ? kEmpty : *found;
}

const std::set<DaemonId>&
OwnershipView::LeaseholdersOf(DaemonId aWitness) const
{
  static const std::set<DaemonId> kEmpty;
  const auto* found = Find(m_leaseholders, aWitness);
  return found == nullptr ? kEmpty : *found;
}

EntryKey
OwnershipView::Resolve(const ServiceName& aService,
                       RangeIndex aRange,
                       const std::string& aKey) const
{
  EntryKey key{ aService, aRange, aKey };
  if (!m_entries.contains(key)) {
    key.pinnedKey.clear();
  }
  return key;
}

std::vector<DaemonId>
OwnershipView::Route(const EntryKey& aKey) const
{
  std::vector<DaemonId> candidates;
  const auto* chain = FindChain(aKey);
  if (chain == nullptr) {
    return candidates;
  }
  const auto& oldest = chain->entries.front();
  if (oldest.held) {
    candidates.push_back(oldest.holders[oldest.held->Value()]);
  }
  // Successors take over only the current entry, so its holders come first.
  for (size_t left = chain->entries.size(); left > 0; --left) {
    const auto& entry = chain->entries[left - 1];
    AddCandidates(entry, entry.held.value_or(Rank()).Value(), candidates);
  }
  std::erase_if(candidates, [this](DaemonId aDaemon) {
    return !m_members.contains(aDaemon);
  });
  return candidates;
}

void
OwnershipView::Store(const EntryKey& aKey, EntryChain aChain)
{
  Erase(aKey);
  for (const auto& entry : aChain.entries) {
    for (const auto daemon : entry.holders) {
      m_byDaemon[daemon].insert(aKey);
    }
  }
  m_entries[aKey] = std::move(aChain);
}

void
OwnershipView::Erase(const EntryKey& aKey)
{
  const auto found = m_entries.find(aKey);
  if (found == m_entries.end()) {
    return;
  }
  for (const auto& entry : found->second.entries) {
    for (const auto daemon : entry.holders) {
      auto indexed = m_byDaemon.find(daemon);
      if (indexed == m_byDaemon.end()) {
        continue;
      }
      indexed->second.erase(aKey);
      if (indexed->second.empty()) {
        m_byDaemon.erase(indexed);
      }
    }
  }
  m_entries.erase(found);
}

void
OwnershipView::IndexWitnesses(DaemonId aLeaseholder, bool aAdd)
{
  const auto* sets = FindWitnesses(aLeaseholder);
  if (sets == nullptr) {
    return;
  }
  auto witnesses = sets->current.witnesses;
  if (sets->pending) {
    witnesses.insert(witnesses.end(),
                     sets->pending->witnesses.begin(),
                     sets->pending->witnesses.end());
  }
  for (const auto witness : witnesses) {
    if (aAdd) {
      m_leaseholders[witness].insert(aLeaseholder);
      continue;
    }
    const auto indexed = m_leaseholders.find(witness);
    if (indexed == m_leaseholders.end()) {
      continue;
    }
    indexed->second.erase(aLeaseholder);
    if (indexed->second.empty()) {
      m_leaseholders.erase(indexed);
    }
  }
}

OwnershipSnapshot
OwnershipView::Snapshot() const
{
  OwnershipSnapshot snapshot;
  snapshot.applied = m_applied;
  snapshot.term = m_term;
  for (const auto& [id, member] : m_members) {
    snapshot.members.push_back(member);
  }
  for (const auto& [id, gone] : m_gone) {
    snapshot.gone.push_back({ id, gone });
  }
  for (const auto& [leaseholder, sets] : m_witnesses) {
    snapshot.witnesses.push_back({ leaseholder, sets });
  }
  for (const auto& [key, chain] : m_entries) {
    snapshot.entries.push_back({ key, chain });
  }
  return snapshot;
}

OwnershipView
OwnershipView::FromSnapshot(const OwnershipSnapshot& aSnapshot)
{
  OwnershipView view;
  view.m_applied = aSnapshot.applied;
  view.m_term = aSnapshot.term;
  for (const auto& member : aSnapshot.members) {
    view.m_members[member.id] = member;
  }
  for (const auto& keyed : aSnapshot.gone) {
    view.m_gone[keyed.daemon] = keyed.gone;
  }
  for (const auto& keyed : aSnapshot.witnesses) {
    view.m_witnesses[keyed.leaseholder] = keyed.sets;
    view.IndexWitnesses(keyed.leaseholder, true);
  }
  for (const auto& keyed : aSnapshot.entries) {
    view.Store(keyed.key, keyed.chain);
  }
  return view;
}

}
