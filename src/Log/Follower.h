#ifndef PISTACHIOSHIFT_LOG_FOLLOWER_H
#define PISTACHIOSHIFT_LOG_FOLLOWER_H

#include <variant>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Log/LogRecord.h"
#include "src/Log/WriterMarks.h"

namespace pistachioshift {

/** \brief Record to apply: the first copy, at the next offset. */
struct FollowedRecord
{
  Offset offset;
  Envelope envelope;
};

/** \brief Why an entry is not applied. */
enum class SkipReason
{
  kAlreadyProcessed, ///< Below the next offset.
  kGap,              ///< Above the next offset; not processed.
  kDuplicate,        ///< Repeated copy of a record.
  kMalformed,        ///< Payload can't be decoded; all readers skip it.
};

using FollowResult = std::variant<FollowedRecord, SkipReason>;

/**
 * \brief Replays the entries of a stream in offset order and selects those to
 * apply, each record once.
 *
 * Entries may come from the log service or from a peer.
 * \sa WriterMarks, StreamClient
 */
class Follower
{
public:
  explicit Follower(size_t aMaxWriters = WriterMarks::kMaxWriters);

  /**
   * \brief Processes one entry. Advances Next() unless the result is
   * kAlreadyProcessed or kGap.
   */
  FollowResult Process(const LogEntry& aEntry);

  /** \brief Continues at the offset after a checkpoint. */
  void Load(Offset aThrough, const std::vector<WriterMark>& aMarks);

  /** \brief Offset to process next; initially 1. */
  Offset Next() const { return m_next; }

  /** \brief Offset of the last processed entry; 0 if there is none. */
  Offset Applied() const { return Offset(m_next.Value() - 1); }

  const WriterMarks& Writers() const { return m_writers; }

private:
  Offset m_next{ 1 };
  WriterMarks m_writers;
};

}

#endif
