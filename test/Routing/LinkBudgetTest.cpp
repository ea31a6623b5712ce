#include <gtest/gtest.h>

#include "src/Routing/LinkBudget.h"

namespace pistachioshift {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kBytesPerSecond = 1000.0;
constexpr double kBurstBytes = 100.0;

class LinkBudgetTest : public ::testing::Test
{
protected:
  MonoTime m_now{ seconds(10) };
  LinkBudget m_budget{ kBytesPerSecond, kBurstBytes, m_now };
};

TEST_F(LinkBudgetTest, Consume_MoreThanBurst_WaitsForRefill)
{
  m_budget.Consume(300);
  EXPECT_FALSE(m_budget.CanSend(m_now));
  const auto wait = m_budget.TimeUntilSend(m_now);
  EXPECT_GE(wait, milliseconds(200));
  EXPECT_LE(wait, milliseconds(202));
  EXPECT_TRUE(m_budget.CanSend(m_now + wait));
}

TEST_F(LinkBudgetTest, CanSend_OverOneSecond_KeepsRate)
{
  size_t sent = 0;
  for (int tick = 0; tick < 1000; ++tick) {
    m_now += milliseconds(1);
    while (m_budget.CanSend(m_now)) {
      m_budget.Consume(10);
      sent += 10;
    }
  }
  EXPECT_LE(sent, static_cast<size_t>(kBytesPerSecond + kBurstBytes) + 20);
  EXPECT_GE(sent, static_cast<size_t>(kBytesPerSecond));
}

TEST_F(LinkBudgetTest, CanSend_AfterLongPause_AtMostBurst)
{
  m_now += seconds(60);
  size_t sent = 0;
  while (m_budget.CanSend(m_now)) {
    m_budget.Consume(10);
    sent += 10;
  }
  EXPECT_LE(sent, static_cast<size_t>(kBurstBytes) + 10);
}

TEST_F(LinkBudgetTest, CanSend_NoRate_AlwaysTrue)
{
  LinkBudget unlimited(0.0, kBurstBytes, m_now);
  unlimited.Consume(1000000);
  EXPECT_TRUE(unlimited.CanSend(m_now));
  EXPECT_EQ(unlimited.TimeUntilSend(m_now), Duration::zero());
}

}
