#include <gtest/gtest.h>

#include "test/Ownership/NodeSupport.h"

namespace pistachioshift {
namespace {

using internal::Weakening;

constexpr uint64_t kMostSchedules = 20000;

/** \brief Each weakened rule must break a property in some schedule. */
class MutationTest : public ::testing::TestWithParam<Weakening>
{};

TEST_P(MutationTest, RandomFaults_RuleWeakened_BreaksProperty)
{
  for (uint64_t seed = 1; seed <= kMostSchedules; ++seed) {
    if (const auto violation = RunSchedule(seed, GetParam())) {
      fmt::print("after {} schedules: {}\n", seed, *violation);
      return;
    }
  }
  FAIL() << "no property fails";
}

INSTANTIATE_TEST_SUITE_P(Rules,
                         MutationTest,
                         ::testing::Values(Weakening::kServeWithoutLease,
                                           Weakening::kAdoptUnwitnessed,
                                           Weakening::kSealAtOnce,
                                           Weakening::kOneSeal,
                                           Weakening::kForgetOldChain,
                                           Weakening::kNoFenceWait,
                                           Weakening::kReleaseBusy,
                                           Weakening::kSwitchUnwitnessed,
                                           Weakening::kRetireAtOnce));

}
}
