#include "standin/server/Record.h"

#include <nlohmann/json.hpp>

namespace pistachioshift::standin {
namespace {

constexpr size_t kMaxLines = 500'000;

std::string_view
NameOf(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kRunning:
      return "running";
    case Outcome::kDone:
      return "done";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kFenced:
      return "fenced";
    case Outcome::kTooLate:
      return "too-late";
    case Outcome::kShed:
      return "shed";
  }
  return "unknown";
}

nlohmann::json
ToJson(const RecordLine& aLine)
{
  const RoutingHeaders& routing = aLine.routing;
  return { { "request", routing.requestId },
           { "key", routing.key },
           { "range", routing.range },
           { "method", aLine.method },
           { "path", aLine.path },
           { "fence", routing.fence ? ToString(*routing.fence) : "" },
           { "start_ms", aLine.start.time_since_epoch().count() },
           { "end_ms", aLine.end.time_since_epoch().count() },
           { "body_bytes", aLine.bodyBytes },
           { "outcome", NameOf(aLine.outcome) } };
}

}

size_t
Record::Begin(RecordLine aLine)
{
  m_lines.push_back(std::move(aLine));
  if (m_lines.size() > kMaxLines) {
    m_lines.pop_front();
    ++m_dropped;
  }
  return m_dropped + m_lines.size() - 1;
}

void
Record::End(size_t aNumber, Outcome aOutcome, WallTime aNow, size_t aBodyBytes)
{
  if (aNumber < m_dropped) {
    return;
  }
  RecordLine& line = m_lines[aNumber - m_dropped];
  line.outcome = aOutcome;
  line.end = aNow;
  line.bodyBytes = aBodyBytes;
}

std::string
Record::ToJsonLines() const
{
  using Json = nlohmann::json;
  std::string text;
  for (const RecordLine& line : m_lines) {
    // Keys come from callers and may not be valid UTF-8.
    text += ToJson(line).dump(-1, ' ', false, Json::error_handler_t::replace);
    text += '\n';
  }
  return text;
}

}
