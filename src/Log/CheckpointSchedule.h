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
  Duration interval{};  ///< Well below the retention time.
  uint32_t records = 0; ///< Well below the retained number of records.
  Duration repairDelay = std::chrono::seconds(2); ///< Longest random delay
                                                  ///< before a repair.
};

/**
 * \brief Decides when this reader appends a checkpoint.
 *
 * Every reader that holds the state waits a random delay beyond the interval
 * and starts anew when it reads a complete checkpoint, so that as a rule only
 * one of them writes. When retention has passed the last checkpoint by, as
 * after an outage, the delay is short.
 * \sa StreamClient
 */
class CheckpointSchedule
{
public:
  CheckpointSchedule(const CheckpointScheduleOptions& aOptions,
                     RandomEngine& aRandom);

  /** \brief A complete checkpoint was read, its last part at aOffset. */
  void OnCheckpoint(Offset aThrough,
                    Offset aOffset,
                    MonoTime aNow,
                    RandomEngine& aRandom);

  /** \brief The end of the stream was read; records through aApplied taken. */
  void OnReadThrough(Offset aApplied,
                     Offset aFirst,
                     MonoTime aNow,
                     RandomEngine& aRandom);

  /** \brief Whether to append a checkpoint now. */
  bool IsDue(MonoTime aNow) const { return aNow >= NextDue(); }

  /** \brief When it will be due if nothing else is read before. */
  MonoTime NextDue() const;

private:
  void Draw(RandomEngine& aRandom);
  bool IsProtected(Offset aFirst) const;

  CheckpointScheduleOptions m_options;
  Offset m_through;          ///< Of the newest complete checkpoint.
  Offset m_completedAt;      ///< Offset of its last part.
  Duration m_extraDelay{};   ///< Random, on top of the interval.
  uint32_t m_extraRecords{}; ///< Random, on top of the record count.
  Offset m_applied;
  std::optional<MonoTime> m_since;  ///< Last checkpoint, or first records.
  std::optional<MonoTime> m_repair; ///< Due then, to replace an expired one.
};

}

#endif
