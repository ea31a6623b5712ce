#include "src/Ownership/Removal.h"

#include <algorithm>
#include <optional>

namespace pistachioshift::internal {

namespace {

constexpr Duration kRetryInterval = std::chrono::seconds(10);

// Number of members that may retire a leaseholder: those after it by id.
constexpr size_t kRetireCandidates = 4;

/** \brief Position after the leaseholder in the ring of member ids; nullopt:
 *         not among the first kRetireCandidates. */
std::optional<size_t>
RingDistance(const OwnershipView& aView, DaemonId aLeaseholder, DaemonId aSelf)
{
  const auto& members = aView.Members();
  auto next = members.upper_bound(aLeaseholder);
  for (size_t distance = 0;
       distance < std::min(kRetireCandidates, members.size());
       ++distance) {
    if (next == members.end()) {
      next = members.begin();
    }
    if (next->first == aSelf) {
      return distance;
    }
    ++next;
  }
  return std::nullopt;
}

}

Removal::Removal(DaemonId aSelf, const NodeSettings& aSettings)
  : m_self(aSelf)
  , m_settings(aSettings)
{
}

void
Removal::OnSealed(const OwnershipView& aView,
                  const Evidence& aEvidence,
                  DaemonId aLeaseholder,
                  MonoTime aNow)
{
  if (aEvidence.SealedState(aView, aLeaseholder, std::nullopt) !=
      HolderState::kEndedBeforeChange) {
    return;
  }
  const auto& witnesses = aView.FindWitnesses(aLeaseholder)->current.witnesses;
  const auto own = std::ranges::find(witnesses, m_self);
  if (own != witnesses.end()) {
    m_sealed.emplace(aLeaseholder,
                     aNow +
                       (own - witnesses.begin()) * m_settings.removalStagger);
  }
}

void
Removal::OnGone(const OwnershipView& aView, DaemonId aWitness, MonoTime aNow)
{
  for (const auto leaseholder : aView.LeaseholdersOf(aWitness)) {
    const auto distance = RingDistance(aView, leaseholder, m_self);
    if (aView.IsRetirable(leaseholder) && distance) {
      const auto wait =
        static_cast<int64_t>(*distance + 1) * m_settings.removalStagger;
      m_retirable.emplace(leaseholder, aNow + wait);
    }
  }
}

std::vector<OwnershipRecord>
Removal::OnTick(const OwnershipView& aView,
                const Evidence& aEvidence,
                MonoTime aNow)
{
  std::vector<OwnershipRecord> records;
  std::erase_if(m_sealed, [&](const auto& aItem) {
    return aView.FindMember(aItem.first) == nullptr;
  });
  for (auto& [leaseholder, due] : m_sealed) {
    const bool sealed =
      aEvidence.SealedState(aView, leaseholder, std::nullopt) ==
      HolderState::kEndedBeforeChange;
    if (aNow >= due && sealed) {
      records.push_back(GoneRecord{ leaseholder, m_self, GoneCause::kSealed });
      due = aNow + kRetryInterval;
    }
  }
  std::erase_if(m_retirable, [&](const auto& aItem) {
    return !aView.IsRetirable(aItem.first);
  });
  for (auto& [leaseholder, due] : m_retirable) {
    if (aNow >= due) {
      const auto set = aView.FindWitnesses(leaseholder)->current.offset;
      records.push_back(RetireRecord{ leaseholder, set });
      due = aNow + kRetryInterval;
    }
  }
  return records;
}

}
