#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ranges/SimulationSupport.h"

namespace pistachioshift::test {

/** Simulates hosts, backend servers and the store under random faults. */
class RangesScheduleTest : public ::testing::Test
{
protected:
  /** Whether any of the first kMaxRuns seeds shows a violation; the rarest one
   * needs a late release between two records of a restarted daemon. */
  static bool IsDetected(const ProtocolRules& aRules, bool aReturns = false)
  {
    constexpr uint32_t kMaxRuns = 2000;
    for (uint32_t seed = 1; seed <= kMaxRuns; ++seed) {
      const auto violation = Simulation(seed, aRules, aReturns).Run();
      if (!violation.empty() && violation != kNotRecovered) {
        return true;
      }
    }
    return false;
  }

  ProtocolRules m_rules;
};

RC_GTEST_FIXTURE_PROP(RangesScheduleTest,
                      Run_AnyFaults_OneHolderRisingFencesAndServedAgain,
                      ())
{
  const auto seed = *rc::gen::arbitrary<uint32_t>();
  RC_ASSERT(Simulation(seed, m_rules).Run() == std::string());
}

TEST_F(RangesScheduleTest, Mutation_TakeoverTooSoon_IsDetected)
{
  m_rules.takeoverWait = milliseconds(1500);
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_LeaseIgnored_IsDetected)
{
  m_rules.checksLease = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_LeaseRenewedWhileSuspected_IsDetected)
{
  m_rules.checksSuspicion = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_SilentServerExpiredAtOnce_IsDetected)
{
  m_rules.waitsForHolds = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_RangeReassignedBeforeItsRelease_IsDetected)
{
  m_rules.waitsForRelease = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_AppendsWithoutCondition_IsDetected)
{
  m_rules.conditionalAppends = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_ReleaseOfAnEarlierProcess_IsDetected)
{
  m_rules.checksReleaseEpoch = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

TEST_F(RangesScheduleTest, Mutation_FencesReused_IsDetected)
{
  m_rules.increasesFences = false;
  EXPECT_TRUE(IsDetected(m_rules));
}

RC_GTEST_FIXTURE_PROP(RangesScheduleTest,
                      Run_StoreReturnsFromCopies_OneHolderAndRisingFences,
                      ())
{
  const auto seed = *rc::gen::arbitrary<uint32_t>();
  RC_ASSERT(Simulation(seed, m_rules, true).Run() == std::string());
}

TEST_F(RangesScheduleTest, Mutation_LostFencesAreGivenOutAgain_IsDetected)
{
  m_rules.skipsLostFences = false;
  EXPECT_TRUE(IsDetected(m_rules, true));
}

TEST_F(RangesScheduleTest, Mutation_UnclaimedRowsAreFreeAtOnce_IsDetected)
{
  m_rules.settleWait = Duration{};
  EXPECT_TRUE(IsDetected(m_rules, true));
}

TEST_F(RangesScheduleTest, Mutation_UnconfirmedRowsAreGranted_IsDetected)
{
  m_rules.requiresConfirmation = false;
  EXPECT_TRUE(IsDetected(m_rules, true));
}

TEST_F(RangesScheduleTest, Mutation_RowsAreClaimedWithoutALease_IsDetected)
{
  m_rules.claimsUnderLease = false;
  EXPECT_TRUE(IsDetected(m_rules, true));
}

TEST_F(RangesScheduleTest, Mutation_RelinquishedRowsAreClaimed_IsDetected)
{
  m_rules.claimsHeldOnly = false;
  EXPECT_TRUE(IsDetected(m_rules, true));
}

}
