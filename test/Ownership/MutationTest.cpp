#include <gtest/gtest.h>

#include "test/Ownership/NodeSupport.h"

namespace pistachioshift {
namespace {

using internal::Mutation;

constexpr uint64_t kMaxSchedules = 20000;

/** \brief Each mutation must violate a safety property in some schedule. */
class MutationTest : public ::testing::TestWithParam<Mutation>
{};

TEST_P(MutationTest, RandomFaults_RuleMutated_ViolatesProperty)
{
  for (uint64_t seed = 1; seed <= kMaxSchedules; ++seed) {
    if (const auto violation = RunSchedule(seed, GetParam())) {
      fmt::print("violated in schedule {}: {}\n", seed, *violation);
      EXPECT_EQ(RunSchedule(seed, Mutation::kNone), std::nullopt);
      return;
    }
  }
  FAIL() << "no schedule violates a property";
}

std::string
NameOf(const ::testing::TestParamInfo<Mutation>& aInfo)
{
  switch (aInfo.param) {
    case Mutation::kNone:
      return "None";
    case Mutation::kServeWithoutLease:
      return "R1ServeWithoutLease";
    case Mutation::kAdoptUnwitnessed:
      return "R2AdoptUnwitnessed";
    case Mutation::kFirstSetAlone:
      return "R2FirstSetAlone";
    case Mutation::kSealAtOnce:
      return "R3SealAtOnce";
    case Mutation::kOneSeal:
      return "R4OneSeal";
    case Mutation::kNoCatchUp:
      return "R4NoCatchUp";
    case Mutation::kIgnoreVersion:
      return "R5IgnoreVersion";
    case Mutation::kForgetOldChain:
      return "R5ForgetOldChain";
    case Mutation::kNoFenceWait:
      return "R6NoFenceWait";
    case Mutation::kReleaseBusy:
      return "R7ReleaseBusy";
    case Mutation::kSwitchUnwitnessed:
      return "R8SwitchUnwitnessed";
    case Mutation::kPlainLease:
      return "R8PlainLease";
    case Mutation::kRetireAtOnce:
      return "R8RetireAtOnce";
  }
  return "Unknown";
}

INSTANTIATE_TEST_SUITE_P(Rules,
                         MutationTest,
                         ::testing::Values(Mutation::kServeWithoutLease,
                                           Mutation::kAdoptUnwitnessed,
                                           Mutation::kFirstSetAlone,
                                           Mutation::kSealAtOnce,
                                           Mutation::kOneSeal,
                                           Mutation::kNoCatchUp,
                                           Mutation::kIgnoreVersion,
                                           Mutation::kForgetOldChain,
                                           Mutation::kNoFenceWait,
                                           Mutation::kReleaseBusy,
                                           Mutation::kSwitchUnwitnessed,
                                           Mutation::kPlainLease,
                                           Mutation::kRetireAtOnce),
                         NameOf);

}
}
