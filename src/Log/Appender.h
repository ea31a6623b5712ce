#ifndef PISTACHIOSHIFT_LOG_APPENDER_H
#define PISTACHIOSHIFT_LOG_APPENDER_H

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Base/Random.h"
#include "src/Log/Backoff.h"
#include "src/Log/LogRecord.h"
#include "src/Log/WriterMarks.h"

namespace pistachioshift {

/** \brief Settings of an Appender. */
struct AppenderOptions
{
  BootId writer;
  Duration minInterval{}; ///< Minimum time between the starts of two appends.
  Duration minBackoff{};
  Duration maxBackoff{};
};

/** \brief Final outcome of a submitted record. */
struct Completion
{
  RecordId id;
  SubmitResult result;
};

/**
 * \brief Queue of records to append, each of which takes effect exactly once
 * and in the order of submission.
 *
 * At most one append is in flight. After an append with an ambiguous outcome,
 * nothing is sent until the stream has been read up to the end offset that
 * the log service reported after that append. Records that were not found
 * are then sent again under the same id. A copy that
 * is written late is a duplicate. WriterMarks can detect it, because a record
 * is sent only together with or after all earlier records of its writer.
 * \sa Follower
 */
class Appender
{
public:
  explicit Appender(const AppenderOptions& aOptions);

  /**
   * \brief Queues a record; throws LogError if it is too large.
   * \param aDeadline when FailExpired fails the record if no append may have
   * written it.
   * \param aChunk set if the record carries a chunk of a checkpoint.
   */
  RecordId Submit(std::string aBody,
                  MonoTime aDeadline,
                  std::optional<CheckpointChunk> aChunk = std::nullopt);

  /** \brief Payloads to append now; nullopt if there is nothing to send. */
  std::optional<std::vector<std::string>> StartAppend(MonoTime aNow);

  /** \brief Handles the outcome of the append that StartAppend returned. */
  void OnResult(const AppendResult& aResult,
                MonoTime aNow,
                RandomEngine& aRandom);

  /**
   * \brief Whether the end offset of the stream is needed. It must come from a
   * read that starts after this call.
   */
  bool NeedsEndOffset() const { return m_state == State::kNeedsEndOffset; }

  /** \brief End of the stream, from a read begun after the ambiguous append. */
  void OnEndOffset(Offset aEnd);

  /** \brief All entries below aNext have been processed. */
  void OnReadThrough(Offset aNext);

  /**
   * \brief Handles the first copy of a record that was read.
   * \return its completion if the record was submitted to this Appender.
   */
  std::optional<Completion> OnRecord(const RecordId& aId, Offset aOffset);

  /** \brief Completes the sent records that a loaded checkpoint contains. */
  std::vector<Completion> OnCheckpoint(const WriterMarks& aMarks);

  /**
   * \brief Completes records past their deadline as not written, unless some
   * append may have written them.
   */
  std::vector<Completion> FailExpired(MonoTime aNow);

  /** \brief Removes a record; false if it may have been written. */
  bool Cancel(const RecordId& aId);

  /** \brief When StartAppend or FailExpired next has something to do. */
  MonoTime NextWake() const;

  /** \brief Number of submitted records without a final outcome. */
  size_t Pending() const { return m_pending.size(); }

  /** \brief Number of records sent again after an ambiguous append. */
  uint64_t ResentRecords() const { return m_resentRecords; }

private:
  enum class State
  {
    kIdle,
    kAppending,
    kNeedsEndOffset,     ///< Ambiguous append; end offset not yet known.
    kReadingToEndOffset, ///< Ambiguous append; reading up to m_endOffset.
  };

  enum class SendState
  {
    kQueued,   ///< To be sent, for the first time or again.
    kInFlight, ///< In the current append, or in one with an ambiguous outcome.
    kAppended, ///< Appended, but not yet read back.
  };

  struct Record
  {
    RecordId id;
    std::string payload;
    MonoTime deadline;
    SendState sendState = SendState::kQueued;
    bool maybeWritten = false; ///< Was in an append with an ambiguous outcome.
  };

  static bool IsUnsent(const Record& aRecord);
  void MoveInFlight(SendState aTo);
  std::deque<Record>::iterator Find(const RecordId& aId);

  AppenderOptions m_options;
  Backoff m_backoff;
  uint64_t m_sequence = 0;
  std::deque<Record> m_pending;
  State m_state = State::kIdle;
  Offset m_endOffset;
  MonoTime m_nextAppendAt;
  uint64_t m_resentRecords = 0;
};

}

#endif
