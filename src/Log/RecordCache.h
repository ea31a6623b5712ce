#ifndef PISTACHIOSHIFT_LOG_RECORDCACHE_H
#define PISTACHIOSHIFT_LOG_RECORDCACHE_H

#include <deque>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Log/LogService.h"

namespace pistachioshift {

/**
 * \brief The recent entries of a stream, for peers cut off from the log.
 *
 * Holds consecutive offsets, checkpoints and second copies included, so that
 * a peer reaches the same state as from the log service.
 * \sa Follower
 */
class RecordCache
{
public:
  /** \param aMaxBytes bound on the memory of the entries kept. */
  explicit RecordCache(size_t aMaxBytes);

  /** \brief Adds the next entry; starts anew if offsets were left out. */
  void Add(const LogEntry& aEntry);

  /**
   * \brief Entries from aFrom on, without gaps.
   * \return empty if aFrom is not held; else at least one, then as many as
   * fit into aMaxBytes.
   */
  std::vector<LogEntry> RecordsFrom(Offset aFrom, size_t aMaxBytes) const;

private:
  bool Follows(Offset aOffset) const;

  size_t m_maxBytes;
  size_t m_bytes = 0;
  std::deque<LogEntry> m_entries;
};

}

#endif
