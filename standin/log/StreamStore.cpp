#include "standin/log/StreamStore.h"

#include <algorithm>

namespace pistachioshift::standin {

StreamStore::StreamStore(const Retention& aRetention)
  : m_retention(aRetention)
{
}

Appended
StreamStore::Append(const StreamName& aStream,
                    std::vector<std::string> aPayloads,
                    MonoTime aNow)
{
  Stream& stream = m_streams[aStream];
  Appended answer;
  for (auto& payload : aPayloads) {
    stream.payloads.push_back(std::move(payload));
    stream.writtenAt.push_back(aNow);
    answer.offsets.emplace_back(stream.end);
    ++stream.end;
  }
  Expire(stream, aNow);
  return answer;
}

ReadAnswer
StreamStore::Read(const StreamName& aStream,
                  Offset aFrom,
                  size_t aMaxRecords,
                  MonoTime aNow)
{
  Stream& stream = m_streams[aStream];
  Expire(stream, aNow);
  ReadAnswer answer;
  answer.first = Offset(stream.First());
  answer.end = Offset(stream.end);
  size_t bytes = 0;
  int64_t offset = std::max(aFrom.Value(), stream.First());
  for (; offset < stream.end && answer.entries.size() < aMaxRecords; ++offset) {
    const auto& payload = stream.payloads[offset - stream.First()];
    bytes += payload.size();
    if (bytes > kMaxBatchBytes) {
      break;
    }
    answer.entries.push_back(LogEntry{ Offset(offset), payload });
  }
  return answer;
}

std::vector<StreamName>
StreamStore::Names() const
{
  std::vector<StreamName> names;
  names.reserve(m_streams.size());
  for (const auto& [name, stream] : m_streams) {
    names.push_back(name);
  }
  return names;
}

void
StreamStore::Expire(Stream& aStream, MonoTime aNow) const
{
  const auto tooMany = [&] {
    return m_retention.records > 0 &&
           aStream.payloads.size() > m_retention.records;
  };
  const auto tooOld = [&] {
    return m_retention.age > Duration{} && !aStream.writtenAt.empty() &&
           aNow - aStream.writtenAt.front() > m_retention.age;
  };
  while (tooMany() || tooOld()) {
    aStream.payloads.pop_front();
    aStream.writtenAt.pop_front();
  }
}

}
