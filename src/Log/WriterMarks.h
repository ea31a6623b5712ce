#ifndef PISTACHIOSHIFT_LOG_WRITERMARKS_H
#define PISTACHIOSHIFT_LOG_WRITERMARKS_H

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief Highest sequence of a writer that took effect, and where. */
struct WriterMark
{
  BootId writer;
  uint64_t sequence = 0;
  Offset offset;

  bool operator==(const WriterMark&) const = default;
};

/**
 * \brief Tells first copies of records from later ones.
 *
 * The first copies of a writer's records are in the order of their sequences
 * (Appender sees to it), so one number per writer is enough. Keeps a bounded
 * number of writers and forgets the one whose last record is the oldest; all
 * readers forget alike.
 * \sa Follower, Appender
 */
class WriterMarks
{
public:
  static constexpr size_t kMaxWriters = 4096;

  explicit WriterMarks(size_t aMaxWriters = kMaxWriters);

  /** \brief Notes a record; false if it is a second copy. */
  bool Admit(const RecordId& aId, Offset aOffset);

  /** \brief Whether the record, or a later one of its writer, was noted. */
  bool Contains(const RecordId& aId) const;

  /** \brief All marks by ascending offset. */
  std::vector<WriterMark> Marks() const;

  /** \brief Replaces all marks. */
  void Load(const std::vector<WriterMark>& aMarks);

private:
  struct Last
  {
    uint64_t sequence;
    Offset offset;
  };

  void Put(const WriterMark& aMark);

  size_t m_maxWriters;
  std::unordered_map<BootId, Last> m_last;
  std::map<Offset, BootId> m_byOffset;
};

}

#endif
