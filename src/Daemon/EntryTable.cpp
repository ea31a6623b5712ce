#include "src/Daemon/EntryTable.h"

namespace pistachioshift {

namespace {

/** Time for which the next holder of a handed-over entry is kept. */
constexpr Duration kHandoverRetention = std::chrono::seconds(10);

}

void
EntryTable::Started(const EntryStarted& aStarted)
{
  m_handedOver.erase(aStarted.key);
  auto& entry = m_entries[aStarted.key];
  entry.token = aStarted.token;
  entry.notBefore = aStarted.notBefore;
  entry.stopping = false;
  entry.next.reset();
}

void
EntryTable::Stopping(const EntryStopping& aStopping)
{
  auto& entry = m_entries[aStopping.key];
  entry.token = aStopping.token;
  entry.stopping = true;
  if (aStopping.next != DaemonId()) {
    entry.next = aStopping.next;
  }
}

void
EntryTable::Clear()
{
  m_entries.clear();
  m_handedOver.clear();
}

bool
EntryTable::MayStart(const EntryKey& aKey, MonoTime aNow) const
{
  const auto entry = m_entries.find(aKey);
  return entry != m_entries.end() && !entry->second.stopping &&
         aNow >= entry->second.notBefore;
}

void
EntryTable::RequestStarted(const EntryKey& aKey)
{
  ++m_entries[aKey].running;
}

void
EntryTable::RequestEnded(const EntryKey& aKey)
{
  const auto entry = m_entries.find(aKey);
  if (entry != m_entries.end() && entry->second.running > 0) {
    --entry->second.running;
  }
}

std::optional<FenceToken>
EntryTable::RemoveIfIdle(const EntryKey& aKey, MonoTime aNow)
{
  const auto entry = m_entries.find(aKey);
  const bool idle = entry != m_entries.end() && entry->second.stopping &&
                    entry->second.running == 0;
  if (!idle) {
    return std::nullopt;
  }
  const auto token = entry->second.token;
  if (entry->second.next) {
    m_handedOver[aKey] = Handover{ *entry->second.next, aNow };
  }
  m_entries.erase(entry);
  return token;
}

MonoTime
EntryTable::ServableFrom(const EntryKey& aKey, MonoTime aNow) const
{
  const auto entry = m_entries.find(aKey);
  return entry == m_entries.end() ? aNow : entry->second.notBefore;
}

bool
EntryTable::IsStoppingOrHandedOver(const EntryKey& aKey, MonoTime aNow) const
{
  const auto entry = m_entries.find(aKey);
  if (entry != m_entries.end() && entry->second.stopping) {
    return true;
  }
  const auto handover = m_handedOver.find(aKey);
  return handover != m_handedOver.end() &&
         aNow - handover->second.at <= kHandoverRetention;
}

std::optional<DaemonId>
EntryTable::NextHolder(const EntryKey& aKey) const
{
  const auto entry = m_entries.find(aKey);
  if (entry != m_entries.end() && entry->second.next) {
    return entry->second.next;
  }
  const auto handover = m_handedOver.find(aKey);
  return handover == m_handedOver.end() ? std::nullopt
                                        : std::optional(handover->second.next);
}

}
