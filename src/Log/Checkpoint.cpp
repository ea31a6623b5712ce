#include "src/Log/Checkpoint.h"

#include <algorithm>

#include <fmt/format.h>

#include "src/Base/Hash.h"
#include "src/Log/LogCodec.h"
#include "src/Log/gen/log_types.h"

namespace pistachioshift {

namespace {

constexpr uint32_t kMaxChunks = kMaxCheckpointBytes / kChunkBytes;

std::string
EncodeContent(const Checkpoint& aCheckpoint)
{
  log_idl::CheckpointContent content;
  content.state = aCheckpoint.state;
  for (const auto& mark : aCheckpoint.marks) {
    auto& encoded = content.marks.emplace_back();
    encoded.writer = static_cast<int64_t>(mark.writer.Value());
    encoded.sequence = static_cast<int64_t>(mark.sequence);
    encoded.offset = mark.offset.Value();
  }
  return internal::EncodeStruct(content);
}

Checkpoint
DecodeContent(const std::string& aBytes, Offset aThrough)
{
  auto content = internal::DecodeStruct<log_idl::CheckpointContent>(
    aBytes, WriterMarks::kMaxWriters);
  Checkpoint checkpoint;
  checkpoint.through = aThrough;
  checkpoint.state = std::move(content.state);
  for (const auto& mark : content.marks) {
    checkpoint.marks.push_back(
      WriterMark{ BootId(static_cast<uint64_t>(mark.writer)),
                  static_cast<uint64_t>(mark.sequence),
                  Offset(mark.offset) });
  }
  return checkpoint;
}

std::optional<Checkpoint>
Join(const CheckpointChunk& aHeader,
     const std::map<uint32_t, std::string>& aBodies)
{
  std::string bytes;
  for (const auto& [index, body] : aBodies) {
    bytes += body;
  }
  if (HashKey(bytes) != aHeader.checksum) {
    return std::nullopt;
  }
  try {
    return DecodeContent(bytes, aHeader.through);
  } catch (const LogError&) {
    return std::nullopt;
  }
}

bool
IsValid(const CheckpointChunk& aChunk)
{
  return aChunk.count > 0 && aChunk.count <= kMaxChunks &&
         aChunk.index < aChunk.count && aChunk.through >= Offset(0);
}

bool
IsSameCheckpoint(const CheckpointChunk& aOne, const CheckpointChunk& aOther)
{
  return aOne.through == aOther.through && aOne.count == aOther.count &&
         aOne.checksum == aOther.checksum;
}

}

std::vector<CheckpointPart>
SplitCheckpoint(const Checkpoint& aCheckpoint,
                uint64_t aNumber,
                size_t aChunkBytes)
{
  const auto bytes = EncodeContent(aCheckpoint);
  if (bytes.size() > kMaxCheckpointBytes) {
    throw LogError(fmt::format("checkpoint of {} bytes exceeds the limit of {}",
                               bytes.size(),
                               kMaxCheckpointBytes));
  }
  CheckpointChunk chunk;
  chunk.checkpoint = aNumber;
  chunk.through = aCheckpoint.through;
  chunk.count =
    static_cast<uint32_t>((bytes.size() + aChunkBytes - 1) / aChunkBytes);
  chunk.checksum = HashKey(bytes);
  std::vector<CheckpointPart> parts;
  for (; chunk.index < chunk.count; ++chunk.index) {
    parts.push_back(CheckpointPart{
      chunk, bytes.substr(chunk.index * aChunkBytes, aChunkBytes) });
  }
  return parts;
}

std::optional<Checkpoint>
CheckpointAssembler::Add(const Envelope& aEnvelope)
{
  if (!aEnvelope.chunk || !IsValid(*aEnvelope.chunk) ||
      aEnvelope.body.size() > kChunkBytes) {
    return std::nullopt;
  }
  const CheckpointChunk& chunk = *aEnvelope.chunk;
  const Key key{ aEnvelope.id.writer, chunk.checkpoint };
  Partial& partial = FindOrStart(key, chunk);
  if (!IsSameCheckpoint(partial.header, chunk)) {
    return std::nullopt;
  }
  partial.bodies.emplace(chunk.index, aEnvelope.body);
  if (partial.bodies.size() < chunk.count) {
    return std::nullopt;
  }
  auto checkpoint = Join(partial.header, partial.bodies);
  m_partial.erase(key);
  return checkpoint;
}

CheckpointAssembler::Partial&
CheckpointAssembler::FindOrStart(const Key& aKey, const CheckpointChunk& aChunk)
{
  const auto found = m_partial.find(aKey);
  if (found != m_partial.end()) {
    return found->second;
  }
  if (m_partial.size() == kMaxPartial) {
    EvictOldest();
  }
  Partial& partial = m_partial[aKey];
  partial.header = aChunk;
  partial.startOrder = ++m_lastStartOrder;
  return partial;
}

void
CheckpointAssembler::EvictOldest()
{
  const auto oldest =
    std::min_element(m_partial.begin(),
                     m_partial.end(),
                     [](const auto& aOne, const auto& aOther) {
                       return aOne.second.startOrder < aOther.second.startOrder;
                     });
  m_partial.erase(oldest);
}

}
