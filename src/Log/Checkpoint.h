#ifndef PISTACHIOSHIFT_LOG_CHECKPOINT_H
#define PISTACHIOSHIFT_LOG_CHECKPOINT_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Log/LogRecord.h"
#include "src/Log/WriterMarks.h"

namespace pistachioshift {

/** \brief State of a reader that has processed all entries up to an offset. */
struct Checkpoint
{
  Offset through; ///< Last processed offset.
  std::vector<WriterMark> marks;
  std::string state; ///< Serialized by the user of the log package.

  bool operator==(const Checkpoint&) const = default;
};

/** \brief Chunk of a checkpoint, to be submitted as a record. */
struct CheckpointPart
{
  CheckpointChunk chunk;
  std::string body;
};

/** \brief Maximum bytes of a checkpoint in one record. */
constexpr size_t kChunkBytes = size_t{ 64 } * 1024;

/** \brief Maximum size of an encoded checkpoint, in bytes. */
constexpr size_t kMaxCheckpointBytes = size_t{ 16 } * 1024 * 1024;

/**
 * \brief Splits a checkpoint into chunks, one per record.
 * \param aNumber distinguishes the checkpoints of one writer.
 * \param aChunkBytes maximum size of a chunk, 1 to kChunkBytes.
 * \return at least one chunk.
 * \throws LogError if the checkpoint exceeds kMaxCheckpointBytes.
 * \sa CheckpointAssembler
 */
std::vector<CheckpointPart> SplitCheckpoint(const Checkpoint& aCheckpoint,
                                            uint64_t aNumber,
                                            size_t aChunkBytes = kChunkBytes);

/**
 * \brief Joins the chunks of checkpoints. Chunks may arrive in any order and
 * more than once.
 *
 * To bound its memory, it keeps at most kMaxPartial incomplete checkpoints and
 * evicts the one whose first chunk arrived the longest ago.
 * \sa SplitCheckpoint
 */
class CheckpointAssembler
{
public:
  /**
   * \brief Adds the chunk that a record carries.
   * \return the checkpoint if this chunk completes it. Nullopt otherwise, also
   * for records without a chunk and for chunks whose headers or checksum don't
   * match.
   */
  std::optional<Checkpoint> Add(const Envelope& aEnvelope);

private:
  static constexpr size_t kMaxPartial = 4;

  struct Key
  {
    BootId writer;
    uint64_t checkpoint = 0;

    auto operator<=>(const Key&) const = default;
  };

  struct Partial
  {
    CheckpointChunk header;
    uint64_t startOrder = 0;
    std::map<uint32_t, std::string> bodies;
  };

  Partial& FindOrStart(const Key& aKey, const CheckpointChunk& aChunk);
  void EvictOldest();

  std::map<Key, Partial> m_partial;
  uint64_t m_lastStartOrder = 0;
};

}

#endif
