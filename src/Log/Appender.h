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
  Duration spacing{}; ///< Least time between the starts of two appends.
  Duration minBackoff{};
  Duration maxBackoff{};
};

/** \brief A submitted record that is settled. */
struct Completion
{
  RecordId id;
  SubmitResult result;
};

/**
 * \brief Writes records so that each takes effect once, in order.
 *
 * One append is under way at a time. After an ambiguous one, nothing is sent
 * until the stream was read through the end as known after that attempt; what
 * was not found is sent again under the same id. A late copy is dropped by
 * WriterMarks, because any record is sent only together with or after all the
 * earlier ones of its writer.
 * \sa Follower
 */
class Appender
{
public:
  explicit Appender(const AppenderOptions& aOptions);

  /**
   * \brief Queues a record; LogError if too large.
   * \param aChunk set for the parts of a checkpoint.
   */
  RecordId Submit(std::string aBody,
                  MonoTime aGiveUp,
                  std::optional<CheckpointChunk> aChunk = std::nullopt);

  /** \brief Payloads to append now; none if nothing is to be sent yet. */
  std::optional<std::vector<std::string>> StartAppend(MonoTime aNow);

  /** \brief Outcome of the append that StartAppend started. */
  void OnResult(const AppendResult& aResult,
                MonoTime aNow,
                RandomEngine& aRandom);

  /** \brief Whether OnEnd is awaited from a read that starts from now on. */
  bool NeedsEnd() const { return m_state == State::kNeedsEnd; }

  /** \brief End of the stream, read after the ambiguous outcome. */
  void OnEnd(Offset aEnd);

  /** \brief All entries below aNext were taken. */
  void OnReadThrough(Offset aNext);

  /** \brief A first copy was read; completes it if it was submitted here. */
  std::optional<Completion> OnRecord(const RecordId& aId, Offset aOffset);

  /** \brief A checkpoint was loaded; completes what its marks contain. */
  std::vector<Completion> OnCheckpoint(const WriterMarks& aMarks);

  /** \brief Completes records past their time that were never sent. */
  std::vector<Completion> GiveUp(MonoTime aNow);

  /** \brief Withdraws a record; false if it may have been written. */
  bool Withdraw(const RecordId& aId);

  /** \brief When StartAppend or GiveUp next has something to do. */
  MonoTime NextWake() const;

  /** \brief Records submitted and not settled. */
  size_t Pending() const { return m_pending.size(); }

  /** \brief Records sent again after an ambiguous outcome. */
  uint64_t Rewritten() const { return m_rewritten; }

private:
  enum class State
  {
    kIdle,
    kAppending,
    kNeedsEnd,     ///< Ambiguous; the end is not known yet.
    kReadingToEnd, ///< Ambiguous; reading through m_end.
  };

  enum class Sent
  {
    kQueued,   ///< To be sent, perhaps again.
    kInFlight, ///< Part of the append under way, or of an ambiguous one.
    kWritten,  ///< Appended, not read back.
  };

  struct Record
  {
    RecordId id;
    std::string payload;
    MonoTime giveUp;
    Sent sent = Sent::kQueued;
    bool maybeWritten = false; ///< Some attempt was ambiguous.
  };

  static bool IsUnsent(const Record& aRecord);
  void MoveInFlight(Sent aTo);
  std::deque<Record>::iterator Find(const RecordId& aId);

  AppenderOptions m_options;
  Backoff m_backoff;
  uint64_t m_sequence = 0;
  std::deque<Record> m_pending;
  State m_state = State::kIdle;
  Offset m_end;
  MonoTime m_notBefore;
  uint64_t m_rewritten = 0;
};

}

#endif
