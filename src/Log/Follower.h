#ifndef PISTACHIOSHIFT_LOG_FOLLOWER_H
#define PISTACHIOSHIFT_LOG_FOLLOWER_H

#include <variant>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Log/LogRecord.h"
#include "src/Log/WriterMarks.h"

namespace pistachioshift {

/** \brief First copy of a record, at the next offset. */
struct FollowedRecord
{
  Offset offset;
  Envelope envelope;
};

/** \brief Why an entry has no effect. */
enum class FollowSkip
{
  kOld,       ///< Below the next offset.
  kGap,       ///< Above the next offset; not taken.
  kDuplicate, ///< Second copy of a record.
  kMalformed, ///< Payload that can't be decoded; ignored by all alike.
};

using FollowResult = std::variant<FollowedRecord, FollowSkip>;

/**
 * \brief Puts the entries of a stream into effect once and in offset order.
 *
 * Takes entries from the log service and from peers alike.
 * \sa WriterMarks, StreamClient
 */
class Follower
{
public:
  explicit Follower(size_t aMaxWriters = WriterMarks::kMaxWriters);

  /** \brief Takes one entry; all but kOld and kGap advance Next(). */
  FollowResult Process(const LogEntry& aEntry);

  /** \brief Goes on after a checkpoint. */
  void Load(Offset aThrough, const std::vector<WriterMark>& aMarks);

  /** \brief Offset that is taken next; first is 1. */
  Offset Next() const { return m_next; }

  /** \brief Offset of the last entry taken; 0 before any. */
  Offset Applied() const { return Offset(m_next.Value() - 1); }

  const WriterMarks& Writers() const { return m_writers; }

private:
  Offset m_next{ 1 };
  WriterMarks m_writers;
};

}

#endif
