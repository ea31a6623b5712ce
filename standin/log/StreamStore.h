#ifndef PISTACHIOSHIFT_STANDIN_LOG_STREAMSTORE_H
#define PISTACHIOSHIFT_STANDIN_LOG_STREAMSTORE_H

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Log/LogService.h"

namespace pistachioshift::standin {

/** \brief What the stand-in of the log service retains. */
struct Retention
{
  size_t records = 0; ///< Per stream; 0 keeps any number.
  Duration age{};     ///< 0 keeps records of any age.
};

/** \brief Streams in memory. */
class StreamStore
{
public:
  explicit StreamStore(const Retention& aRetention);

  Appended Append(const StreamName& aStream,
                  std::vector<std::string> aPayloads,
                  MonoTime aNow);

  /** \brief Answers at once, also when there is no record at aFrom. */
  ReadAnswer Read(const StreamName& aStream,
                  Offset aFrom,
                  size_t aMaxRecords,
                  MonoTime aNow);

  std::vector<StreamName> Names() const;

private:
  struct Stream
  {
    int64_t end = 1;
    std::deque<std::string> payloads;
    std::deque<MonoTime> written;

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
