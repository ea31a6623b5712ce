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

/** \brief State of a reader that took every entry through an offset. */
struct Checkpoint
{
  Offset through;
  std::vector<WriterMark> marks;
  std::string state; ///< Opaque to the log package.

  bool operator==(const Checkpoint&) const = default;
};

/** \brief One part of a checkpoint, to be submitted as a record. */
struct CheckpointPart
{
  CheckpointChunk chunk;
  std::string body;
};

/** \brief Payload bytes of a checkpoint in one record. */
constexpr size_t kChunkBytes = size_t{ 64 } * 1024;

/** \brief Longest encoded checkpoint, in bytes. */
constexpr size_t kMaxCheckpointBytes = size_t{ 16 } * 1024 * 1024;

/**
 * \brief Splits a checkpoint into the records that carry it.
 * \param aNumber distinguishes the checkpoints of one writer.
 * \param aChunkBytes longest part, 1 to kChunkBytes.
 * \return at least one part; LogError above kMaxCheckpointBytes.
 * \sa CheckpointAssembler
 */
std::vector<CheckpointPart> SplitCheckpoint(const Checkpoint& aCheckpoint,
                                            uint64_t aNumber,
                                            size_t aChunkBytes = kChunkBytes);

/**
 * \brief Collects the parts of checkpoints, in any order and repeated.
 *
 * Bounded: keeps the parts of few checkpoints at once and forgets the one
 * that was started first.
 * \sa SplitCheckpoint
 */
class CheckpointAssembler
{
public:
  /**
   * \brief Takes the part that a record carries.
   * \return the checkpoint when this part completes it; nothing for records
   * that carry no part, and for parts that contradict each other.
   */
  std::optional<Checkpoint> Add(const Envelope& aEnvelope);

private:
  static constexpr size_t kMaxPartial = 4;

  struct Name
  {
    BootId writer;
    uint64_t checkpoint = 0;

    auto operator<=>(const Name&) const = default;
  };

  struct Partial
  {
    CheckpointChunk header;
    uint64_t started = 0;
    std::map<uint32_t, std::string> bodies;
  };

  Partial& FindOrStart(const Name& aName, const CheckpointChunk& aChunk);
  void ForgetOldest();

  std::map<Name, Partial> m_partial;
  uint64_t m_started = 0;
};

}

#endif
