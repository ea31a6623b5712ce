#include <gtest/gtest.h>

#include <fmt/format.h>

#include "src/Planner/Placement.h"

namespace pistachioshift {
namespace {

constexpr size_t kMembers = 6;
constexpr size_t kMaxAssignments = 128;

const ServiceName kService{ "orders" };
const EntryKey kKey{ kService, RangeIndex(0), {} };

class PlacementTest : public testing::Test
{
protected:
  void SetUp() override
  {
    ServicePolicy policy;
    policy.name = kService;
    policy.ranges = 1;
    m_policies[kService] = policy;
    for (size_t index = 0; index < kMembers; ++index) {
      JoinRecord join;
      join.boot = BootId(index + 1);
      join.host = HostName(fmt::format("host-{}", index));
      join.zone = ZoneName(fmt::format("zone-{}", index % 3));
      join.region = RegionName("region-1");
      join.services = { kService };
      join.slots = 1;
      m_members.emplace_back(Apply(join).Value());
    }
    m_term = Apply(PlannerTermRecord{ m_members.back(), Offset() });
  }

  Offset Apply(const OwnershipRecord& aRecord)
  {
    m_next = Offset(m_next.Value() + 1);
    const auto verdict = m_view.Apply(m_next, aRecord);
    EXPECT_TRUE(verdict.Accepted()) << ToString(verdict.refusal);
    return m_next;
  }

  Offset Assign(const std::vector<Assignment>& aAssignments)
  {
    return Apply(AssignRecord{ m_term, m_members.back(), aAssignments });
  }

  /**
   * Assigns an entry to member 0 with members 1 and 2 as successors; member 0
   * goes and member 1 takes the entry over.
   */
  Offset AssignEntryHeldBySuccessor()
  {
    const auto entry = Assign({ Assignment{
      kKey, std::nullopt, m_members[0], { m_members[1], m_members[2] } } });
    RemoveMember(m_members[0]);
    Apply(HeldRecord{ m_members[1], { { kKey, entry, Rank(1) } } });
    return entry;
  }

  void RemoveMember(DaemonId aDaemon)
  {
    Apply(GoneRecord{ aDaemon, m_members.back(), GoneCause::kSealed });
  }

  std::vector<Assignment> Plan()
  {
    return Placement(m_view, m_policies).Plan(kMaxAssignments, {});
  }

  OwnershipView m_view;
  ServicePolicies m_policies;
  std::vector<DaemonId> m_members;
  Offset m_term;
  Offset m_next;
};

TEST_F(PlacementTest,
       Plan_HolderAndItsSuccessorsGone_AssignsNewOwnerAcceptedByView)
{
  const auto entry = AssignEntryHeldBySuccessor();
  RemoveMember(m_members[2]);
  RemoveMember(m_members[1]);
  const auto plan = Plan();
  ASSERT_EQ(plan.size(), 1U);
  EXPECT_EQ(plan[0].base, entry);
  EXPECT_NE(m_view.FindMember(plan[0].owner), nullptr);
  Assign(plan);
}

TEST_F(PlacementTest, Plan_HolderGoneAndSuccessorRemains_NoAssignment)
{
  AssignEntryHeldBySuccessor();
  RemoveMember(m_members[1]);
  EXPECT_TRUE(Plan().empty());
}

TEST_F(PlacementTest, Plan_NeverHeldAndAllGone_AssignsNewOwnerAcceptedByView)
{
  Assign({ Assignment{ kKey, std::nullopt, m_members[0], { m_members[1] } } });
  RemoveMember(m_members[0]);
  RemoveMember(m_members[1]);
  const auto plan = Plan();
  ASSERT_EQ(plan.size(), 1U);
  Assign(plan);
}

TEST_F(PlacementTest, Plan_SuccessorGone_ReplacesSuccessorsOfTheHolder)
{
  AssignEntryHeldBySuccessor();
  RemoveMember(m_members[2]);
  const auto plan = Plan();
  ASSERT_EQ(plan.size(), 1U);
  EXPECT_EQ(plan[0].owner, m_members[1]);
  EXPECT_EQ(plan[0].successors.size(), kMaxSuccessors);
}

}
}
