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
    stream.written.push_back(aNow);
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
  int64_t at = std::max(aFrom.Value(), stream.First());
  for (; at < stream.end && answer.entries.size() < aMaxRecords; ++at) {
    const auto& payload = stream.payloads[at - stream.First()];
    bytes += payload.size();
    if (bytes > kMaxBatchBytes) {
      break;
    }
    answer.entries.push_back(LogEntry{ Offset(at), payload });
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
    return m_retention.age > Duration{} && !aStream.written.empty() &&
           aNow - aStream.written.front() > m_retention.age;
  };
  while (tooMany() || tooOld()) {
    aStream.payloads.pop_front();
    aStream.written.pop_front();
  }
}

}
