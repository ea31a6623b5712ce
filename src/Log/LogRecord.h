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

/** \brief A record that takes effect, or is to be written. */
struct LogRecord
{
  Offset offset;
  RecordId id;
  std::string body;

  bool operator==(const LogRecord&) const = default;
};

/** \brief The part of a checkpoint that one record carries. */
struct CheckpointChunk
{
  uint64_t checkpoint = 0; ///< Number given by the writer.
  Offset through;          ///< Last offset whose effect the state contains.
  uint32_t index = 0;      ///< 0 to count less 1.
  uint32_t count = 0;
  uint64_t checksum = 0; ///< XXH3 of all the parts joined.

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

/** \brief Encodes a payload; LogError if above kMaxPayloadBytes. */
std::string EncodeEnvelope(const Envelope& aEnvelope);

/** \brief Decodes a payload; LogError if malformed. */
Envelope DecodeEnvelope(const std::string& aPayload);

/** \brief The record was read back. */
struct SubmitWritten
{
  /** \brief Unset if a checkpoint showed it instead of the record itself. */
  std::optional<Offset> offset;
};

/** \brief The record was not written and will not be. */
struct SubmitNotWritten
{
  std::string reason;
};

using SubmitResult = std::variant<SubmitWritten, SubmitNotWritten>;
using SubmitCallback = std::function<void(const RecordId&, SubmitResult)>;

/** \brief Counts of a LogTask since its start. */
struct LogCounters
{
  uint64_t records = 0;        ///< Records that took effect.
  uint64_t duplicates = 0;     ///< Second copies dropped.
  uint64_t malformed = 0;      ///< Payloads that could not be decoded.
  uint64_t appends = 0;        ///< Attempts to append.
  uint64_t appendsRefused = 0; ///< Attempts that certainly wrote nothing.
  uint64_t appendsAmbiguous = 0;
  uint64_t recordsResent = 0; ///< Records sent again.
  uint64_t readsFailed = 0;
  uint64_t readsBehind = 0; ///< Answers whose end lies before what was read.
  uint64_t gaps = 0;        ///< Times that retention passed the reader by.
  uint64_t peerRecords = 0; ///< Records first learnt from a peer.
  uint64_t checkpointsWritten = 0;
  uint64_t checkpointsLoaded = 0;
};

}

#endif
