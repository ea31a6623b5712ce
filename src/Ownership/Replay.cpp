#include <algorithm>

#include "src/Ownership/View.h"

namespace pistachioshift {

namespace {

template<class T>
bool
HasRepeats(std::vector<T> aValues)
{
  std::ranges::sort(aValues);
  return std::ranges::adjacent_find(aValues) != aValues.end();
}

void
AddResult(Refusal aRefusal, const EntryKey& aKey, Verdict& aVerdict)
{
  if (aRefusal == Refusal::kNone) {
    aVerdict.changed.push_back(aKey);
  } else if (aVerdict.refusal == Refusal::kNone) {
    aVerdict.refusal = aRefusal;
  }
}

Verdict
Refused(Refusal aRefusal)
{
  return Verdict{ aRefusal, {} };
}

}

Verdict
OwnershipView::Apply(Offset aOffset, const OwnershipRecord& aRecord)
{
  if (aOffset <= m_applied) {
    return Refused(Refusal::kOldOffset);
  }
  m_applied = aOffset;
  return std::visit([&](const auto& aTyped) { return Replay(aOffset, aTyped); },
                    aRecord);
}

Verdict
OwnershipView::Replay(Offset aOffset, const JoinRecord& aRecord)
{
  if (aRecord.previous && m_members.contains(*aRecord.previous)) {
    Remove(*aRecord.previous, aOffset, GoneCause::kLeft);
  }
  const DaemonId id(aOffset.Value());
  m_members[id] = Member{ id, aRecord, std::nullopt };
  return {};
}

Verdict
OwnershipView::Replay(Offset aOffset, const LeavingRecord& aRecord)
{
  const auto refusal = CheckMember(aRecord.daemon);
  if (refusal != Refusal::kNone) {
    return Refused(refusal);
  }
  auto& leaving = m_members[aRecord.daemon].leaving;
  leaving = leaving.value_or(aOffset);
  return {};
}

Verdict
OwnershipView::Replay(Offset aOffset, const GoneRecord& aRecord)
{
  for (const auto daemon : { aRecord.daemon, aRecord.by }) {
    const auto refusal = CheckMember(daemon);
    if (refusal != Refusal::kNone) {
      return Refused(refusal);
    }
  }
  const bool selfReported = aRecord.cause == GoneCause::kLeft;
  const bool bySelf = aRecord.daemon == aRecord.by;
  if (aRecord.cause == GoneCause::kRetired || selfReported != bySelf) {
    return Refused(Refusal::kUnknownDaemon);
  }
  Remove(aRecord.daemon, aOffset, aRecord.cause);
  return {};
}

Verdict
OwnershipView::Replay(Offset aOffset, const PlannerTermRecord& aRecord)
{
  const auto refusal = CheckMember(aRecord.planner);
  if (refusal != Refusal::kNone) {
    return Refused(refusal);
  }
  if (aRecord.replaces != m_term.term) {
    return Refused(Refusal::kTermChanged);
  }
  m_term = PlannerTerm{ aOffset, aRecord.planner };
  return {};
}

Verdict
OwnershipView::Replay(Offset aOffset, const AssignRecord& aRecord)
{
  Verdict verdict{ CheckPlanner(aRecord.term, aRecord.planner), {} };
  if (!verdict.Accepted()) {
    return verdict;
  }
  for (const auto& assignment : aRecord.assignments) {
    AddResult(Assign(aOffset, assignment), assignment.key, verdict);
  }
  return verdict;
}

Verdict
OwnershipView::Replay(Offset /*aOffset*/, const PinRecord& aRecord)
{
  Verdict verdict{ CheckPlanner(aRecord.term, aRecord.planner), {} };
  if (!verdict.Accepted()) {
    return verdict;
  }
  for (const auto& key : aRecord.keys) {
    AddResult(Pin(key), key, verdict);
  }
  return verdict;
}

Verdict
OwnershipView::Replay(Offset aOffset, const UnpinRecord& aRecord)
{
  Verdict verdict{ CheckPlanner(aRecord.term, aRecord.planner), {} };
  if (!verdict.Accepted()) {
    return verdict;
  }
  for (const auto& key : aRecord.keys) {
    const auto refusal = Unpin(aOffset, key);
    AddResult(refusal, key, verdict);
    if (refusal == Refusal::kNone) {
      verdict.changed.push_back(EntryKey{ key.service, key.range, {} });
    }
  }
  return verdict;
}

Verdict
OwnershipView::Replay(Offset /*aOffset*/, const HeldRecord& aRecord)
{
  Verdict verdict{ CheckMember(aRecord.daemon), {} };
  if (!verdict.Accepted()) {
    return verdict;
  }
  for (const auto& held : aRecord.entries) {
    AddResult(Hold(aRecord.daemon, held), held.key, verdict);
  }
  return verdict;
}

Verdict
OwnershipView::Replay(Offset aOffset, const WitnessSetRecord& aRecord)
{
  const auto refusal = CheckMember(aRecord.leaseholder);
  if (refusal != Refusal::kNone) {
    return Refused(refusal);
  }
  const auto& witnesses = aRecord.witnesses;
  const bool lone = witnesses.empty() && m_members.size() > 1;
  const bool own = std::ranges::count(witnesses, aRecord.leaseholder) > 0;
  const bool nonMembers =
    std::ranges::any_of(witnesses, [this](DaemonId aDaemon) {
      return !m_members.contains(aDaemon);
    });
  if (lone || own || nonMembers || witnesses.size() > kWitnesses ||
      HasRepeats(witnesses)) {
    return Refused(Refusal::kBadWitnesses);
  }
  const auto found = m_witnesses.find(aRecord.leaseholder);
  const WitnessSet set{ aOffset, witnesses };
  if (found == m_witnesses.end()) {
    if (aRecord.base != Offset()) {
      return Refused(Refusal::kSetChanged);
    }
    m_witnesses[aRecord.leaseholder] = WitnessSets{ set, std::nullopt };
    IndexWitnesses(aRecord.leaseholder, true);
    return {};
  }
  auto& sets = found->second;
  if (sets.pending || sets.current.offset != aRecord.base) {
    return Refused(Refusal::kSetChanged);
  }
  sets.pending = set;
  IndexWitnesses(aRecord.leaseholder, true);
  return {};
}

Verdict
OwnershipView::Replay(Offset /*aOffset*/,
                      const WitnessSetSwitchedRecord& aRecord)
{
  const auto refusal = CheckMember(aRecord.leaseholder);
  if (refusal != Refusal::kNone) {
    return Refused(refusal);
  }
  const auto found = m_witnesses.find(aRecord.leaseholder);
  if (found == m_witnesses.end() || !found->second.pending ||
      found->second.pending->offset != aRecord.set) {
    return Refused(Refusal::kSetChanged);
  }
  IndexWitnesses(aRecord.leaseholder, false);
  found->second = WitnessSets{ *found->second.pending, std::nullopt };
  IndexWitnesses(aRecord.leaseholder, true);
  return {};
}

Verdict
OwnershipView::Replay(Offset aOffset, const PassRecord& aRecord)
{
  Verdict verdict{ CheckMember(aRecord.daemon), {} };
  if (!verdict.Accepted()) {
    return verdict;
  }
  for (const auto& passed : aRecord.entries) {
    AddResult(Pass(aOffset, aRecord.daemon, passed), passed.key, verdict);
  }
  return verdict;
}

Verdict
OwnershipView::Replay(Offset aOffset, const RetireRecord& aRecord)
{
  const auto refusal = CheckMember(aRecord.leaseholder);
  if (refusal != Refusal::kNone) {
    return Refused(refusal);
  }
  const auto* sets = FindWitnesses(aRecord.leaseholder);
  if (sets == nullptr || sets->current.offset != aRecord.set) {
    return Refused(Refusal::kSetChanged);
  }
  if (!IsRetirable(aRecord.leaseholder)) {
    return Refused(Refusal::kWitnessesRemain);
  }
  Remove(aRecord.leaseholder, aOffset, GoneCause::kRetired);
  return {};
}

bool
OwnershipView::IsRetirable(DaemonId aLeaseholder) const
{
  const auto* sets = FindWitnesses(aLeaseholder);
  return m_members.contains(aLeaseholder) && sets != nullptr &&
         HasLostMajority(sets->current) &&
         (!sets->pending || HasLostMajority(*sets->pending));
}

bool
OwnershipView::HasLostMajority(const WitnessSet& aSet) const
{
  // A retired witness may still ack renewals for a while after its record.
  const auto lost =
    std::ranges::count_if(aSet.witnesses, [this](DaemonId aDaemon) {
      const auto* gone = FindGone(aDaemon);
      return gone != nullptr && gone->cause != GoneCause::kRetired;
    });
  return lost > 0 && static_cast<size_t>(lost) >= aSet.Majority();
}

Refusal
OwnershipView::CheckMember(DaemonId aDaemon) const
{
  if (m_members.contains(aDaemon)) {
    return Refusal::kNone;
  }
  return m_gone.contains(aDaemon) ? Refusal::kDaemonGone
                                  : Refusal::kUnknownDaemon;
}

Refusal
OwnershipView::CheckPlanner(Offset aTerm, DaemonId aPlanner) const
{
  if (m_term.term != aTerm || m_term.planner != aPlanner) {
    return Refusal::kNotPlanner;
  }
  return CheckMember(aPlanner);
}

Refusal
OwnershipView::CheckSuccession(const Assignment& aAssignment) const
{
  auto holders = aAssignment.successors;
  holders.push_back(aAssignment.owner);
  if (holders.size() > kMaxSuccessors + 1 || HasRepeats(holders)) {
    return Refusal::kBadSuccession;
  }
  for (const auto daemon : holders) {
    const auto refusal = CheckMember(daemon);
    if (refusal != Refusal::kNone) {
      return refusal;
    }
    const auto& member = m_members.at(daemon);
    const auto& services = member.join.services;
    if (member.leaving ||
        std::ranges::count(services, aAssignment.key.service) == 0) {
      return Refusal::kBadSuccession;
    }
  }
  return Refusal::kNone;
}

Refusal
OwnershipView::CheckBase(const Assignment& aAssignment) const
{
  const auto* chain = FindChain(aAssignment.key);
  if (chain == nullptr) {
    // The first entry of a pinned key comes from its range, by a PinRecord.
    const bool first = !aAssignment.base && aAssignment.key.pinnedKey.empty();
    return first ? Refusal::kNone : Refusal::kNoSuchEntry;
  }
  if (aAssignment.base != chain->Current().offset) {
    return Refusal::kBaseNotCurrent;
  }
  // An entry never recorded as held is replaceable once its holders are gone.
  const bool replaceable =
    chain->Current().held ||
    std::ranges::all_of(chain->entries, [this](const Entry& aEntry) {
      return aEntry.held || AllHoldersGone(aEntry);
    });
  return replaceable ? Refusal::kNone : Refusal::kBaseNotHeld;
}

Refusal
OwnershipView::Assign(Offset aOffset, const Assignment& aAssignment)
{
  auto refusal = CheckSuccession(aAssignment);
  if (refusal == Refusal::kNone) {
    refusal = CheckBase(aAssignment);
  }
  if (refusal != Refusal::kNone) {
    return refusal;
  }
  Entry entry{ aOffset, { aAssignment.owner }, std::nullopt, {} };
  entry.holders.insert(entry.holders.end(),
                       aAssignment.successors.begin(),
                       aAssignment.successors.end());
  const auto* old = FindChain(aAssignment.key);
  EntryChain chain = old == nullptr ? EntryChain() : *old;
  chain.entries.push_back(std::move(entry));
  Store(aAssignment.key, std::move(chain));
  return Refusal::kNone;
}

Refusal
OwnershipView::Pin(const EntryKey& aKey)
{
  const auto* range =
    FindChain(EntryKey{ aKey.service, aKey.range, std::string() });
  if (range == nullptr || aKey.pinnedKey.empty() || m_entries.contains(aKey)) {
    return Refusal::kNoSuchEntry;
  }
  // The pin starts as a copy of the range: same holder and successors.
  Store(aKey, EntryChain(*range));
  return Refusal::kNone;
}

Refusal
OwnershipView::Unpin(Offset aOffset, const EntryKey& aKey)
{
  const EntryKey rangeKey{ aKey.service, aKey.range, std::string() };
  const auto* pin = FindChain(aKey);
  const auto* range = FindChain(rangeKey);
  if (pin == nullptr || range == nullptr || aKey.pinnedKey.empty()) {
    return Refusal::kNoSuchEntry;
  }
  const auto settled = [](const EntryChain& aChain) {
    const auto& current = aChain.Current();
    return aChain.entries.size() == 1 && current.held && current.passes.empty();
  };
  if (!settled(*pin) || !settled(*range) ||
      pin->Current().holders != range->Current().holders ||
      pin->Current().held != range->Current().held) {
    return Refusal::kNotAlike;
  }
  EntryChain chain = *range;
  chain.entries.push_back(
    Entry{ aOffset, range->Current().holders, std::nullopt, {} });
  Erase(aKey);
  Store(rangeKey, std::move(chain));
  return Refusal::kNone;
}

Refusal
OwnershipView::Hold(DaemonId aDaemon, const HeldEntry& aHeld)
{
  auto* entry = FindEntry(aHeld.key, aHeld.entry);
  if (entry == nullptr) {
    return Refusal::kNoSuchEntry;
  }
  if (entry->RankOf(aDaemon) != aHeld.rank) {
    return Refusal::kNotInSuccession;
  }
  // Two holders' records may arrive in either order; the higher rank is newer.
  entry->held = std::max(entry->held.value_or(Rank()), aHeld.rank);
  EntryChain chain = m_entries.at(aHeld.key);
  std::erase_if(chain.entries, [&](const Entry& aEntry) {
    return aEntry.offset < aHeld.entry;
  });
  Store(aHeld.key, std::move(chain));
  return Refusal::kNone;
}

Refusal
OwnershipView::Pass(Offset aOffset,
                    DaemonId aDaemon,
                    const PassedEntry& aPassed)
{
  auto* entry = FindEntry(aPassed.key, aPassed.entry);
  if (entry == nullptr) {
    return Refusal::kNoSuchEntry;
  }
  if (*entry != m_entries.at(aPassed.key).Current()) {
    return Refusal::kBaseNotCurrent;
  }
  const auto rank = entry->RankOf(aDaemon);
  if (!rank || entry->PassOf(*rank)) {
    return Refusal::kNotInSuccession;
  }
  entry->passes.push_back(PassedRank{ *rank, aOffset });
  return Refusal::kNone;
}

Entry*
OwnershipView::FindEntry(const EntryKey& aKey, Offset aEntry)
{
  const auto chain = m_entries.find(aKey);
  if (chain == m_entries.end()) {
    return nullptr;
  }
  auto& entries = chain->second.entries;
  const auto found = std::ranges::find(entries, aEntry, &Entry::offset);
  return found == entries.end() ? nullptr : &*found;
}

bool
OwnershipView::NeedsHolder(const EntryKey& aKey) const
{
  const auto* chain = FindChain(aKey);
  return chain != nullptr && AllHoldersGone(chain->Current());
}

bool
OwnershipView::AllHoldersGone(const Entry& aEntry) const
{
  return std::ranges::none_of(aEntry.holders, [this](DaemonId aDaemon) {
    return m_members.contains(aDaemon);
  });
}

void
OwnershipView::Remove(DaemonId aDaemon, Offset aOffset, GoneCause aCause)
{
  m_members.erase(aDaemon);
  m_gone[aDaemon] = GoneDaemon{ aOffset, aCause };
}

}
