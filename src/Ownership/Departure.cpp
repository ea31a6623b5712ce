#include "src/Ownership/Departure.h"

#include <algorithm>

namespace pistachioshift::internal {

namespace {

constexpr size_t kMaxPassesPerRecord = 64;

// Time for a pass to come back from the log before it is tried again.
constexpr Duration kPassPatience = std::chrono::seconds(1);

}

Departure::Departure(DaemonId aSelf, const NodeSettings& aSettings)
  : m_self(aSelf)
  , m_settings(aSettings)
{
}

void
Departure::Begin(MonoTime aNow)
{
  if (!m_begun) {
    m_begun = aNow;
  }
}

std::vector<PassRecord>
Departure::Passes(const OwnershipView& aView,
                  const Holdings& aHoldings,
                  MonoTime aNow)
{
  std::vector<PassRecord> records;
  if (aNow < m_nextPass) {
    return records;
  }
  m_nextPass = aNow + kPassPatience;
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
Departure::MayPass(const EntryKey& aKey,
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
Departure::MustStop(MonoTime aNow) const
{
  return m_begun && aNow - *m_begun > m_settings.leaveTimeout;
}

bool
Departure::IsDone(const OwnershipView& aView,
                  const Holdings& aHoldings,
                  MonoTime aNow)
{
  if (!m_begun || !aHoldings.IsEmpty()) {
    m_empty.reset();
    return false;
  }
  m_empty = m_empty.value_or(aNow);
  // The next holders may still ask whether their entry was released.
  const bool asked = aNow - *m_empty < 3 * m_settings.retryInterval;
  const bool handedOn = std::ranges::none_of(
    aView.LeaseholdersOf(m_self), [&](DaemonId aLeaseholder) {
      return aView.FindMember(aLeaseholder) != nullptr;
    });
  const bool late =
    aNow - *m_begun > m_settings.leaveTimeout + m_settings.handoverTimeout;
  const auto& mine = aView.EntriesOf(m_self);
  const bool passed = std::ranges::all_of(mine, [&](const EntryKey& aKey) {
    const auto& current = aView.FindChain(aKey)->Current();
    const auto rank = current.RankOf(m_self);
    return !rank || current.PassOf(*rank);
  });
  return !asked && ((handedOn && passed) || late);
}

}
