#include "test/Log/FakeLogSupport.h"

#include <algorithm>

#include <fmt/format.h>

#include "Pistachioshift/Base"

namespace pistachioshift::test {

std::vector<Offset>
FakeLog::Append(const std::vector<std::string>& aPayloads)
{
  std::vector<Offset> offsets;
  for (const auto& payload : aPayloads) {
    offsets.push_back(End());
    m_all.push_back(LogEntry{ End(), payload });
  }
  return offsets;
}

ReadAnswer
FakeLog::Read(Offset aFrom, uint32_t aMaxRecords) const
{
  ReadAnswer answer;
  answer.first = First();
  answer.end = End();
  auto at = std::max(aFrom, First()).Value();
  for (; at < End().Value() && answer.entries.size() < aMaxRecords; ++at) {
    answer.entries.push_back(m_all[static_cast<size_t>(at - 1)]);
  }
  return answer;
}

void
FakeLog::Expire(int64_t aCount)
{
  m_first = std::min(End().Value(), m_first + std::max<int64_t>(aCount, 0));
}

void
ChainState::Apply(const LogRecord& aRecord)
{
  hash = HashKey(fmt::format("{} {}", hash, aRecord.body));
  ++count;
}

std::string
ChainState::Save() const
{
  return fmt::format("{:020} {:020}", hash, count);
}

ChainState
ChainState::Load(const std::string& aBytes)
{
  return ChainState{ std::stoull(aBytes), std::stoull(aBytes.substr(21)) };
}

void
Oracle::Update(const FakeLog& aLog)
{
  for (size_t at = m_states.size() - 1; at < aLog.All().size(); ++at) {
    const auto& entry = aLog.All()[at];
    const auto envelope = DecodeEnvelope(entry.payload);
    ChainState state = m_states.back();
    const bool first = m_first.emplace(envelope.id, entry.offset).second;
    if (first && !envelope.chunk) {
      state.Apply(LogRecord{ entry.offset, envelope.id, envelope.body });
    }
    m_states.push_back(state);
  }
}

std::optional<Offset>
Oracle::FirstCopy(const RecordId& aId) const
{
  const auto found = m_first.find(aId);
  return found == m_first.end() ? std::nullopt : std::optional(found->second);
}

}
