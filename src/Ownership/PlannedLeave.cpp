#include "src/Ownership/PlannedLeave.h"

#include <algorithm>

namespace pistachioshift::internal {

namespace {

constexpr size_t kMaxPassesPerRecord = 64;

// Time to read a PassRecord back from the log before it is written again.
constexpr Duration kPassRetryInterval = std::chrono::seconds(1);

}

PlannedLeave::PlannedLeave(DaemonId aSelf, const NodeSettings& aSettings)
  : m_self(aSelf)
  , m_settings(aSettings)
{
}

void
PlannedLeave::Begin(MonoTime aNow)
{
  if (!m_begunAt) {
    m_begunAt = aNow;
  }
}

std::vector<PassRecord>
PlannedLeave::Passes(const OwnershipView& aView,
                     const Holdings& aHoldings,
                     MonoTime aNow)
{
  std::vector<PassRecord> records;
  if (aNow < m_nextPass) {
    return records;
  }
  m_nextPass = aNow + kPassRetryInterval;
  for (const auto& key : aView.EntriesOf(m_self)) {
    if (!MayPass(key, aView, aHoldings)) {
      continue;
    }
    if (records.empty() ||
        records.back().entries.size() == kMaxPassesPerRecord) {
      records.push_back(PassRecord{ m_self, {} });
    }
    const auto entry = aView.FindChain(key)->Current().offset;
    records.back().entries.push_back(PassedEntry{ key, entry });
  }
  return records;
}

bool
PlannedLeave::MayPass(const EntryKey& aKey,
                      const OwnershipView& aView,
                      const Holdings& aHoldings) const
{
  const auto& current = aView.FindChain(aKey)->Current();
  const auto rank = current.RankOf(m_self);
  if (!rank || current.PassOf(*rank)) {
    return false;
  }
  if (aHoldings.Find(aKey) == nullptr) {
    return true;
  }
  for (size_t later = rank->Value() + 1U; later < current.holders.size();
       ++later) {
    const auto* member = aView.FindMember(current.holders[later]);
    const bool passed =
      current.PassOf(Rank(static_cast<uint8_t>(later))).has_value();
    if (member != nullptr && !member->leaving && !passed) {
      return true;
    }
  }
  return false;
}

bool
PlannedLeave::MustStop(MonoTime aNow) const
{
  return m_begunAt && aNow - *m_begunAt > m_settings.leaveTimeout;
}

bool
PlannedLeave::IsDone(const OwnershipView& aView,
                     const Holdings& aHoldings,
                     MonoTime aNow)
{
  if (!m_begunAt || !aHoldings.IsEmpty()) {
    m_idleSince.reset();
    return false;
  }
  m_idleSince = m_idleSince.value_or(aNow);
  // Next holders may still query whether their entry was released.
  const bool mayBeQueried = aNow - *m_idleSince < 3 * m_settings.retryInterval;
  const bool witnessesReplaced = std::ranges::none_of(
    aView.LeaseholdersOf(m_self), [&](DaemonId aLeaseholder) {
      return aView.FindMember(aLeaseholder) != nullptr;
    });
  const bool timedOut =
    aNow - *m_begunAt > m_settings.leaveTimeout + m_settings.handoverTimeout;
  const auto& ownKeys = aView.EntriesOf(m_self);
  const bool passed = std::ranges::all_of(ownKeys, [&](const EntryKey& aKey) {
    const auto& current = aView.FindChain(aKey)->Current();
    const auto rank = current.RankOf(m_self);
    return !rank || current.PassOf(*rank);
  });
  return !mayBeQueried && ((witnessesReplaced && passed) || timedOut);
}

}
