#include "src/Log/Appender.h"

#include <algorithm>

namespace pistachioshift {

Appender::Appender(const AppenderOptions& aOptions)
  : m_options(aOptions)
  , m_backoff(aOptions.minBackoff, aOptions.maxBackoff)
{
}

RecordId
Appender::Submit(std::string aBody,
                 MonoTime aDeadline,
                 std::optional<CheckpointChunk> aChunk)
{
  const RecordId id{ m_options.writer, m_sequence + 1 };
  Record record;
  record.id = id;
  record.payload = EncodeEnvelope(Envelope{ id, std::move(aBody), aChunk });
  record.deadline = aDeadline;
  m_pending.push_back(std::move(record));
  ++m_sequence;
  return id;
}

std::optional<std::vector<std::string>>
Appender::StartAppend(MonoTime aNow)
{
  if (m_state != State::kIdle || aNow < m_nextAppendAt) {
    return std::nullopt;
  }
  std::vector<std::string> payloads;
  size_t bytes = 0;
  for (auto& record : m_pending) {
    if (record.sendState != SendState::kQueued) {
      continue;
    }
    bytes += record.payload.size();
    if (bytes > kMaxBatchBytes || payloads.size() == kMaxAppendRecords) {
      break;
    }
    payloads.push_back(record.payload);
    record.sendState = SendState::kInFlight;
    m_resentRecords += record.maybeWritten ? 1 : 0;
  }
  if (payloads.empty()) {
    return std::nullopt;
  }
  m_state = State::kAppending;
  m_nextAppendAt = aNow + m_options.minInterval;
  return payloads;
}

void
Appender::OnResult(const AppendResult& aResult,
                   MonoTime aNow,
                   RandomEngine& aRandom)
{
  if (std::holds_alternative<Appended>(aResult)) {
    m_state = State::kIdle;
    MoveInFlight(SendState::kAppended);
    m_backoff.Reset();
    return;
  }
  m_nextAppendAt = std::max(m_nextAppendAt, aNow + m_backoff.Next(aRandom));
  if (std::holds_alternative<AppendRefused>(aResult)) {
    m_state = State::kIdle;
    MoveInFlight(SendState::kQueued);
    return;
  }
  m_state = State::kNeedsEndOffset;
  for (auto& record : m_pending) {
    record.maybeWritten |= record.sendState == SendState::kInFlight;
  }
}

void
Appender::OnEndOffset(Offset aEnd)
{
  if (m_state == State::kNeedsEndOffset) {
    m_endOffset = aEnd;
    m_state = State::kReadingToEndOffset;
  }
}

void
Appender::OnReadThrough(Offset aNext)
{
  if (m_state == State::kReadingToEndOffset && aNext >= m_endOffset) {
    MoveInFlight(SendState::kQueued);
    m_state = State::kIdle;
  }
}

std::optional<Completion>
Appender::OnRecord(const RecordId& aId, Offset aOffset)
{
  if (aId.writer != m_options.writer) {
    return std::nullopt;
  }
  const auto found = Find(aId);
  if (found == m_pending.end()) {
    return std::nullopt;
  }
  m_pending.erase(found);
  return Completion{ aId, SubmitWritten{ aOffset } };
}

std::vector<Completion>
Appender::OnCheckpoint(const WriterMarks& aMarks)
{
  std::vector<Completion> completions;
  std::erase_if(m_pending, [&](const Record& aRecord) {
    // The sequence number may be below the mark although the record was never
    // sent: another record of this writer raised the mark.
    if (IsUnsent(aRecord) || !aMarks.Contains(aRecord.id)) {
      return false;
    }
    completions.push_back(
      Completion{ aRecord.id, SubmitWritten{ std::nullopt } });
    return true;
  });
  return completions;
}

std::vector<Completion>
Appender::FailExpired(MonoTime aNow)
{
  std::vector<Completion> completions;
  std::erase_if(m_pending, [&](const Record& aRecord) {
    if (!IsUnsent(aRecord) || aNow < aRecord.deadline) {
      return false;
    }
    completions.push_back(
      Completion{ aRecord.id, SubmitNotWritten{ "not written in time" } });
    return true;
  });
  return completions;
}

bool
Appender::Cancel(const RecordId& aId)
{
  const auto found = Find(aId);
  if (found == m_pending.end() || !IsUnsent(*found)) {
    return false;
  }
  m_pending.erase(found);
  return true;
}

MonoTime
Appender::NextWake() const
{
  MonoTime wake = MonoTime::max();
  for (const auto& record : m_pending) {
    if (record.sendState == SendState::kQueued && m_state == State::kIdle) {
      wake = std::min(wake, m_nextAppendAt);
    }
    if (IsUnsent(record)) {
      wake = std::min(wake, record.deadline);
    }
  }
  return wake;
}

bool
Appender::IsUnsent(const Record& aRecord)
{
  return aRecord.sendState == SendState::kQueued && !aRecord.maybeWritten;
}

void
Appender::MoveInFlight(SendState aTo)
{
  for (auto& record : m_pending) {
    if (record.sendState == SendState::kInFlight) {
      record.sendState = aTo;
    }
  }
}

std::deque<Appender::Record>::iterator
Appender::Find(const RecordId& aId)
{
  return std::find_if(m_pending.begin(),
                      m_pending.end(),
                      [&](const Record& aRecord) { return aRecord.id == aId; });
}

}
