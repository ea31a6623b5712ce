#include "src/Ownership/Evidence.h"

#include <algorithm>

namespace pistachioshift::internal {

namespace {

// A silence told longer ago may be over.
constexpr Duration kToldFor = std::chrono::milliseconds(400);

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
  auto& leaseholder = m_cases[aLeaseholder];
  leaseholder.told[aWitness] = aNow;
  const bool waiting = leaseholder.asked &&
                       aNow - *leaseholder.asked < m_settings.retryInterval / 2;
  if (waiting || !IsSuspected(leaseholder, *sets, aNow)) {
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
    return leaseholder.seals.contains(aDaemon);
  });
  leaseholder.asked = aNow;
  return witnesses;
}

bool
Evidence::IsSuspected(const Case& aCase,
                      const WitnessSets& aSets,
                      MonoTime aNow) const
{
  const auto tellers = [&](const WitnessSet& aSet) {
    return std::ranges::count_if(aSet.witnesses, [&](DaemonId aWitness) {
      const auto told = aCase.told.find(aWitness);
      return aCase.seals.contains(aWitness) ||
             (told != aCase.told.end() && aNow - told->second <= kToldFor);
    });
  };
  const auto enough = [&](const WitnessSet& aSet) {
    const auto count = static_cast<size_t>(tellers(aSet));
    return count > 0 && count >= Majority(aSet);
  };
  return enough(aSets.current) || (aSets.pending && enough(*aSets.pending));
}

void
Evidence::OnSeal(DaemonId aWitness, DaemonId aLeaseholder, Offset aVersion)
{
  m_cases[aLeaseholder].seals.emplace(aWitness, aVersion);
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
Evidence::Delay(Duration aBy)
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
  const auto forgotten = [&](const auto& aItem) {
    return aView.FindMember(aItem.first) == nullptr &&
           aView.EntriesOf(aItem.first).empty();
  };
  std::erase_if(m_cases, forgotten);
  std::erase_if(m_released, forgotten);
}

std::vector<DaemonId>
Evidence::Ripened(Offset aBefore, Offset aApplied) const
{
  std::vector<DaemonId> leaseholders;
  for (const auto& [leaseholder, sealing] : m_cases) {
    const bool ripe = std::ranges::any_of(sealing.seals, [&](auto& aSeal) {
      return aSeal.second > aBefore && aSeal.second <= aApplied;
    });
    if (ripe) {
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

Standing
Evidence::StandingOf(const OwnershipView& aView,
                     DaemonId aDaemon,
                     std::optional<Offset> aChange) const
{
  const auto sealed = SealedStanding(aView, aDaemon, aChange);
  if (sealed != Standing::kMayHold) {
    return sealed;
  }
  const auto* gone = aView.FindGone(aDaemon);
  if (gone == nullptr) {
    return Standing::kMayHold;
  }
  if (gone->cause == GoneCause::kRetired) {
    const auto retired = m_retired.find(aDaemon);
    // Read from a checkpoint: no time is known, so OnRetired comes late.
    if (retired == m_retired.end() || retired->second != MonoTime::min()) {
      return Standing::kMayHold;
    }
  }
  // What is recorded as gone before a change can't have carried it out.
  const bool before = !aChange || gone->at < *aChange;
  return before ? Standing::kOutBefore : Standing::kOutUnknown;
}

Standing
Evidence::SealedStanding(const OwnershipView& aView,
                         DaemonId aDaemon,
                         std::optional<Offset> aChange) const
{
  const auto found = m_cases.find(aDaemon);
  const auto* sets = aView.FindWitnesses(aDaemon);
  if (found == m_cases.end() || sets == nullptr) {
    return Standing::kMayHold;
  }
  const auto& leaseholder = found->second;
  const auto applied = aView.Applied();
  if (!sets->pending) {
    return Judge(leaseholder, sets->current, aChange, applied);
  }
  // Either set may be in force until the switch is recorded (R2).
  const auto tally =
    CountSeals(leaseholder, sets->current, sets->pending->offset, applied);
  const auto majority = Majority(sets->current);
  if (majority > 0 && tally.before >= majority) {
    return Judge(leaseholder, sets->current, aChange, applied);
  }
  if (majority > 0 && tally.after >= majority) {
    if (m_settings.mutation == Mutation::kFirstSetAlone) {
      return Judge(leaseholder, sets->current, aChange, applied);
    }
    return Judge(leaseholder, *sets->pending, aChange, applied);
  }
  return Standing::kMayHold;
}

Evidence::Tally
Evidence::CountSeals(const Case& aCase,
                     const WitnessSet& aSet,
                     Offset aChange,
                     Offset aApplied) const
{
  Tally tally;
  for (const auto witness : aSet.witnesses) {
    const auto seal = aCase.seals.find(witness);
    if (seal == aCase.seals.end()) {
      continue;
    }
    // A witness's version starts at the offset that named it.
    const auto version = std::max(seal->second, aSet.offset);
    if (version > aApplied && m_settings.mutation != Mutation::kNoCatchUp) {
      continue;
    }
    const bool ignore = m_settings.mutation == Mutation::kIgnoreVersion;
    ++(ignore || version < aChange ? tally.before : tally.after);
  }
  return tally;
}

Standing
Evidence::Judge(const Case& aCase,
                const WitnessSet& aSet,
                std::optional<Offset> aChange,
                Offset aApplied) const
{
  const Offset never(INT64_MAX);
  const auto tally = CountSeals(aCase, aSet, aChange.value_or(never), aApplied);
  const auto majority = Majority(aSet);
  if (majority > 0 && tally.before >= majority) {
    return Standing::kOutBefore;
  }
  if (majority > 0 && tally.after >= majority) {
    return Standing::kCarriedOut;
  }
  return Standing::kMayHold;
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
