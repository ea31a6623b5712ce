#include "src/Log/CheckpointSchedule.h"

#include <algorithm>

namespace pistachioshift {

namespace {

Duration
DrawUpTo(Duration aMax, RandomEngine& aRandom)
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
  Draw(aRandom);
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
  m_since = aNow;
  m_repair.reset();
  Draw(aRandom);
}

void
CheckpointSchedule::OnReadThrough(Offset aApplied,
                                  Offset aFirst,
                                  MonoTime aNow,
                                  RandomEngine& aRandom)
{
  m_applied = aApplied;
  if (!m_since && aApplied > Offset(0)) {
    m_since = aNow;
  }
  if (IsProtected(aFirst)) {
    m_repair.reset();
  } else if (!m_repair) {
    m_repair = aNow + DrawUpTo(m_options.repairDelay, aRandom);
  }
}

MonoTime
CheckpointSchedule::NextDue() const
{
  if (!m_since) {
    return MonoTime::max();
  }
  const auto records = m_applied.Value() - m_completedAt.Value();
  if (records >= static_cast<int64_t>(m_options.records) + m_extraRecords) {
    return MonoTime::min();
  }
  const MonoTime due = *m_since + m_options.interval + m_extraDelay;
  return m_repair ? std::min(due, *m_repair) : due;
}

void
CheckpointSchedule::Draw(RandomEngine& aRandom)
{
  m_extraDelay = DrawUpTo(m_options.interval / 4, aRandom);
  std::uniform_int_distribution<uint32_t> draw(0, m_options.records / 4);
  m_extraRecords = draw(aRandom);
}

// A new reader can start if it can read on from the checkpoint, or from the
// first record of all.
bool
CheckpointSchedule::IsProtected(Offset aFirst) const
{
  return aFirst.Value() <= m_through.Value() + 1;
}

}
