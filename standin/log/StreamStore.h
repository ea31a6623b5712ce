#ifndef PISTACHIOSHIFT_STANDIN_LOG_STREAMSTORE_H
#define PISTACHIOSHIFT_STANDIN_LOG_STREAMSTORE_H

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Log/LogService.h"

namespace pistachioshift::standin {

/** \brief Limits on the records that each stream retains. */
struct Retention
{
  size_t records = 0; ///< Number of records; 0 means no limit.
  Duration age{};     ///< Maximum age; 0 means no limit.
};

/** \brief Streams of records, in memory. */
class StreamStore
{
public:
  explicit StreamStore(const Retention& aRetention);

  Appended Append(const StreamName& aStream,
                  std::vector<std::string> aPayloads,
                  MonoTime aNow);

  /** \brief Returns at once, even if there is no record at aFrom yet. */
  ReadAnswer Read(const StreamName& aStream,
                  Offset aFrom,
                  size_t aMaxRecords,
                  MonoTime aNow);

  std::vector<StreamName> Names() const;

private:
  struct Stream
  {
    int64_t end = 1; ///< Offset of the next record.
    std::deque<std::string> payloads;
    std::deque<MonoTime> writtenAt;

    int64_t First() const
    {
      return end - static_cast<int64_t>(payloads.size());
    }
  };

  void Expire(Stream& aStream, MonoTime aNow) const;

  Retention m_retention;
  std::map<StreamName, Stream> m_streams;
};

}

#endif
