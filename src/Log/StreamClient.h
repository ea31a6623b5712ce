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
  size_t chunkBytes = kChunkBytes; ///< Of a checkpoint, in one record.
  Duration longPoll{};
  uint32_t maxRecords = kMaxReadRecords; ///< Records asked for in one read.
  size_t cachedBytes = 0;                ///< Kept for peers.
};

/** \brief What a StreamClient calls; see LogTaskHandlers. */
struct StreamHandlers
{
  std::function<void(const LogRecord&)> record;
  std::function<std::string()> saveState;
  std::function<void(const std::string&)> loadState;
  std::function<void()> caughtUp;
  std::function<void(const Completion&)> completed;
};

/** \brief A read to make; its answer goes to OnRead with the same number. */
struct ReadRequest
{
  uint64_t number = 0;
  Offset from;
  uint32_t maxRecords = 0;
  Duration wait{};
};

/**
 * \brief Decisions of a LogTask: what to read and append, and what the
 * answers mean. Uses no socket and no clock.
 *
 * A reader that has no state while the first records have expired looks for
 * a complete checkpoint, loads it and goes on right after the offset through
 * which it was computed; without one it waits.
 * \sa LogTask, Follower, Appender, CheckpointAssembler, CheckpointSchedule
 */
class StreamClient
{
public:
  StreamClient(const StreamClientOptions& aOptions,
               StreamHandlers aHandlers,
               RandomEngine aRandom);

  /** \brief Queues a record; see LogTask::Submit. */
  RecordId Submit(std::string aBody, MonoTime aGiveUp);

  /**
   * \brief The read to start now, if any. It supersedes an earlier one, whose
   * answer is then ignored.
   */
  std::optional<ReadRequest> StartRead(MonoTime aNow);
  void OnRead(uint64_t aNumber, const ReadResult& aResult, MonoTime aNow);

  /** \brief The append to start now, if any. */
  std::optional<std::vector<std::string>> StartAppend(MonoTime aNow);
  void OnAppend(const AppendResult& aResult, MonoTime aNow);

  /** \brief Entries from a peer's RecordsFrom. */
  void OnPeer(const std::vector<LogEntry>& aEntries, MonoTime aNow);

  /** \brief Gives up records in time and writes a checkpoint when due. */
  void OnTime(MonoTime aNow);

  /** \brief When to call StartRead, StartAppend and OnTime next. */
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
    bool showsEnd = false; ///< Started after the last ambiguous append.
  };

  bool IsScanning() const { return m_scan.has_value(); }
  Offset Position() const;
  bool HoldsState(Offset aFirst) const;

  void OnAnswer(const ReadAnswer& aAnswer, bool aShowsEnd, MonoTime aNow);
  void Replay(const LogEntry& aEntry, MonoTime aNow);
  void Apply(FollowedRecord aRecord, MonoTime aNow);
  void NoteChunk(const FollowedRecord& aRecord, MonoTime aNow);
  void Scan(const ReadAnswer& aAnswer, MonoTime aNow);
  void ScanEntry(const LogEntry& aEntry);
  void LoadFound(MonoTime aNow);
  void NoteEnd(const ReadAnswer& aAnswer, MonoTime aNow);
  void Complete(const std::vector<Completion>& aCompletions);

  bool MayWriteCheckpoint(MonoTime aNow) const;
  void WriteCheckpoint();
  void WithdrawCheckpoint();

  StreamClientOptions m_options;
  StreamHandlers m_handlers;
  RandomEngine m_random;
  Appender m_appender;
  Follower m_follower;
  RecordCache m_cache;
  CheckpointAssembler m_assembler;
  CheckpointSchedule m_schedule;
  Backoff m_readBackoff;
  MonoTime m_readNotBefore;
  uint64_t m_readNumber = 0;
  std::optional<PendingRead> m_read;
  std::optional<Offset> m_scan;      ///< Next offset in search of a checkpoint.
  std::optional<Checkpoint> m_found; ///< Newest complete one of the search.
  Offset m_foundAt;
  uint64_t m_checkpointNumber = 0;
  std::vector<RecordId> m_checkpointRecords; ///< Own parts not read back.
  bool m_caughtUp = false;
  bool m_connected = false;
  bool m_atEnd = false; ///< The last answer was read to its end.
  LogCounters m_counters;
};

}

#endif
