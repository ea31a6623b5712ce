#ifndef PISTACHIOSHIFT_LOG_CHECKPOINTSCHEDULE_H
#define PISTACHIOSHIFT_LOG_CHECKPOINTSCHEDULE_H

#include <cstdint>
#include <optional>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Base/Random.h"

namespace pistachioshift {

/** \brief Settings of a CheckpointSchedule. */
struct CheckpointScheduleOptions
{
  Duration interval{};  ///< Must be well below the retention time.
  uint32_t records = 0; ///< Must be well below the retained number.
  /** \brief Maximum random delay before an expired checkpoint is replaced. */
  Duration maxRepairDelay = std::chrono::seconds(2);
};

/**
 * \brief Decides when this reader appends a checkpoint.
 *
 * Each reader with a current state waits for the interval and a random delay.
 * It starts to wait again when it reads a complete checkpoint, so that
 * usually only one reader writes. The delay is short if new readers can no
 * longer continue from the last checkpoint because records after it have
 * expired, as after an outage.
 * \sa StreamClient
 */
class CheckpointSchedule
{
public:
  CheckpointSchedule(const CheckpointScheduleOptions& aOptions,
                     RandomEngine& aRandom);

  /** \brief A complete checkpoint was read; its last chunk is at aOffset. */
  void OnCheckpoint(Offset aThrough,
                    Offset aOffset,
                    MonoTime aNow,
                    RandomEngine& aRandom);

  /**
   * \brief The end of the stream was reached.
   * \param aApplied last processed offset.
   * \param aFirst first retained offset.
   */
  void OnReadThrough(Offset aApplied,
                     Offset aFirst,
                     MonoTime aNow,
                     RandomEngine& aRandom);

  /** \brief Whether to append a checkpoint now. */
  bool IsDue(MonoTime aNow) const { return aNow >= NextDue(); }

  /** \brief When a checkpoint is due if no other entry is read before. */
  MonoTime NextDue() const;

private:
  void DrawJitter(RandomEngine& aRandom);
  bool AllowsNewReader(Offset aFirst) const;

  CheckpointScheduleOptions m_options;
  Offset m_through;          ///< Last offset in the latest checkpoint.
  Offset m_completedAt;      ///< Offset of its last chunk.
  Duration m_jitter{};       ///< Random, added to the interval.
  uint32_t m_recordJitter{}; ///< Random, added to the record count.
  Offset m_applied;
  std::optional<MonoTime> m_intervalStart; ///< Last checkpoint or first record.
  std::optional<MonoTime> m_repairDue; ///< To replace an expired checkpoint.
};

}

#endif
