#include "src/Log/RecordCache.h"

namespace pistachioshift {

namespace {

// Memory of an entry without its payload.
constexpr size_t kEntryBytes = sizeof(LogEntry);

size_t
BytesOf(const LogEntry& aEntry)
{
  return aEntry.payload.size() + kEntryBytes;
}

}

RecordCache::RecordCache(size_t aMaxBytes)
  : m_maxBytes(aMaxBytes)
{
}

void
RecordCache::Add(const LogEntry& aEntry)
{
  if (!Follows(aEntry.offset)) {
    m_entries.clear();
    m_bytes = 0;
  }
  m_entries.push_back(aEntry);
  m_bytes += BytesOf(aEntry);
  while (m_bytes > m_maxBytes) {
    m_bytes -= BytesOf(m_entries.front());
    m_entries.pop_front();
  }
}

std::vector<LogEntry>
RecordCache::RecordsFrom(Offset aFrom, size_t aMaxBytes) const
{
  std::vector<LogEntry> records;
  if (m_entries.empty() || aFrom < m_entries.front().offset) {
    return records;
  }
  const auto skipped = aFrom.Value() - m_entries.front().offset.Value();
  size_t bytes = 0;
  for (auto at = static_cast<size_t>(skipped); at < m_entries.size(); ++at) {
    bytes += BytesOf(m_entries[at]);
    if (bytes > aMaxBytes && !records.empty()) {
      break;
    }
    records.push_back(m_entries[at]);
  }
  return records;
}

bool
RecordCache::Follows(Offset aOffset) const
{
  return !m_entries.empty() &&
         aOffset.Value() == m_entries.back().offset.Value() + 1;
}

}
