#include "src/Ownership/Evidence.h"

#include <algorithm>

namespace pistachioshift::internal {

namespace {

// An older report says nothing about the present: the silence may be over.
constexpr Duration kReportValidity = std::chrono::milliseconds(400);

}

Evidence::Evidence(const NodeSettings& aSettings)
  : m_settings(aSettings)
{
}

std::vector<DaemonId>
Evidence::OnSilence(const OwnershipView& aView,
                    DaemonId aWitness,
                    DaemonId aLeaseholder,
                    MonoTime aNow)
{
  const auto* sets = aView.FindWitnesses(aLeaseholder);
  if (sets == nullptr) {
    return {};
  }
  auto& suspect = m_suspects[aLeaseholder];
  suspect.reportedAt[aWitness] = aNow;
  const bool waiting = suspect.queriedAt &&
                       aNow - *suspect.queriedAt < m_settings.retryInterval / 2;
  if (waiting || !IsSuspected(suspect, *sets, aNow)) {
    return {};
  }
  auto witnesses = sets->current.witnesses;
  if (sets->pending) {
    const auto& pending = sets->pending->witnesses;
    witnesses.insert(witnesses.end(), pending.begin(), pending.end());
  }
  std::ranges::sort(witnesses);
  witnesses.erase(std::unique(witnesses.begin(), witnesses.end()),
                  witnesses.end());
  std::erase_if(witnesses, [&](DaemonId aDaemon) {
    return suspect.seals.contains(aDaemon);
  });
  suspect.queriedAt = aNow;
  return witnesses;
}

bool
Evidence::IsSuspected(const Suspect& aSuspect,
                      const WitnessSets& aSets,
                      MonoTime aNow) const
{
  const auto reporters = [&](const WitnessSet& aSet) {
    return std::ranges::count_if(aSet.witnesses, [&](DaemonId aWitness) {
      const auto reportedAt = aSuspect.reportedAt.find(aWitness);
      return aSuspect.seals.contains(aWitness) ||
             (reportedAt != aSuspect.reportedAt.end() &&
              aNow - reportedAt->second <= kReportValidity);
    });
  };
  const auto enough = [&](const WitnessSet& aSet) {
    const auto count = static_cast<size_t>(reporters(aSet));
    return count > 0 && count >= Majority(aSet);
  };
  return enough(aSets.current) || (aSets.pending && enough(*aSets.pending));
}

void
Evidence::OnSeal(DaemonId aWitness, DaemonId aLeaseholder, Offset aVersion)
{
  m_suspects[aLeaseholder].seals.emplace(aWitness, aVersion);
}

void
Evidence::OnRelease(DaemonId aDaemon, const ReleaseItem& aItem)
{
  auto& below = m_released[aDaemon][aItem.key];
  below = std::max(below, aItem.below);
}

void
Evidence::OnRetired(DaemonId aLeaseholder, MonoTime aNow)
{
  const bool wait = m_settings.mutation != Mutation::kRetireAtOnce;
  const auto silence = wait ? m_settings.SealTimeout() : Duration();
  m_retired.emplace(aLeaseholder, aNow + silence);
}

void
Evidence::ExtendWaits(Duration aBy)
{
  for (auto& [leaseholder, until] : m_retired) {
    if (until != MonoTime::min()) {
      until += aBy;
    }
  }
}

std::vector<DaemonId>
Evidence::OnTick(MonoTime aNow)
{
  std::vector<DaemonId> out;
  for (auto& [leaseholder, until] : m_retired) {
    if (until != MonoTime::min() && aNow > until) {
      until = MonoTime::min();
      out.push_back(leaseholder);
    }
  }
  return out;
}

void
Evidence::Prune(const OwnershipView& aView)
{
  const auto obsolete = [&](const auto& aItem) {
    return aView.FindMember(aItem.first) == nullptr &&
           aView.EntriesOf(aItem.first).empty();
  };
  std::erase_if(m_suspects, obsolete);
  std::erase_if(m_released, obsolete);
}

std::vector<DaemonId>
Evidence::CountableSince(Offset aBefore, Offset aApplied) const
{
  std::vector<DaemonId> leaseholders;
  for (const auto& [leaseholder, suspect] : m_suspects) {
    const bool countable = std::ranges::any_of(suspect.seals, [&](auto& aSeal) {
      return aSeal.second > aBefore && aSeal.second <= aApplied;
    });
    if (countable) {
      leaseholders.push_back(leaseholder);
    }
  }
  return leaseholders;
}

bool
Evidence::IsReleased(DaemonId aDaemon,
                     const EntryKey& aKey,
                     Offset aBelow) const
{
  const auto daemon = m_released.find(aDaemon);
  if (daemon == m_released.end()) {
    return false;
  }
  const auto key = daemon->second.find(aKey);
  return key != daemon->second.end() && key->second >= aBelow;
}

HolderState
Evidence::StateOf(const OwnershipView& aView,
                  DaemonId aDaemon,
                  std::optional<Offset> aChange) const
{
  const auto sealed = SealedState(aView, aDaemon, aChange);
  if (sealed != HolderState::kMayHold) {
    return sealed;
  }
  const auto* gone = aView.FindGone(aDaemon);
  if (gone == nullptr) {
    return HolderState::kMayHold;
  }
  if (gone->cause == GoneCause::kRetired) {
    const auto retired = m_retired.find(aDaemon);
    // For a record loaded from a checkpoint the wait starts when the Node does,
    // as the time at which it was first read is not known.
    if (retired == m_retired.end() || retired->second != MonoTime::min()) {
      return HolderState::kMayHold;
    }
  }
  // A daemon recorded as gone before the change can't have adopted it.
  const bool before = !aChange || gone->at < *aChange;
  return before ? HolderState::kEndedBeforeChange : HolderState::kEndedUnknown;
}

HolderState
Evidence::SealedState(const OwnershipView& aView,
                      DaemonId aDaemon,
                      std::optional<Offset> aChange) const
{
  const auto found = m_suspects.find(aDaemon);
  const auto* sets = aView.FindWitnesses(aDaemon);
  if (found == m_suspects.end() || sets == nullptr) {
    return HolderState::kMayHold;
  }
  const auto& suspect = found->second;
  const auto applied = aView.Applied();
  if (!sets->pending) {
    return StateFromSeals(suspect, sets->current, aChange, applied);
  }
  // Until the switch is recorded, the lease may depend on either set (R2).
  const auto seals =
    CountSeals(suspect, sets->current, sets->pending->offset, applied);
  const auto majority = Majority(sets->current);
  if (majority > 0 && seals.before >= majority) {
    return StateFromSeals(suspect, sets->current, aChange, applied);
  }
  if (majority > 0 && seals.after >= majority) {
    if (m_settings.mutation == Mutation::kFirstSetAlone) {
      return StateFromSeals(suspect, sets->current, aChange, applied);
    }
    return StateFromSeals(suspect, *sets->pending, aChange, applied);
  }
  return HolderState::kMayHold;
}

Evidence::SealCount
Evidence::CountSeals(const Suspect& aSuspect,
                     const WitnessSet& aSet,
                     Offset aChange,
                     Offset aApplied) const
{
  SealCount seals;
  for (const auto witness : aSet.witnesses) {
    const auto seal = aSuspect.seals.find(witness);
    if (seal == aSuspect.seals.end()) {
      continue;
    }
    // A witness's version starts at the offset of the set that named it.
    const auto version = std::max(seal->second, aSet.offset);
    if (version > aApplied && m_settings.mutation != Mutation::kNoCatchUp) {
      continue;
    }
    const bool ignore = m_settings.mutation == Mutation::kIgnoreVersion;
    ++(ignore || version < aChange ? seals.before : seals.after);
  }
  return seals;
}

HolderState
Evidence::StateFromSeals(const Suspect& aSuspect,
                         const WitnessSet& aSet,
                         std::optional<Offset> aChange,
                         Offset aApplied) const
{
  const Offset never(INT64_MAX);
  const auto seals =
    CountSeals(aSuspect, aSet, aChange.value_or(never), aApplied);
  const auto majority = Majority(aSet);
  if (majority > 0 && seals.before >= majority) {
    return HolderState::kEndedBeforeChange;
  }
  if (majority > 0 && seals.after >= majority) {
    return HolderState::kChangeAdopted;
  }
  return HolderState::kMayHold;
}

size_t
Evidence::Majority(const WitnessSet& aSet) const
{
  if (m_settings.mutation == Mutation::kOneSeal) {
    return aSet.witnesses.empty() ? 0 : 1;
  }
  return aSet.Majority();
}

}
