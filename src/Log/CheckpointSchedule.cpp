#include "src/Log/CheckpointSchedule.h"

#include <algorithm>

namespace pistachioshift {

namespace {

Duration
RandomUpTo(Duration aMax, RandomEngine& aRandom)
{
  std::uniform_int_distribution<int64_t> draw(0, aMax.count());
  return Duration(draw(aRandom));
}

}

CheckpointSchedule::CheckpointSchedule(
  const CheckpointScheduleOptions& aOptions,
  RandomEngine& aRandom)
  : m_options(aOptions)
{
  DrawJitter(aRandom);
}

void
CheckpointSchedule::OnCheckpoint(Offset aThrough,
                                 Offset aOffset,
                                 MonoTime aNow,
                                 RandomEngine& aRandom)
{
  m_completedAt = std::max(m_completedAt, aOffset);
  if (aThrough < m_through) {
    return;
  }
  m_through = aThrough;
  m_intervalStart = aNow;
  m_repairDue.reset();
  DrawJitter(aRandom);
}

void
CheckpointSchedule::OnReadThrough(Offset aApplied,
                                  Offset aFirst,
                                  MonoTime aNow,
                                  RandomEngine& aRandom)
{
  m_applied = aApplied;
  if (!m_intervalStart && aApplied > Offset(0)) {
    m_intervalStart = aNow;
  }
  if (AllowsNewReader(aFirst)) {
    m_repairDue.reset();
  } else if (!m_repairDue) {
    m_repairDue = aNow + RandomUpTo(m_options.maxRepairDelay, aRandom);
  }
}

MonoTime
CheckpointSchedule::NextDue() const
{
  if (!m_intervalStart) {
    return MonoTime::max();
  }
  const auto records = m_applied.Value() - m_completedAt.Value();
  if (records >= static_cast<int64_t>(m_options.records) + m_recordJitter) {
    return MonoTime::min();
  }
  const MonoTime due = *m_intervalStart + m_options.interval + m_jitter;
  return m_repairDue ? std::min(due, *m_repairDue) : due;
}

void
CheckpointSchedule::DrawJitter(RandomEngine& aRandom)
{
  m_jitter = RandomUpTo(m_options.interval / 4, aRandom);
  std::uniform_int_distribution<uint32_t> draw(0, m_options.records / 4);
  m_recordJitter = draw(aRandom);
}

// Whether a new reader can start: the record after the latest checkpoint, or
// the very first record if there is no checkpoint, is still retained.
bool
CheckpointSchedule::AllowsNewReader(Offset aFirst) const
{
  return aFirst.Value() <= m_through.Value() + 1;
}

}
