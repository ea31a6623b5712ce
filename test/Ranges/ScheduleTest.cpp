#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ranges/WorldSupport.h"

namespace pistachioshift::test {

/** Days of hosts, backend servers and the store under faults. */
class RangesScheduleTest : public ::testing::Test
{
protected:
  /** Whether any of some days shows that a rule is weakened. */
  static bool IsNoticed(const WorldRules& aRules)
  {
    constexpr uint32_t kMostDays = 400;
    for (uint32_t seed = 1; seed <= kMostDays; ++seed) {
      const auto broken = World(seed, aRules).Play();
      if (!broken.empty() && broken != kNotServed) {
        return true;
      }
    }
    return false;
  }

  WorldRules m_rules;
};

RC_GTEST_FIXTURE_PROP(RangesScheduleTest,
                      Play_AnyFaults_OneHolderRisingFencesAndServedAgain,
                      ())
{
  const auto seed = *rc::gen::arbitrary<uint32_t>();
  RC_ASSERT(World(seed, m_rules).Play() == std::string());
}

TEST_F(RangesScheduleTest, Mutation_TakeoverTooSoon_IsNoticed)
{
  m_rules.takeoverWait = milliseconds(1500);
  EXPECT_TRUE(IsNoticed(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_LeaseIgnored_IsNoticed)
{
  m_rules.heedsLease = false;
  EXPECT_TRUE(IsNoticed(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_LeaseRenewedWhileSuspected_IsNoticed)
{
  m_rules.heedsSuspicion = false;
  EXPECT_TRUE(IsNoticed(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_SilentServerGivenUpAtOnce_IsNoticed)
{
  m_rules.waitsForHolds = false;
  EXPECT_TRUE(IsNoticed(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_RangeHandedOnBeforeItsRelease_IsNoticed)
{
  m_rules.waitsForRelease = false;
  EXPECT_TRUE(IsNoticed(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_AppendsWithoutCondition_IsNoticed)
{
  m_rules.conditional = false;
  EXPECT_TRUE(IsNoticed(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_FencesUsedAgain_IsNoticed)
{
  m_rules.freshFences = false;
  EXPECT_TRUE(IsNoticed(m_rules));
}

}
