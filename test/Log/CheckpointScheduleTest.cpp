#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Log"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;

class CheckpointScheduleTest : public ::testing::Test
{
protected:
  static constexpr MonoTime kStart{ std::chrono::hours(1) };
  static constexpr Duration kInterval = 600s;

  static CheckpointScheduleOptions Options()
  {
    CheckpointScheduleOptions options;
    options.interval = kInterval;
    options.records = 100;
    return options;
  }

  RandomEngine m_random{ 1 };
  CheckpointSchedule m_schedule{ Options(), m_random };
};

TEST_F(CheckpointScheduleTest, IsDue_NoRecords_Never)
{
  m_schedule.OnReadThrough(Offset(0), Offset(1), kStart, m_random);
  EXPECT_EQ(m_schedule.NextDue(), MonoTime::max());
}

TEST_F(CheckpointScheduleTest,
       IsDue_FirstRecordExpired_SoonUntilCheckpointIsRead)
{
  m_schedule.OnReadThrough(Offset(5), Offset(3), kStart, m_random);
  EXPECT_TRUE(m_schedule.IsDue(kStart + 2s));
  m_schedule.OnCheckpoint(Offset(5), Offset(6), kStart + 2s, m_random);
  m_schedule.OnReadThrough(Offset(6), Offset(6), kStart + 2s, m_random);
  EXPECT_FALSE(m_schedule.IsDue(kStart + 60s));
  m_schedule.OnReadThrough(Offset(8), Offset(7), kStart + 60s, m_random);
  EXPECT_TRUE(m_schedule.IsDue(kStart + 62s));
}

TEST_F(CheckpointScheduleTest, IsDue_ManyRecords_BeforeTheInterval)
{
  m_schedule.OnReadThrough(Offset(99), Offset(1), kStart, m_random);
  EXPECT_FALSE(m_schedule.IsDue(kStart));
  m_schedule.OnReadThrough(Offset(125), Offset(1), kStart, m_random);
  EXPECT_TRUE(m_schedule.IsDue(kStart));
}

// With any number of readers, the next checkpoint is due after the interval and
// at most a quarter more, and fewer than two are written each time on average.
RC_GTEST_FIXTURE_PROP(CheckpointScheduleTest,
                      IsDue_ManyReaders_UsuallyOneWrites,
                      ())
{
  constexpr int kRounds = 10;
  constexpr Duration kLatency = 1s;
  const auto readers = *rc::gen::inRange<size_t>(1, 60);
  RandomEngine random(*rc::gen::arbitrary<uint64_t>());
  std::vector<CheckpointSchedule> schedules;
  for (size_t reader = 0; reader < readers; ++reader) {
    schedules.emplace_back(Options(), random);
    schedules.back().OnReadThrough(Offset(1), Offset(1), kStart, random);
  }
  int written = 0;
  MonoTime last = kStart;
  for (int round = 0; round < kRounds; ++round) {
    MonoTime due = MonoTime::max();
    for (const auto& schedule : schedules) {
      due = std::min(due, schedule.NextDue());
    }
    RC_ASSERT(due - last >= kInterval);
    RC_ASSERT(due - last <= kInterval + kInterval / 4);
    for (auto& schedule : schedules) {
      written += schedule.IsDue(due + kLatency) ? 1 : 0;
    }
    last = due + kLatency;
    for (auto& schedule : schedules) {
      schedule.OnCheckpoint(Offset(round + 1), Offset(round + 2), last, random);
    }
  }
  RC_ASSERT(written < 2 * kRounds);
}

}
}
