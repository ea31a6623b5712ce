#include "src/Daemon/BodyTimeLimit.h"

#include <gtest/gtest.h>

namespace pistachioshift {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kZero = Duration::zero();

class BodyTimeLimitTest : public ::testing::Test
{
protected:
  BodyTimeLimitTest() { m_limit.Begin(m_now, m_now + seconds(2)); }

  /** Bytes that arrive for a time; false if the body was late meanwhile. */
  bool Receive(Duration aTime, Duration aInterval, size_t aBytes)
  {
    const auto end = m_now + aTime;
    while (m_now < end && m_limit.Left(m_now) > kZero) {
      m_now += aInterval;
      m_limit.OnBytes(m_now, aBytes);
    }
    return m_limit.Left(m_now) > kZero;
  }

  MonoTime m_now{ hours(1) };
  BodyTimeLimit m_limit;
};

// Guards against a body that holds its slot a byte at a time.
TEST_F(BodyTimeLimitTest, Trickle_DeadlinePassed_IsLateAfterGrace)
{
  EXPECT_TRUE(Receive(seconds(6), milliseconds(100), 1));
  EXPECT_FALSE(Receive(seconds(2), milliseconds(100), 1));
}

// Guards against a cut of a proper download that lasts beyond its deadline.
TEST_F(BodyTimeLimitTest, LongBody_MakesProgress_IsNeverLate)
{
  EXPECT_TRUE(Receive(hours(1), milliseconds(500), 33000));
}

// The same, on a slow link: the reader takes nothing for most of the time.
TEST_F(BodyTimeLimitTest, LongBody_ReaderIsSlow_IsNeverLate)
{
  for (int turn = 0; turn < 1000; ++turn) {
    m_limit.Pause(m_now);
    m_now += seconds(20);
    m_limit.Resume(m_now);
    m_now += milliseconds(100);
    m_limit.OnBytes(m_now, 8192);
    ASSERT_GT(m_limit.Left(m_now), kZero);
  }
}

// Guards against bytes at the start that pay for a trickle of hours.
TEST_F(BodyTimeLimitTest, Trickle_AfterManyBytes_IsLateAsEver)
{
  m_limit.OnBytes(m_now, size_t{ 1 } << 30U);
  EXPECT_FALSE(Receive(seconds(8), milliseconds(100), 1));
}

}
}
