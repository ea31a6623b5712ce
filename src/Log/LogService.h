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

/** \brief Error of the log package: malformed payload or size out of bounds. */
class LogError : public Error
{
public:
  using Error::Error;
};

/** \brief Name of a stream: letters, digits, '-' and '_'. */
using StreamName = StrongId<struct StreamNameTag, std::string>;

/** \brief Maximum payload size of a record, in bytes. */
constexpr size_t kMaxPayloadBytes = size_t{ 256 } * 1024;

/** \brief Maximum number of records in an append. */
constexpr size_t kMaxAppendRecords = 256;

/** \brief Maximum number of records in the answer to a read. */
constexpr size_t kMaxReadRecords = 1000;

/** \brief Maximum payload bytes in an append or in the answer to a read. */
constexpr size_t kMaxBatchBytes = size_t{ 1024 } * 1024;

/** \brief Record as stored by the log service. */
struct LogEntry
{
  Offset offset;
  std::string payload;

  bool operator==(const LogEntry&) const = default;
};

/** \brief The records were written, at these ascending offsets. */
struct Appended
{
  std::vector<Offset> offsets;
};

/** \brief No record was written, and none will be written later. */
struct AppendRefused
{
  std::string reason;
};

/**
 * \brief The records may have been written, or may still be written: the call
 * timed out, or the connection was lost after the request had been sent.
 * Possibly only a prefix of the records is written.
 */
struct AppendAmbiguous
{
  std::string reason;
};

using AppendResult = std::variant<Appended, AppendRefused, AppendAmbiguous>;

/** \brief Consecutive records, and the range of retained offsets. */
struct ReadAnswer
{
  std::vector<LogEntry> entries; ///< At consecutive offsets.
  Offset first; ///< First retained offset; `end` if there is none.
  Offset end;   ///< Offset of the next record to be written.
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
 * are written in order. Each callback is called once, but never from within
 * the function that it was passed to nor after the service's destruction.
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
   * \param aPayloads 1 to kMaxAppendRecords payloads of up to kMaxPayloadBytes
   * each and kMaxBatchBytes together.
   * \throws LogError if aPayloads is outside these bounds.
   */
  virtual void Append(const StreamName& aStream,
                      std::vector<std::string> aPayloads,
                      AppendCallback aCallback) = 0;

  /**
   * \brief Reads records in offset order.
   *
   * Starts at the first retained offset if aFrom has expired. Waits up to
   * aWait for a record if there is none at aFrom yet.
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
