#include "src/Daemon/EntryTable.h"

namespace pistachioshift {

namespace {

/** Time for which an entry handed over is remembered. */
constexpr Duration kHandOverMemory = std::chrono::seconds(10);

}

void
EntryTable::Started(const EntryStarted& aStarted)
{
  m_handedOver.erase(aStarted.key);
  auto& work = m_entries[aStarted.key];
  work.token = aStarted.token;
  work.notBefore = aStarted.notBefore;
  work.stopping = false;
  work.next.reset();
}

void
EntryTable::Stopping(const EntryStopping& aStopping)
{
  auto& work = m_entries[aStopping.key];
  work.token = aStopping.token;
  work.stopping = true;
  if (aStopping.next != DaemonId()) {
    work.next = aStopping.next;
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
  const auto work = m_entries.find(aKey);
  return work != m_entries.end() && !work->second.stopping &&
         aNow >= work->second.notBefore;
}

void
EntryTable::Enter(const EntryKey& aKey)
{
  ++m_entries[aKey].running;
}

void
EntryTable::Leave(const EntryKey& aKey)
{
  const auto work = m_entries.find(aKey);
  if (work != m_entries.end() && work->second.running > 0) {
    --work->second.running;
  }
}

std::optional<FenceToken>
EntryTable::TakeIdle(const EntryKey& aKey, MonoTime aNow)
{
  const auto work = m_entries.find(aKey);
  const bool idle = work != m_entries.end() && work->second.stopping &&
                    work->second.running == 0;
  if (!idle) {
    return std::nullopt;
  }
  const auto token = work->second.token;
  if (work->second.next) {
    m_handedOver[aKey] = HandOver{ *work->second.next, aNow };
  }
  m_entries.erase(work);
  return token;
}

MonoTime
EntryTable::NotBefore(const EntryKey& aKey, MonoTime aNow) const
{
  const auto work = m_entries.find(aKey);
  return work == m_entries.end() ? aNow : work->second.notBefore;
}

bool
EntryTable::Departed(const EntryKey& aKey, MonoTime aNow) const
{
  const auto work = m_entries.find(aKey);
  if (work != m_entries.end() && work->second.stopping) {
    return true;
  }
  const auto gone = m_handedOver.find(aKey);
  return gone != m_handedOver.end() &&
         aNow - gone->second.at <= kHandOverMemory;
}

std::optional<DaemonId>
EntryTable::Next(const EntryKey& aKey) const
{
  const auto work = m_entries.find(aKey);
  if (work != m_entries.end() && work->second.next) {
    return work->second.next;
  }
  const auto gone = m_handedOver.find(aKey);
  return gone == m_handedOver.end() ? std::nullopt
                                    : std::optional(gone->second.next);
}

}
