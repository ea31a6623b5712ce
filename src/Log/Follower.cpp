#include "src/Log/Follower.h"

#include <optional>

namespace pistachioshift {

namespace {

std::optional<Envelope>
TryDecode(const std::string& aPayload)
{
  try {
    return DecodeEnvelope(aPayload);
  } catch (const LogError&) {
    return std::nullopt;
  }
}

}

Follower::Follower(size_t aMaxWriters)
  : m_writers(aMaxWriters)
{
}

FollowResult
Follower::Process(const LogEntry& aEntry)
{
  if (aEntry.offset < m_next) {
    return SkipReason::kAlreadyProcessed;
  }
  if (aEntry.offset > m_next) {
    return SkipReason::kGap;
  }
  m_next = Offset(m_next.Value() + 1);
  auto envelope = TryDecode(aEntry.payload);
  if (!envelope) {
    return SkipReason::kMalformed;
  }
  if (!m_writers.Admit(envelope->id, aEntry.offset)) {
    return SkipReason::kDuplicate;
  }
  return FollowedRecord{ aEntry.offset, std::move(*envelope) };
}

void
Follower::Load(Offset aThrough, const std::vector<WriterMark>& aMarks)
{
  m_next = Offset(aThrough.Value() + 1);
  m_writers.Load(aMarks);
}

}
