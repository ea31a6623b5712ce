#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

const WallTime kNow{ milliseconds(50) };

ServerLeave
LeaveOf(const std::string& aServer, int64_t aStartedBy)
{
  return { ServerId(aServer), WallTime(milliseconds(aStartedBy)) };
}

TEST(AcknowledgedLeavesTest, VerdictOn_LaterStartUnderTheSameId_IsPossible)
{
  AcknowledgedLeaves leaves;
  leaves.Add(LeaveOf("a", 10), kNow);
  EXPECT_EQ(leaves.VerdictOn(IncarnationOf("a", 10)), LeaveVerdict::kLeft);
  EXPECT_EQ(leaves.VerdictOn(IncarnationOf("a", 11)), LeaveVerdict::kPossible);
  EXPECT_EQ(leaves.VerdictOn(IncarnationOf("b", 10)), LeaveVerdict::kNone);
}

TEST(AcknowledgedLeavesTest, VerdictOn_StartIsNotStated_ThoseUntilNowHaveLeft)
{
  AcknowledgedLeaves leaves;
  leaves.Add({ ServerId("a") }, kNow);
  EXPECT_EQ(leaves.VerdictOn(IncarnationOf("a", 50)), LeaveVerdict::kLeft);
  EXPECT_EQ(leaves.VerdictOn(IncarnationOf("a", 51)), LeaveVerdict::kPossible);
}

TEST(AcknowledgedLeavesTest, VerdictOn_AfterMoreLeavesThanAreKept_IsPossible)
{
  AcknowledgedLeaves leaves;
  for (int server = 0; server < 100; ++server) {
    leaves.Add(LeaveOf(std::to_string(server), 10), kNow);
  }
  EXPECT_EQ(leaves.VerdictOn(IncarnationOf("0", 10)), LeaveVerdict::kPossible);
  EXPECT_EQ(leaves.VerdictOn(IncarnationOf("99", 10)), LeaveVerdict::kLeft);
}

/** Guards against any order of leaves by which one that was acknowledged is
 * forgotten. The model keeps all of them. */
RC_GTEST_PROP(AcknowledgedLeavesTest, Add_AnySequence_ForgetsNoLeave, ())
{
  AcknowledgedLeaves leaves;
  std::vector<ServerLeave> model;
  const auto number = [](int aLimit) { return *rc::gen::inRange(0, aLimit); };
  const int servers = 1 + number(60);
  const int count = number(200);
  for (int step = 0; step < count; ++step) {
    auto leave = LeaveOf(std::to_string(number(servers)), number(100));
    const bool stated = number(4) > 0;
    model.push_back(stated ? leave : ServerLeave{ leave.id, kNow });
    leaves.Add(stated ? leave : ServerLeave{ leave.id }, kNow);
  }
  for (int server = 0; server < servers; ++server) {
    for (int start = 0; start <= 100; ++start) {
      const auto incarnation = IncarnationOf(std::to_string(server), start);
      const bool left =
        std::any_of(model.begin(), model.end(), [&](const auto& aLeave) {
          return aLeave.Concerns(incarnation);
        });
      const auto verdict = leaves.VerdictOn(incarnation);
      RC_ASSERT(!left || verdict != LeaveVerdict::kNone);
      RC_ASSERT(left || verdict != LeaveVerdict::kLeft);
    }
  }
}

}
