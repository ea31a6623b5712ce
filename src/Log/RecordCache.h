#ifndef PISTACHIOSHIFT_LOG_RECORDCACHE_H
#define PISTACHIOSHIFT_LOG_RECORDCACHE_H

#include <deque>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Log/LogService.h"

namespace pistachioshift {

/**
 * \brief Recent entries of a stream, for peers that can't reach the log
 * service.
 *
 * The entries have consecutive offsets and include checkpoint chunks and
 * repeated copies, so that a peer reaches the same state as a reader of the
 * log service.
 * \sa Follower
 */
class RecordCache
{
public:
  /** \param aMaxBytes maximum memory of the cached entries. */
  explicit RecordCache(size_t aMaxBytes);

  /** \brief Adds an entry; first drops all others if it doesn't follow them. */
  void Add(const LogEntry& aEntry);

  /**
   * \brief Entries from aFrom on, without gaps.
   * \return empty if aFrom is not cached; otherwise at least one entry and as
   * many as fit into aMaxBytes.
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
