#include "src/Log/LogRecord.h"

#include <fmt/format.h>

#include "src/Log/LogCodec.h"
#include "src/Log/gen/log_types.h"

namespace pistachioshift {

namespace {

log_idl::ChunkHeader
ToIdl(const CheckpointChunk& aChunk)
{
  log_idl::ChunkHeader header;
  header.checkpoint = static_cast<int64_t>(aChunk.checkpoint);
  header.through = aChunk.through.Value();
  header.index = static_cast<int32_t>(aChunk.index);
  header.count = static_cast<int32_t>(aChunk.count);
  header.checksum = static_cast<int64_t>(aChunk.checksum);
  return header;
}

CheckpointChunk
FromIdl(const log_idl::ChunkHeader& aHeader)
{
  CheckpointChunk chunk;
  chunk.checkpoint = static_cast<uint64_t>(aHeader.checkpoint);
  chunk.through = Offset(aHeader.through);
  chunk.index = static_cast<uint32_t>(aHeader.index);
  chunk.count = static_cast<uint32_t>(aHeader.count);
  chunk.checksum = static_cast<uint64_t>(aHeader.checksum);
  return chunk;
}

}

std::string
EncodeEnvelope(const Envelope& aEnvelope)
{
  log_idl::Envelope envelope;
  envelope.writer = static_cast<int64_t>(aEnvelope.id.writer.Value());
  envelope.sequence = static_cast<int64_t>(aEnvelope.id.sequence);
  envelope.body = aEnvelope.body;
  if (aEnvelope.chunk) {
    envelope.__set_chunk(ToIdl(*aEnvelope.chunk));
  }
  auto payload = internal::EncodeStruct(envelope);
  if (payload.size() > kMaxPayloadBytes) {
    throw LogError(fmt::format("record of {} bytes exceeds the limit of {}",
                               payload.size(),
                               kMaxPayloadBytes));
  }
  return payload;
}

Envelope
DecodeEnvelope(const std::string& aPayload)
{
  if (aPayload.size() > kMaxPayloadBytes) {
    throw LogError(fmt::format("record of {} bytes exceeds the limit of {}",
                               aPayload.size(),
                               kMaxPayloadBytes));
  }
  auto decoded = internal::DecodeStruct<log_idl::Envelope>(aPayload, 0);
  Envelope envelope;
  envelope.id.writer = BootId(static_cast<uint64_t>(decoded.writer));
  envelope.id.sequence = static_cast<uint64_t>(decoded.sequence);
  envelope.body = std::move(decoded.body);
  if (decoded.__isset.chunk) {
    envelope.chunk = FromIdl(decoded.chunk);
  }
  return envelope;
}

}
