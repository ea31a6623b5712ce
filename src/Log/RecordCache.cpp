#include "src/Log/RecordCache.h"

namespace pistachioshift {

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
  m_bytes += aEntry.payload.size();
  while (m_bytes > m_maxBytes) {
    m_bytes -= m_entries.front().payload.size();
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
    bytes += m_entries[at].payload.size();
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
