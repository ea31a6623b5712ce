#include "src/Log/StreamClient.h"

#include <algorithm>

namespace pistachioshift {

StreamClient::StreamClient(const StreamClientOptions& aOptions,
                           StreamHandlers aHandlers,
                           RandomEngine aRandom)
  : m_options(aOptions)
  , m_handlers(std::move(aHandlers))
  , m_random(aRandom)
  , m_appender(aOptions.appender)
  , m_cache(aOptions.maxCachedBytes)
  , m_schedule(aOptions.checkpoints, m_random)
  , m_readBackoff(aOptions.appender.minBackoff, aOptions.appender.maxBackoff)
{
}

RecordId
StreamClient::Submit(std::string aBody, MonoTime aDeadline)
{
  return m_appender.Submit(std::move(aBody), aDeadline);
}

std::optional<ReadRequest>
StreamClient::StartRead(MonoTime aNow)
{
  const bool needsEndOffset = m_appender.NeedsEndOffset();
  if (aNow < m_nextReadAt) {
    return std::nullopt;
  }
  if (m_pendingRead && (m_pendingRead->reportsEndOffset || !needsEndOffset)) {
    return std::nullopt;
  }
  m_pendingRead = PendingRead{ ++m_lastReadNumber, needsEndOffset };
  ReadRequest request;
  request.number = m_pendingRead->number;
  request.from = Position();
  request.maxRecords = m_options.maxRecords;
  request.wait = needsEndOffset || !m_atEnd ? Duration{} : m_options.longPoll;
  return request;
}

void
StreamClient::OnRead(uint64_t aNumber, const ReadResult& aResult, MonoTime aNow)
{
  if (!m_pendingRead || m_pendingRead->number != aNumber) {
    return;
  }
  const bool reportsEndOffset = m_pendingRead->reportsEndOffset;
  m_pendingRead.reset();
  const auto* answer = std::get_if<ReadAnswer>(&aResult);
  const bool stale = answer != nullptr && answer->end < m_follower.Next();
  m_connected = answer != nullptr && !stale;
  if (!m_connected) {
    m_counters.readsFailed += stale ? 0 : 1;
    m_counters.readsStale += stale ? 1 : 0;
    m_atEnd = false;
    m_nextReadAt = aNow + m_readBackoff.Next(m_random);
    return;
  }
  m_readBackoff.Reset();
  OnAnswer(*answer, reportsEndOffset, aNow);
}

std::optional<std::vector<std::string>>
StreamClient::StartAppend(MonoTime aNow)
{
  auto payloads = m_appender.StartAppend(aNow);
  m_counters.appends += payloads ? 1 : 0;
  m_counters.recordsResent = m_appender.ResentRecords();
  return payloads;
}

void
StreamClient::OnAppend(const AppendResult& aResult, MonoTime aNow)
{
  m_counters.appendsRefused +=
    std::holds_alternative<AppendRefused>(aResult) ? 1 : 0;
  m_counters.appendsAmbiguous +=
    std::holds_alternative<AppendAmbiguous>(aResult) ? 1 : 0;
  m_appender.OnResult(aResult, aNow, m_random);
}

void
StreamClient::OnPeerEntries(const std::vector<LogEntry>& aEntries,
                            MonoTime aNow)
{
  for (const auto& entry : aEntries) {
    m_counters.peerRecords += entry.offset == m_follower.Next() ? 1 : 0;
    Replay(entry, aNow);
  }
}

void
StreamClient::OnTimer(MonoTime aNow)
{
  Complete(m_appender.FailExpired(aNow));
  if (MayWriteCheckpoint(aNow)) {
    WriteCheckpoint();
  }
}

MonoTime
StreamClient::NextWake() const
{
  MonoTime wake = m_appender.NextWake();
  if (!m_pendingRead ||
      (m_appender.NeedsEndOffset() && !m_pendingRead->reportsEndOffset)) {
    wake = std::min(wake, m_nextReadAt);
  }
  if (m_options.writesCheckpoints && m_connected && m_atEnd &&
      m_checkpointRecords.empty()) {
    wake = std::min(wake, m_schedule.NextDue());
  }
  return wake;
}

Offset
StreamClient::Position() const
{
  return m_scanOffset.value_or(m_follower.Next());
}

// Whether the entry to process next, and all after it, are retained.
bool
StreamClient::CanContinueReplay(Offset aFirst) const
{
  return aFirst <= m_follower.Next();
}

void
StreamClient::OnAnswer(const ReadAnswer& aAnswer,
                       bool aReportsEndOffset,
                       MonoTime aNow)
{
  if (aReportsEndOffset) {
    m_appender.OnEndOffset(aAnswer.end);
  }
  if (CanContinueReplay(aAnswer.first)) {
    // Also if records from a peer closed the gap during a scan.
    m_scanOffset.reset();
    m_foundCheckpoint.reset();
    for (const auto& entry : aAnswer.entries) {
      Replay(entry, aNow);
    }
  } else {
    Scan(aAnswer, aNow);
  }
  UpdateAtEnd(aAnswer, aNow);
}

void
StreamClient::Replay(const LogEntry& aEntry, MonoTime aNow)
{
  auto result = m_follower.Process(aEntry);
  const auto* skip = std::get_if<SkipReason>(&result);
  if (skip != nullptr &&
      (*skip == SkipReason::kAlreadyProcessed || *skip == SkipReason::kGap)) {
    return;
  }
  m_cache.Add(aEntry);
  if (skip == nullptr) {
    Apply(std::move(std::get<FollowedRecord>(result)), aNow);
  } else if (*skip == SkipReason::kDuplicate) {
    ++m_counters.duplicates;
  } else {
    ++m_counters.malformed;
  }
  m_appender.OnReadThrough(m_follower.Next());
}

void
StreamClient::Apply(FollowedRecord aRecord, MonoTime aNow)
{
  ++m_counters.records;
  const RecordId id = aRecord.envelope.id;
  const auto completion = m_appender.OnRecord(id, aRecord.offset);
  if (aRecord.envelope.chunk) {
    std::erase(m_checkpointRecords, id);
    OnCheckpointChunk(aRecord, aNow);
    return;
  }
  m_handlers.record(
    LogRecord{ aRecord.offset, id, std::move(aRecord.envelope.body) });
  if (completion) {
    m_handlers.completed(*completion);
  }
}

void
StreamClient::OnCheckpointChunk(const FollowedRecord& aRecord, MonoTime aNow)
{
  const auto checkpoint = m_assembler.Add(aRecord.envelope);
  if (!checkpoint) {
    return;
  }
  m_schedule.OnCheckpoint(checkpoint->through, aRecord.offset, aNow, m_random);
  // A checkpoint was completed, usually by another reader: the chunks of this
  // reader's checkpoint that were not sent are no longer needed.
  CancelCheckpoint();
}

void
StreamClient::Scan(const ReadAnswer& aAnswer, MonoTime aNow)
{
  if (!IsScanning()) {
    ++m_counters.gaps;
    m_assembler = CheckpointAssembler();
    m_scanOffset = aAnswer.first;
  }
  m_scanOffset = std::max(*m_scanOffset, aAnswer.first);
  for (const auto& entry : aAnswer.entries) {
    ScanEntry(entry);
  }
  if (m_foundCheckpoint &&
      m_foundCheckpoint->through.Value() + 1 < aAnswer.first.Value()) {
    m_foundCheckpoint.reset();
  }
  if (m_foundCheckpoint && *m_scanOffset >= aAnswer.end) {
    LoadFoundCheckpoint(aNow);
  }
}

void
StreamClient::ScanEntry(const LogEntry& aEntry)
{
  if (aEntry.offset != *m_scanOffset) {
    return;
  }
  m_scanOffset = Offset(aEntry.offset.Value() + 1);
  std::optional<Checkpoint> checkpoint;
  try {
    checkpoint = m_assembler.Add(DecodeEnvelope(aEntry.payload));
  } catch (const LogError&) {
    ++m_counters.malformed;
  }
  if (checkpoint && (!m_foundCheckpoint ||
                     checkpoint->through >= m_foundCheckpoint->through)) {
    m_foundCheckpoint = std::move(checkpoint);
    m_foundCheckpointAt = aEntry.offset;
  }
}

void
StreamClient::LoadFoundCheckpoint(MonoTime aNow)
{
  const Checkpoint checkpoint = std::move(*m_foundCheckpoint);
  m_foundCheckpoint.reset();
  m_scanOffset.reset();
  m_assembler = CheckpointAssembler();
  m_follower.Load(checkpoint.through, checkpoint.marks);
  m_schedule.OnCheckpoint(
    checkpoint.through, m_foundCheckpointAt, aNow, m_random);
  ++m_counters.checkpointsLoaded;
  m_handlers.loadState(checkpoint.state);
  Complete(m_appender.OnCheckpoint(m_follower.Writers()));
  m_appender.OnReadThrough(m_follower.Next());
}

void
StreamClient::UpdateAtEnd(const ReadAnswer& aAnswer, MonoTime aNow)
{
  m_atEnd = Position() >= aAnswer.end;
  if (IsScanning() || !m_atEnd) {
    return;
  }
  m_appender.OnReadThrough(m_follower.Next());
  m_schedule.OnReadThrough(Applied(), aAnswer.first, aNow, m_random);
  if (!m_caughtUp) {
    m_caughtUp = true;
    m_handlers.caughtUp();
  }
}

void
StreamClient::Complete(const std::vector<Completion>& aCompletions)
{
  for (const auto& completion : aCompletions) {
    const bool chunk = std::erase(m_checkpointRecords, completion.id) > 0;
    if (!chunk) {
      m_handlers.completed(completion);
    }
  }
}

bool
StreamClient::MayWriteCheckpoint(MonoTime aNow) const
{
  return m_options.writesCheckpoints && m_connected && m_atEnd &&
         !IsScanning() && m_checkpointRecords.empty() && m_schedule.IsDue(aNow);
}

void
StreamClient::WriteCheckpoint()
{
  Checkpoint checkpoint;
  checkpoint.through = Applied();
  checkpoint.marks = m_follower.Writers().Marks();
  checkpoint.state = m_handlers.saveState();
  ++m_counters.checkpointsWritten;
  auto parts =
    SplitCheckpoint(checkpoint, ++m_lastCheckpointNumber, m_options.chunkBytes);
  for (auto& part : parts) {
    m_checkpointRecords.push_back(
      m_appender.Submit(std::move(part.body), MonoTime::max(), part.chunk));
  }
}

void
StreamClient::CancelCheckpoint()
{
  std::erase_if(m_checkpointRecords,
                [this](const RecordId& aId) { return m_appender.Cancel(aId); });
}

}
