#ifndef PISTACHIOSHIFT_LOG_LOGRECORD_H
#define PISTACHIOSHIFT_LOG_LOGRECORD_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "src/Base/Ids.h"
#include "src/Log/LogService.h"

namespace pistachioshift {

/** \brief Record of the stream, without its envelope. */
struct LogRecord
{
  Offset offset;
  RecordId id;
  std::string body;

  bool operator==(const LogRecord&) const = default;
};

/** \brief Header of the checkpoint chunk that a record carries. */
struct CheckpointChunk
{
  uint64_t checkpoint = 0; ///< Number of the checkpoint, chosen by its writer.
  Offset through;          ///< Last offset whose record is included.
  uint32_t index = 0;      ///< Of this chunk, 0 to count - 1.
  uint32_t count = 0;
  uint64_t checksum = 0; ///< XXH3 of the concatenated chunks.

  bool operator==(const CheckpointChunk&) const = default;
};

/** \brief Decoded payload of a record. */
struct Envelope
{
  RecordId id;
  std::string body;
  std::optional<CheckpointChunk> chunk;

  bool operator==(const Envelope&) const = default;
};

/** \brief Encodes a payload; throws LogError above kMaxPayloadBytes. */
std::string EncodeEnvelope(const Envelope& aEnvelope);

/** \brief Decodes a payload; throws LogError if it is malformed. */
Envelope DecodeEnvelope(const std::string& aPayload);

/** \brief The record was written and has been read back. */
struct SubmitWritten
{
  /** \brief Unset if only a loaded checkpoint shows that it was written. */
  std::optional<Offset> offset;
};

/** \brief The record was not written and will not be written later. */
struct SubmitNotWritten
{
  std::string reason;
};

using SubmitResult = std::variant<SubmitWritten, SubmitNotWritten>;
using SubmitCallback = std::function<void(const RecordId&, SubmitResult)>;

/** \brief Event counts of a LogTask since its start. */
struct LogCounters
{
  uint64_t records = 0;        ///< Records applied, without duplicates.
  uint64_t duplicates = 0;     ///< Repeated copies of records, dropped.
  uint64_t malformed = 0;      ///< Payloads that could not be decoded.
  uint64_t appends = 0;        ///< Append requests sent.
  uint64_t appendsRefused = 0; ///< Appends known to have written nothing.
  uint64_t appendsAmbiguous = 0;
  uint64_t recordsResent = 0; ///< Records sent again after an ambiguous append.
  uint64_t readsFailed = 0;
  uint64_t readsStale = 0;  ///< Answers that end before the offset reached.
  uint64_t gaps = 0;        ///< Times that unread records had expired.
  uint64_t peerRecords = 0; ///< Records received from a peer first.
  uint64_t checkpointsWritten = 0;
  uint64_t checkpointsLoaded = 0;
};

}

#endif
