#ifndef PISTACHIOSHIFT_LOG_LOGSERVICE_H
#define PISTACHIOSHIFT_LOG_LOGSERVICE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Error.h"
#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief Error of the log package: malformed payloads, sizes out of bounds. */
class LogError : public Error
{
public:
  using Error::Error;
};

/** \brief Name of a stream: letters, digits, '-' and '_'. */
using StreamName = StrongId<struct StreamNameTag, std::string>;

/** \brief Longest payload of one record, in bytes. */
constexpr size_t kMaxPayloadBytes = size_t{ 256 } * 1024;

/** \brief Most records in one append. */
constexpr size_t kMaxAppendRecords = 256;

/** \brief Most records in one read's answer. */
constexpr size_t kMaxReadRecords = 1000;

/** \brief Most payload bytes in one append or in one read's answer. */
constexpr size_t kMaxBatchBytes = size_t{ 1024 } * 1024;

/** \brief One record as the log service keeps it. */
struct LogEntry
{
  Offset offset;
  std::string payload;

  bool operator==(const LogEntry&) const = default;
};

/** \brief The records were written; one offset for each, ascending. */
struct Appended
{
  std::vector<Offset> offsets;
};

/** \brief Nothing was written and nothing will be. */
struct AppendRefused
{
  std::string reason;
};

/**
 * \brief The records may have been written, or may still be: a timeout or a
 * connection lost after the request was sent. A prefix of them is possible.
 */
struct AppendAmbiguous
{
  std::string reason;
};

using AppendResult = std::variant<Appended, AppendRefused, AppendAmbiguous>;

/** \brief Records from an offset on, and what the stream retains. */
struct ReadAnswer
{
  std::vector<LogEntry> entries; ///< Ascending, none left out in between.
  Offset first;                  ///< First retained offset; `end` if none.
  Offset end;                    ///< Offset that the next record will get.
};

struct ReadFailed
{
  std::string reason;
};

using ReadResult = std::variant<ReadAnswer, ReadFailed>;

/**
 * \brief The platform's append-only log service.
 *
 * Offsets of a stream are consecutive and start at 1. Records of one append
 * are written in order. Each callback is called once, never from within the
 * call that was given it, and not at all after the service's destruction.
 * \sa HttpLogService
 */
class LogService
{
public:
  using AppendCallback = std::function<void(AppendResult)>;
  using ReadCallback = std::function<void(ReadResult)>;

  virtual ~LogService() = default;

  /**
   * \brief Appends records at the end of a stream.
   * \param aPayloads 1 to kMaxAppendRecords, each up to kMaxPayloadBytes, in
   * all up to kMaxBatchBytes; LogError otherwise.
   */
  virtual void Append(const StreamName& aStream,
                      std::vector<std::string> aPayloads,
                      AppendCallback aCallback) = 0;

  /**
   * \brief Reads records in offset order.
   *
   * Starts at the first retained offset when aFrom has expired. Waits up to
   * aWait for a record when there is none at aFrom yet.
   * \param aMaxRecords up to kMaxReadRecords.
   */
  virtual void Read(const StreamName& aStream,
                    Offset aFrom,
                    uint32_t aMaxRecords,
                    Duration aWait,
                    ReadCallback aCallback) = 0;
};

}

#endif
