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
  BootId writer; ///< Never used before on this stream, so drawn at start.
  bool writesCheckpoints = false; ///< Daemons do, tools don't.
  Duration checkpointInterval = std::chrono::minutes(10);
  uint32_t checkpointRecords = 5000; ///< Records between checkpoints.
  Duration longPoll = std::chrono::seconds(10);
  Duration appendSpacing = std::chrono::milliseconds(100);
  Duration minBackoff = std::chrono::milliseconds(50);
  Duration maxBackoff = std::chrono::seconds(2);
  size_t cachedBytes = size_t{ 4 } * 1024 * 1024; ///< Kept for peers.
};

/** \brief What a LogTask calls, all on the event loop's thread. */
struct LogTaskHandlers
{
  /** \brief A record takes effect: each once, in offset order. */
  std::function<void(const LogRecord&)> record;

  /** \brief State after the last record handed over; for checkpoints. */
  std::function<std::string()> saveState;

  /** \brief Replaces the state by one that another reader saved. */
  std::function<void(const std::string&)> loadState;

  /** \brief The end of the stream was reached for the first time. */
  std::function<void()> caughtUp;
};

/**
 * \brief Follows one stream of the log service and writes to it.
 *
 * Reconnects with backoff and jitter for as long as it lives. To be used on
 * the thread of its event loop only. The handlers may call Submit, but may
 * not destroy the task.
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

  /** \brief Starts to follow from the first record or a checkpoint. */
  void Start();

  /**
   * \brief Writes a record; retried until it is read back. LogError if it
   * is too large.
   * \param aGiveUp after this time the record counts as not written, if no
   * attempt may have written it; never for MonoTime::max().
   * \param aCallback called once, after the record handler had the record.
   */
  RecordId Submit(std::string aBody,
                  SubmitCallback aCallback,
                  MonoTime aGiveUp = MonoTime::max());

  /** \brief Offset of the last record that took effect; 0 before any. */
  Offset Applied() const;

  /** \brief Whether the end of the stream has been reached since the start. */
  bool CaughtUp() const;

  /** \brief Whether the log service answered the last read. */
  bool Connected() const;

  /**
   * \brief Recent records for a peer that is cut off from the log service.
   * \return records that start at aFrom, without gaps; empty if not kept.
   */
  std::vector<LogEntry> RecordsFrom(Offset aFrom, size_t aMaxBytes) const;

  /** \brief Records that a peer's RecordsFrom gave; calls the handlers. */
  void ApplyPeerEntries(const std::vector<LogEntry>& aEntries);

  /** \brief Counts since the start. */
  const LogCounters& Counters() const;

private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}

#endif
