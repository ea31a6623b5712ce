#ifndef PISTACHIOSHIFT_LOG_STREAMCLIENT_H
#define PISTACHIOSHIFT_LOG_STREAMCLIENT_H

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Base/Random.h"
#include "src/Log/Appender.h"
#include "src/Log/Backoff.h"
#include "src/Log/Checkpoint.h"
#include "src/Log/CheckpointSchedule.h"
#include "src/Log/Follower.h"
#include "src/Log/LogRecord.h"
#include "src/Log/LogService.h"
#include "src/Log/RecordCache.h"

namespace pistachioshift {

/** \brief Settings of a StreamClient. */
struct StreamClientOptions
{
  AppenderOptions appender;
  CheckpointScheduleOptions checkpoints;
  bool writesCheckpoints = false;
  size_t chunkBytes = kChunkBytes; ///< Maximum checkpoint bytes per record.
  Duration longPoll{};
  uint32_t maxRecords = kMaxReadRecords; ///< Maximum records per read.
  size_t maxCachedBytes = 0;             ///< To serve peers.
};

/** \brief Handlers that a StreamClient calls; see LogTaskHandlers. */
struct StreamHandlers
{
  std::function<void(const LogRecord&)> record;
  std::function<std::string()> saveState;
  std::function<void(const std::string&)> loadState;
  std::function<void()> caughtUp;
  std::function<void(const Completion&)> completed;
};

/** \brief Read to start; its result is passed to OnRead with its number. */
struct ReadRequest
{
  uint64_t number = 0;
  Offset from;
  uint32_t maxRecords = 0;
  Duration wait{};
};

/**
 * \brief State machine of a LogTask: decides what to read and append, and
 * handles the results. It performs no I/O and reads no clock.
 *
 * If the records after its state have expired, a reader scans the retained
 * records for a complete checkpoint, loads it and continues right after the
 * last offset that it includes. It waits as long as there is no such
 * checkpoint.
 * \sa LogTask, Follower, Appender, CheckpointAssembler, CheckpointSchedule
 */
class StreamClient
{
public:
  StreamClient(const StreamClientOptions& aOptions,
               StreamHandlers aHandlers,
               RandomEngine aRandom);

  /** \brief Queues a record; see LogTask::Submit. */
  RecordId Submit(std::string aBody, MonoTime aDeadline);

  /**
   * \brief The read to start now, if any. It supersedes an earlier read, whose
   * result is then ignored.
   */
  std::optional<ReadRequest> StartRead(MonoTime aNow);
  void OnRead(uint64_t aNumber, const ReadResult& aResult, MonoTime aNow);

  /** \brief The append to start now, if any. */
  std::optional<std::vector<std::string>> StartAppend(MonoTime aNow);
  void OnAppend(const AppendResult& aResult, MonoTime aNow);

  /** \brief Processes the result of a peer's RecordsFrom. */
  void OnPeerEntries(const std::vector<LogEntry>& aEntries, MonoTime aNow);

  /** \brief Fails records past their deadline; writes a checkpoint if due. */
  void OnTimer(MonoTime aNow);

  /** \brief When to call OnTimer, StartAppend and StartRead next. */
  MonoTime NextWake() const;

  Offset Applied() const { return m_follower.Applied(); }
  bool CaughtUp() const { return m_caughtUp; }
  bool Connected() const { return m_connected; }

  std::vector<LogEntry> RecordsFrom(Offset aFrom, size_t aMaxBytes) const
  {
    return m_cache.RecordsFrom(aFrom, aMaxBytes);
  }

  const LogCounters& Counters() const { return m_counters; }

private:
  struct PendingRead
  {
    uint64_t number = 0;
    bool reportsEndOffset = false; ///< Started after the ambiguous append.
  };

  bool IsScanning() const { return m_scanOffset.has_value(); }
  Offset Position() const;
  bool CanContinueReplay(Offset aFirst) const;

  void OnAnswer(const ReadAnswer& aAnswer,
                bool aReportsEndOffset,
                MonoTime aNow);
  void Replay(const LogEntry& aEntry, MonoTime aNow);
  void Apply(FollowedRecord aRecord, MonoTime aNow);
  void OnCheckpointChunk(const FollowedRecord& aRecord, MonoTime aNow);
  void Scan(const ReadAnswer& aAnswer, MonoTime aNow);
  void ScanEntry(const LogEntry& aEntry);
  void LoadFoundCheckpoint(MonoTime aNow);
  void UpdateAtEnd(const ReadAnswer& aAnswer, MonoTime aNow);
  void Complete(const std::vector<Completion>& aCompletions);

  bool MayWriteCheckpoint(MonoTime aNow) const;
  void WriteCheckpoint();
  void CancelCheckpoint();

  StreamClientOptions m_options;
  StreamHandlers m_handlers;
  RandomEngine m_random;
  Appender m_appender;
  Follower m_follower;
  RecordCache m_cache;
  CheckpointAssembler m_assembler;
  CheckpointSchedule m_schedule;
  Backoff m_readBackoff;
  MonoTime m_nextReadAt;
  uint64_t m_lastReadNumber = 0;
  std::optional<PendingRead> m_pendingRead;
  std::optional<Offset> m_scanOffset; ///< Next offset to scan for a checkpoint.
  std::optional<Checkpoint> m_foundCheckpoint; ///< Latest one of the scan.
  Offset m_foundCheckpointAt;
  uint64_t m_lastCheckpointNumber = 0;
  std::vector<RecordId> m_checkpointRecords; ///< Own chunks not yet read back.
  bool m_caughtUp = false;
  bool m_connected = false;
  bool m_atEnd = false; ///< Whether the last answer reached the end.
  LogCounters m_counters;
};

}

#endif
