#ifndef PISTACHIOSHIFT_LOG_WRITERMARKS_H
#define PISTACHIOSHIFT_LOG_WRITERMARKS_H

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief Highest applied sequence number of a writer, and its offset. */
struct WriterMark
{
  BootId writer;
  uint64_t sequence = 0;
  Offset offset;

  bool operator==(const WriterMark&) const = default;
};

/**
 * \brief Detects repeated copies of records by a high-water mark per writer.
 *
 * One sequence number per writer is enough, because Appender ensures that the
 * first copies of a writer's records are in the order of their sequence
 * numbers. Keeps a bounded number of writers and evicts the one whose last
 * record has the lowest offset. Eviction depends on the stream only, so that
 * all readers evict the same writers.
 * \sa Follower, Appender
 */
class WriterMarks
{
public:
  static constexpr size_t kMaxWriters = 4096;

  explicit WriterMarks(size_t aMaxWriters = kMaxWriters);

  /** \brief Adds a record; false if it is a repeated copy. */
  bool Admit(const RecordId& aId, Offset aOffset);

  /** \brief Whether this or a later record of its writer was added. */
  bool Contains(const RecordId& aId) const;

  /** \brief All marks, by ascending offset. */
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
