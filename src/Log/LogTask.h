#ifndef PISTACHIOSHIFT_LOG_LOGTASK_H
#define PISTACHIOSHIFT_LOG_LOGTASK_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Base/Random.h"
#include "src/Log/LogRecord.h"
#include "src/Log/LogService.h"

struct event_base;

namespace pistachioshift {

/** \brief Settings of a LogTask. */
struct LogTaskOptions
{
  StreamName stream;
  BootId writer; ///< Unique on the stream: drawn at each start.
  bool writesCheckpoints = false; ///< True for daemons, false for tools.
  Duration checkpointInterval = std::chrono::minutes(10);
  uint32_t checkpointRecords = 5000; ///< Between checkpoints.
  Duration longPoll = std::chrono::seconds(10);
  Duration minAppendInterval = std::chrono::milliseconds(100);
  Duration minBackoff = std::chrono::milliseconds(50);
  Duration maxBackoff = std::chrono::seconds(2);
  size_t maxCachedBytes = size_t{ 4 } * 1024 * 1024; ///< To serve peers.
};

/** \brief Handlers that a LogTask calls on the event loop's thread. */
struct LogTaskHandlers
{
  /** \brief Applies a record; called once for each, in offset order. */
  std::function<void(const LogRecord&)> record;

  /** \brief Serializes the state after the last applied record. */
  std::function<std::string()> saveState;

  /** \brief Replaces the state by one that a reader's saveState returned. */
  std::function<void(const std::string&)> loadState;

  /** \brief Called when the end of the stream is first reached. */
  std::function<void()> caughtUp;
};

/**
 * \brief Follows one stream of the log service and writes to it.
 *
 * Retries failed calls with backoff and jitter until it is destroyed. To be
 * used on the thread of its event loop only. The handlers may call Submit, but
 * must not destroy the task.
 * \sa LogService, Follower, Appender
 */
class LogTask
{
public:
  LogTask(event_base* aBase,
          LogService& aService,
          const Clock& aClock,
          RandomEngine aRandom,
          LogTaskOptions aOptions,
          LogTaskHandlers aHandlers);
  ~LogTask();
  LogTask(const LogTask&) = delete;
  LogTask& operator=(const LogTask&) = delete;

  /** \brief Starts to read, from the first record or from a checkpoint. */
  void Start();

  /**
   * \brief Writes a record and retries until it has been read back.
   * \param aCallback called once. If the record was written, the record handler
   * was called first, or a checkpoint that contains the record was loaded.
   * \param aDeadline time after which the result is SubmitNotWritten if no
   * append may have written the record; MonoTime::max() for none.
   * \throws LogError if the record is too large.
   */
  RecordId Submit(std::string aBody,
                  SubmitCallback aCallback,
                  MonoTime aDeadline = MonoTime::max());

  /** \brief Offset of the last processed entry; 0 if there is none. */
  Offset Applied() const;

  /** \brief Whether the end of the stream has been reached since the start. */
  bool CaughtUp() const;

  /** \brief Whether the last read succeeded. */
  bool Connected() const;

  /**
   * \brief Recent records, for a peer that can't reach the log service.
   * \return records from aFrom on, without gaps; empty if aFrom is not cached.
   */
  std::vector<LogEntry> RecordsFrom(Offset aFrom, size_t aMaxBytes) const;

  /** \brief Applies the result of a peer's RecordsFrom; calls the handlers. */
  void ApplyPeerEntries(const std::vector<LogEntry>& aEntries);

  /** \brief Event counts since the start. */
  const LogCounters& Counters() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}

#endif
