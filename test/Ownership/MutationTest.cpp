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
      EXPECT_EQ(RunSchedule(seed, Weakening::kNone), std::nullopt);
      return;
    }
  }
  FAIL() << "no property fails";
}

std::string
NameOf(const ::testing::TestParamInfo<Weakening>& aInfo)
{
  switch (aInfo.param) {
    case Weakening::kNone:
      return "None";
    case Weakening::kServeWithoutLease:
      return "R1ServeWithoutLease";
    case Weakening::kAdoptUnwitnessed:
      return "R2AdoptUnwitnessed";
    case Weakening::kFirstSetAlone:
      return "R2FirstSetAlone";
    case Weakening::kSealAtOnce:
      return "R3SealAtOnce";
    case Weakening::kOneSeal:
      return "R4OneSeal";
    case Weakening::kNoCatchUp:
      return "R4NoCatchUp";
    case Weakening::kIgnoreVersion:
      return "R5IgnoreVersion";
    case Weakening::kForgetOldChain:
      return "R5ForgetOldChain";
    case Weakening::kNoFenceWait:
      return "R6NoFenceWait";
    case Weakening::kReleaseBusy:
      return "R7ReleaseBusy";
    case Weakening::kSwitchUnwitnessed:
      return "R8SwitchUnwitnessed";
    case Weakening::kPlainLease:
      return "R8PlainLease";
    case Weakening::kRetireAtOnce:
      return "R8RetireAtOnce";
  }
  return "Unknown";
}

INSTANTIATE_TEST_SUITE_P(Rules,
                         MutationTest,
                         ::testing::Values(Weakening::kServeWithoutLease,
                                           Weakening::kAdoptUnwitnessed,
                                           Weakening::kFirstSetAlone,
                                           Weakening::kSealAtOnce,
                                           Weakening::kOneSeal,
                                           Weakening::kNoCatchUp,
                                           Weakening::kIgnoreVersion,
                                           Weakening::kForgetOldChain,
                                           Weakening::kNoFenceWait,
                                           Weakening::kReleaseBusy,
                                           Weakening::kSwitchUnwitnessed,
                                           Weakening::kPlainLease,
                                           Weakening::kRetireAtOnce),
                         NameOf);

}
}
