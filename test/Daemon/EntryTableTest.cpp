#include "src/Daemon/EntryTable.h"

#include <gtest/gtest.h>

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EntryTableTest : public ::testing::Test
{
protected:
  void Start(Duration aWait = {})
  {
    m_table.Started(EntryStarted{ m_key, m_token, m_now + aWait });
  }

  void Stop() { m_table.Stopping(EntryStopping{ m_key, m_token, m_next }); }

  EntryTable m_table;
  EntryKey m_key{ ServiceName("registry"), RangeIndex(1), {} };
  FenceToken m_token{ Offset(5), Rank(0) };
  DaemonId m_next{ 9 };
  MonoTime m_now{ seconds(100) };
};

TEST_F(EntryTableTest, MayStart_BeforeNotBefore_IsFalse)
{
  Start(milliseconds(500));
  EXPECT_FALSE(m_table.MayStart(m_key, m_now));
  EXPECT_TRUE(m_table.MayStart(m_key, m_now + milliseconds(500)));
}

TEST_F(EntryTableTest, MayStart_UnknownOrStopping_IsFalse)
{
  EXPECT_FALSE(m_table.MayStart(m_key, m_now));
  Start();
  Stop();
  EXPECT_FALSE(m_table.MayStart(m_key, m_now));
}

TEST_F(EntryTableTest, RemoveIfIdle_RequestRunning_RemovesAfterItEnds)
{
  Start();
  m_table.RequestStarted(m_key);
  Stop();
  EXPECT_FALSE(m_table.RemoveIfIdle(m_key, m_now));
  m_table.RequestEnded(m_key);
  EXPECT_EQ(m_table.RemoveIfIdle(m_key, m_now), m_token);
  EXPECT_FALSE(m_table.RemoveIfIdle(m_key, m_now));
}

TEST_F(EntryTableTest, RemoveIfIdle_NotStopping_KeepsTheEntry)
{
  Start();
  EXPECT_FALSE(m_table.RemoveIfIdle(m_key, m_now));
  EXPECT_TRUE(m_table.MayStart(m_key, m_now));
}

TEST_F(EntryTableTest,
       IsStoppingOrHandedOver_AfterHandover_TrueUntilRetentionEnds)
{
  Start();
  Stop();
  m_table.RemoveIfIdle(m_key, m_now);
  EXPECT_TRUE(m_table.IsStoppingOrHandedOver(m_key, m_now + seconds(10)));
  EXPECT_EQ(m_table.NextHolder(m_key), m_next);
  EXPECT_FALSE(m_table.IsStoppingOrHandedOver(m_key, m_now + seconds(11)));
}

TEST_F(EntryTableTest, IsStoppingOrHandedOver_StartedAgain_IsFalse)
{
  Start();
  Stop();
  m_table.RemoveIfIdle(m_key, m_now);
  Start();
  EXPECT_FALSE(m_table.IsStoppingOrHandedOver(m_key, m_now));
  EXPECT_EQ(m_table.NextHolder(m_key), std::nullopt);
}

}
}
