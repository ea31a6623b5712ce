#include <gtest/gtest.h>

#include "src/HostDaemon/ServerEndMonitor.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServerEndMonitorTest : public ::testing::Test
{
protected:
  static constexpr RequestFingerprint kFirst{ 1 };
  static constexpr RequestFingerprint kSecond{ 2 };

  std::vector<RequestFingerprint> RunningAtEnd()
  {
    const auto end = m_monitor.OnEndProven(IncarnationOf("server-a"));
    return end ? end->running : std::vector<RequestFingerprint>();
  }

  MonoTime m_now{ seconds(100) };
  ServerEndMonitor m_monitor;
};

TEST_F(ServerEndMonitorTest, OnEndProven_RequestsWereLost_AreNamedOnce)
{
  m_monitor.OnUnanswered(kFirst, m_now);
  m_monitor.OnUnanswered(kSecond, m_now);
  m_monitor.OnUnanswered(kFirst, m_now);
  EXPECT_EQ(RunningAtEnd(),
            (std::vector<RequestFingerprint>{ kSecond, kFirst }));
  EXPECT_TRUE(RunningAtEnd().empty());
}

TEST_F(ServerEndMonitorTest, OnEndProven_NothingWasLost_IsNoEvidence)
{
  EXPECT_FALSE(m_monitor.OnEndProven(IncarnationOf("server-a")));
}

/** Guards against a reset that is taken for an end that comes later. */
TEST_F(ServerEndMonitorTest, OnAnswered_StartedAfterTheLoss_ForgetsIt)
{
  m_monitor.OnUnanswered(kFirst, m_now);
  m_monitor.OnAnswered(m_now - milliseconds(1));
  m_monitor.OnUnanswered(kSecond, m_now + milliseconds(2));
  m_monitor.OnAnswered(m_now + milliseconds(1));
  EXPECT_EQ(RunningAtEnd(), std::vector<RequestFingerprint>{ kSecond });
}

TEST_F(ServerEndMonitorTest, OnUnanswered_LongBeforeTheLast_IsForgotten)
{
  m_monitor.OnUnanswered(kFirst, m_now);
  m_monitor.OnUnanswered(kSecond, m_now + seconds(1));
  EXPECT_EQ(RunningAtEnd(), std::vector<RequestFingerprint>{ kSecond });
}

TEST_F(ServerEndMonitorTest, OnEndProven_OtherIncarnation_HasAnotherId)
{
  m_monitor.OnUnanswered(kFirst, m_now);
  const auto one = m_monitor.OnEndProven(IncarnationOf("server-a", 1000));
  m_monitor.OnUnanswered(kFirst, m_now);
  const auto two = m_monitor.OnEndProven(IncarnationOf("server-a", 2000));
  EXPECT_NE(one->id, two->id);
}

}
