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
  , m_cache(aOptions.cachedBytes)
  , m_schedule(aOptions.checkpoints, m_random)
  , m_readBackoff(aOptions.appender.minBackoff, aOptions.appender.maxBackoff)
{
}

RecordId
StreamClient::Submit(std::string aBody, MonoTime aGiveUp)
{
  return m_appender.Submit(std::move(aBody), aGiveUp);
}

std::optional<ReadRequest>
StreamClient::StartRead(MonoTime aNow)
{
  const bool needsEnd = m_appender.NeedsEnd();
  if (aNow < m_readNotBefore) {
    return std::nullopt;
  }
  if (m_read && (m_read->showsEnd || !needsEnd)) {
    return std::nullopt;
  }
  m_read = PendingRead{ ++m_readNumber, needsEnd };
  ReadRequest request;
  request.number = m_read->number;
  request.from = Position();
  request.maxRecords = m_options.maxRecords;
  request.wait = needsEnd || !m_atEnd ? Duration{} : m_options.longPoll;
  return request;
}

void
StreamClient::OnRead(uint64_t aNumber, const ReadResult& aResult, MonoTime aNow)
{
  if (!m_read || m_read->number != aNumber) {
    return;
  }
  const bool showsEnd = m_read->showsEnd;
  m_read.reset();
  const auto* answer = std::get_if<ReadAnswer>(&aResult);
  const bool behind = answer != nullptr && answer->end < m_follower.Next();
  m_connected = answer != nullptr && !behind;
  if (!m_connected) {
    m_counters.readsFailed += behind ? 0 : 1;
    m_counters.readsBehind += behind ? 1 : 0;
    m_atEnd = false;
    m_readNotBefore = aNow + m_readBackoff.Next(m_random);
    return;
  }
  m_readBackoff.Reset();
  OnAnswer(*answer, showsEnd, aNow);
}

std::optional<std::vector<std::string>>
StreamClient::StartAppend(MonoTime aNow)
{
  auto payloads = m_appender.StartAppend(aNow);
  m_counters.appends += payloads ? 1 : 0;
  m_counters.recordsResent = m_appender.Rewritten();
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
StreamClient::OnPeer(const std::vector<LogEntry>& aEntries, MonoTime aNow)
{
  for (const auto& entry : aEntries) {
    m_counters.peerRecords += entry.offset == m_follower.Next() ? 1 : 0;
    Replay(entry, aNow);
  }
}

void
StreamClient::OnTime(MonoTime aNow)
{
  Complete(m_appender.GiveUp(aNow));
  if (MayWriteCheckpoint(aNow)) {
    WriteCheckpoint();
  }
}

MonoTime
StreamClient::NextWake() const
{
  MonoTime wake = m_appender.NextWake();
  if (!m_read || (m_appender.NeedsEnd() && !m_read->showsEnd)) {
    wake = std::min(wake, m_readNotBefore);
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
  return m_scan.value_or(m_follower.Next());
}

// Whether replay can go on from what was taken so far.
bool
StreamClient::HoldsState(Offset aFirst) const
{
  return aFirst <= m_follower.Next();
}

void
StreamClient::OnAnswer(const ReadAnswer& aAnswer, bool aShowsEnd, MonoTime aNow)
{
  if (aShowsEnd) {
    m_appender.OnEnd(aAnswer.end);
  }
  if (HoldsState(aAnswer.first)) {
    // Records from a peer may have closed the gap.
    m_scan.reset();
    m_found.reset();
    for (const auto& entry : aAnswer.entries) {
      Replay(entry, aNow);
    }
  } else {
    Scan(aAnswer, aNow);
  }
  NoteEnd(aAnswer, aNow);
}

void
StreamClient::Replay(const LogEntry& aEntry, MonoTime aNow)
{
  auto result = m_follower.Process(aEntry);
  const auto* skip = std::get_if<FollowSkip>(&result);
  if (skip != nullptr &&
      (*skip == FollowSkip::kOld || *skip == FollowSkip::kGap)) {
    return;
  }
  m_cache.Add(aEntry);
  if (skip == nullptr) {
    Apply(std::move(std::get<FollowedRecord>(result)), aNow);
  } else if (*skip == FollowSkip::kDuplicate) {
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
    NoteChunk(aRecord, aNow);
    return;
  }
  m_handlers.record(
    LogRecord{ aRecord.offset, id, std::move(aRecord.envelope.body) });
  if (completion) {
    m_handlers.completed(*completion);
  }
}

void
StreamClient::NoteChunk(const FollowedRecord& aRecord, MonoTime aNow)
{
  const auto checkpoint = m_assembler.Add(aRecord.envelope);
  if (!checkpoint) {
    return;
  }
  m_schedule.OnCheckpoint(checkpoint->through, aRecord.offset, aNow, m_random);
  // Another reader was faster: what of this one's was not sent is not needed.
  WithdrawCheckpoint();
}

void
StreamClient::Scan(const ReadAnswer& aAnswer, MonoTime aNow)
{
  if (!IsScanning()) {
    ++m_counters.gaps;
    m_assembler = CheckpointAssembler();
    m_scan = aAnswer.first;
  }
  m_scan = std::max(*m_scan, aAnswer.first);
  for (const auto& entry : aAnswer.entries) {
    ScanEntry(entry);
  }
  if (m_found && m_found->through.Value() + 1 < aAnswer.first.Value()) {
    m_found.reset();
  }
  if (m_found && *m_scan >= aAnswer.end) {
    LoadFound(aNow);
  }
}

void
StreamClient::ScanEntry(const LogEntry& aEntry)
{
  if (aEntry.offset != *m_scan) {
    return;
  }
  m_scan = Offset(aEntry.offset.Value() + 1);
  std::optional<Checkpoint> checkpoint;
  try {
    checkpoint = m_assembler.Add(DecodeEnvelope(aEntry.payload));
  } catch (const LogError&) {
    ++m_counters.malformed;
  }
  if (checkpoint && (!m_found || checkpoint->through >= m_found->through)) {
    m_found = std::move(checkpoint);
    m_foundAt = aEntry.offset;
  }
}

void
StreamClient::LoadFound(MonoTime aNow)
{
  const Checkpoint checkpoint = std::move(*m_found);
  m_found.reset();
  m_scan.reset();
  m_assembler = CheckpointAssembler();
  m_follower.Load(checkpoint.through, checkpoint.marks);
  m_schedule.OnCheckpoint(checkpoint.through, m_foundAt, aNow, m_random);
  ++m_counters.checkpointsLoaded;
  m_handlers.loadState(checkpoint.state);
  Complete(m_appender.OnCheckpoint(m_follower.Writers()));
  m_appender.OnReadThrough(m_follower.Next());
}

void
StreamClient::NoteEnd(const ReadAnswer& aAnswer, MonoTime aNow)
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
    SplitCheckpoint(checkpoint, ++m_checkpointNumber, m_options.chunkBytes);
  for (auto& part : parts) {
    m_checkpointRecords.push_back(
      m_appender.Submit(std::move(part.body), MonoTime::max(), part.chunk));
  }
}

void
StreamClient::WithdrawCheckpoint()
{
  std::erase_if(m_checkpointRecords, [this](const RecordId& aId) {
    return m_appender.Withdraw(aId);
  });
}

}
