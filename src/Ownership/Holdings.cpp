#include "src/Ownership/Holdings.h"

#include <algorithm>

namespace pistachioshift::internal {

namespace {

EntryKey
RangeOf(const EntryKey& aKey)
{
  return EntryKey{ aKey.service, aKey.range, std::string() };
}

}

Holdings::Holdings(DaemonId aSelf)
  : m_self(aSelf)
{
}

void
Holdings::Start(const EntryKey& aKey, FenceToken aToken, MonoTime aNotBefore)
{
  m_held[aKey] = Holding{ aToken, aNotBefore, false };
}

bool
Holdings::SplitPin(const EntryKey& aPin, const OwnershipView& aView)
{
  const auto range = m_held.find(RangeOf(aPin));
  const auto* chain = aView.FindChain(aPin);
  if (range == m_held.end() || chain == nullptr) {
    return false;
  }
  m_held[aPin] = range->second;
  return true;
}

bool
Holdings::Stop(const EntryKey& aKey)
{
  const auto found = m_held.find(aKey);
  if (found == m_held.end() || found->second.stopping) {
    return false;
  }
  found->second.stopping = true;
  return true;
}

bool
Holdings::Release(const EntryKey& aKey)
{
  const auto found = m_held.find(aKey);
  if (found == m_held.end() || !found->second.stopping) {
    return false;
  }
  m_held.erase(found);
  return true;
}

void
Holdings::DelayStarts(MonoTime aSince, Duration aBy)
{
  for (auto& [key, holding] : m_held) {
    if (holding.notBefore > aSince) {
      holding.notBefore += aBy;
    }
  }
}

const Holding*
Holdings::Find(const EntryKey& aKey) const
{
  const auto found = m_held.find(aKey);
  return found == m_held.end() ? nullptr : &found->second;
}

std::optional<Offset>
Holdings::EndOf(const EntryKey& aKey, const OwnershipView& aView) const
{
  const auto* holding = Find(aKey);
  const auto* chain = aView.FindChain(aKey);
  if (chain == nullptr) {
    // Unpinned: the key ends with the range's new entry.
    chain = aView.FindChain(RangeOf(aKey));
  }
  if (holding == nullptr || chain == nullptr) {
    return std::nullopt;
  }
  for (const auto& entry : chain->entries) {
    if (entry.offset == holding->token.entry) {
      if (const auto pass = entry.PassOf(holding->token.rank)) {
        return pass;
      }
    }
    if (entry.offset > holding->token.entry) {
      return entry.offset;
    }
  }
  return std::nullopt;
}

bool
Holdings::IsReleased(const ReleaseItem& aItem,
                     Offset aAdopted,
                     const OwnershipView& aView) const
{
  if (aAdopted < aItem.below) {
    return false;
  }
  const auto holds = [&](const EntryKey& aKey) {
    const auto* holding = Find(aKey);
    return holding != nullptr && holding->token.entry < aItem.below;
  };
  if (holds(aItem.key)) {
    return false;
  }
  if (aView.FindChain(aItem.key) != nullptr && !aItem.key.pinnedKey.empty()) {
    return true;
  }
  // A key that is not pinned in this view, not yet or no more, belongs to its
  // range. A pin that the same change ended counts too, as the querying daemon
  // may not know the pin yet.
  const auto range = RangeOf(aItem.key);
  for (auto held = m_held.lower_bound(range);
       held != m_held.end() && RangeOf(held->first) == range;
       ++held) {
    const bool covered = held->first == range ||
                         aView.FindChain(held->first) == nullptr ||
                         EndOf(held->first, aView) == aItem.below;
    if (covered && holds(held->first)) {
      return false;
    }
  }
  return true;
}

std::vector<EntryKey>
Holdings::Keys() const
{
  std::vector<EntryKey> keys;
  keys.reserve(m_held.size());
  for (const auto& [key, holding] : m_held) {
    keys.push_back(key);
  }
  return keys;
}

}
