#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ranges/SimulationSupport.h"

namespace pistachioshift::test {

/** Days of hosts, backend servers and the store under faults. */
class RangesScheduleTest : public ::testing::Test
{
protected:
  /** Whether any of some days shows that a rule is weakened. */
  static bool IsDetected(const ProtocolRules& aRules)
  {
    constexpr uint32_t kMaxRuns = 400;
    for (uint32_t seed = 1; seed <= kMaxRuns; ++seed) {
      const auto violation = Simulation(seed, aRules).Run();
      if (!violation.empty() && violation != kNotRecovered) {
        return true;
      }
    }
    return false;
  }

  ProtocolRules m_rules;
};

RC_GTEST_FIXTURE_PROP(RangesScheduleTest,
                      Play_AnyFaults_OneHolderRisingFencesAndServedAgain,
                      ())
{
  const auto seed = *rc::gen::arbitrary<uint32_t>();
  RC_ASSERT(Simulation(seed, m_rules).Run() == std::string());
}

TEST_F(RangesScheduleTest, Mutation_TakeoverTooSoon_IsNoticed)
{
  m_rules.takeoverWait = milliseconds(1500);
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_LeaseIgnored_IsNoticed)
{
  m_rules.checksLease = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_LeaseRenewedWhileSuspected_IsNoticed)
{
  m_rules.checksSuspicion = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_SilentServerGivenUpAtOnce_IsNoticed)
{
  m_rules.waitsForHolds = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_RangeHandedOnBeforeItsRelease_IsNoticed)
{
  m_rules.waitsForRelease = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_AppendsWithoutCondition_IsNoticed)
{
  m_rules.conditionalAppends = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_FencesUsedAgain_IsNoticed)
{
  m_rules.increasesFences = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

}
