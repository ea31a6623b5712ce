#include <cmath>
#include <deque>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Planner/PlannerSupport.h"

namespace pistachioshift {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr seconds kRound(10);

class PlannerTest : public ::testing::Test
{
protected:
  // Zipf loads of exponent 1 that sum to about 1 over the first keys.
  static void SetZipf(PlannedWorld& aWorld, int aKeys, int aFirst)
  {
    for (int key = 0; key < aKeys; ++key) {
      const auto rank = static_cast<double>((key + aFirst) % aKeys + 1);
      aWorld.SetKey(fmt::format("outlet-{}", key), 1.0 / rank);
    }
  }

  size_t Run(PlannedWorld& aWorld, uint32_t aBudget, int aRounds)
  {
    size_t moves = 0;
    for (int round = 0; round < aRounds; ++round) {
      m_now += kRound;
      const auto report = aWorld.Report(m_random, 0.05);
      const auto proposals = m_planner.Plan(report, aBudget, m_now);
      moves += proposals.size();
      aWorld.Carry(proposals, m_now);
    }
    aWorld.Carry({}, m_now);
    return moves;
  }

  // Ranges of the given loads on servers 1 and 2.
  static ServiceLoad TwoServers(const std::vector<double>& aFirst,
                                const std::vector<double>& aSecond)
  {
    ServiceLoad load;
    load.servers = { { DaemonId(1) }, { DaemonId(2) } };
    for (const auto value : aFirst) {
      const EntryName name{ RangeIndex(load.entries.size()), "" };
      load.entries.push_back({ name, DaemonId(1), value });
    }
    for (const auto value : aSecond) {
      const EntryName name{ RangeIndex(load.entries.size()), "" };
      load.entries.push_back({ name, DaemonId(2), value });
    }
    return load;
  }

  std::vector<Proposal> PlanOften(const ServiceLoad& aLoad)
  {
    std::vector<Proposal> proposals;
    for (int round = 0; round < 10; ++round) {
      m_now += kRound;
      const auto next = m_planner.Plan(aLoad, 100, m_now);
      proposals.insert(proposals.end(), next.begin(), next.end());
    }
    return proposals;
  }

  Planner m_planner;
  RandomEngine m_random{ 11 };
  MonoTime m_now{ std::chrono::hours(1) };
};

void
CheckProposal(const PlannedWorld& aWorld,
              const std::vector<ServerCapacity>& aServers,
              const Proposal& aProposal,
              MonoTime aNow)
{
  const EntryName range{ aProposal.entry.range, "" };
  const bool pin = aProposal.kind == ProposalKind::kPin;
  const auto& entry = aWorld.Entries().at(pin ? range : aProposal.entry);
  RC_ASSERT(entry.owner == aProposal.from);
  RC_ASSERT(!aWorld.IsMoving(aProposal.entry.range));
  if (aProposal.kind == ProposalKind::kUnpin) {
    RC_ASSERT(aWorld.Entries().at(range).owner == entry.owner);
    return;
  }
  RC_ASSERT(aProposal.to != aProposal.from);
  RC_ASSERT(!entry.movedAt || aNow - *entry.movedAt >= PlannerSettings{}.rest);
  for (const auto& server : aServers) {
    RC_ASSERT(server.id != aProposal.to || server.takesEntries);
  }
}

// Keys, loads and servers change at random; proposals get lost.
RC_GTEST_FIXTURE_PROP(PlannerTest,
                      AnyLoads_Proposals_WithinBudgetAndNeverTwoAtOnce,
                      ())
{
  Planner planner;
  const auto budget = *rc::gen::inRange<uint32_t>(0, 12);
  PlannedWorld world(*rc::gen::inRange<uint32_t>(2, 6), 16);
  std::deque<MonoTime> moves;
  const auto rounds = *rc::gen::inRange(1, 60);
  for (int round = 0; round < rounds; ++round) {
    m_now += seconds(*rc::gen::inRange(5, 400));
    for (int change = 0; change < 10; ++change) {
      const auto load = *rc::gen::element(0, 10, 30, 100, 300);
      world.SetKey(std::to_string(*rc::gen::inRange(0, 40)), load);
    }
    for (auto& server : world.Servers()) {
      server.takesEntries = *rc::gen::inRange(0, 4) > 0;
    }
    const auto report = world.Report(m_random, 0.3);
    auto proposals = planner.Plan(report, budget, m_now);
    std::set<RangeIndex> ranges;
    for (const auto& proposal : proposals) {
      CheckProposal(world, world.Servers(), proposal, m_now);
      RC_ASSERT(ranges.insert(proposal.entry.range).second);
      if (proposal.kind != ProposalKind::kUnpin) {
        moves.push_back(m_now);
      }
    }
    while (!moves.empty() && m_now - moves.front() >= std::chrono::hours(1)) {
      moves.pop_front();
    }
    RC_ASSERT(moves.size() <= budget);
    std::erase_if(proposals,
                  [](const Proposal&) { return *rc::gen::inRange(0, 5) == 0; });
    if (*rc::gen::inRange(0, 3) > 0) {
      world.EndMoves(m_now);
    }
    world.BeginMoves(proposals);
  }
}

// Target: 1.15 of the least that whole keys allow.
RC_GTEST_FIXTURE_PROP(PlannerTest, StationaryLoad_Planned_ConvergesAndRests, ())
{
  m_planner = Planner();
  PlannedWorld world(*rc::gen::inRange<uint32_t>(3, 12), 128);
  const auto keys = *rc::gen::inRange(200, 600);
  SetZipf(world, keys, *rc::gen::inRange(0, keys));
  Run(world, 200, 90);
  RC_ASSERT(world.Imbalance() <= 1.15 * world.Least());
  const auto later = Run(world, 200, 360);
  RC_ASSERT(later <= 2U);
}

// Noise of a twentieth in each report; an hour after a start in disorder.
RC_GTEST_FIXTURE_PROP(PlannerTest, StationaryLoad_AnyBudget_NoPingPong, ())
{
  Planner planner;
  const auto budget = *rc::gen::inRange<uint32_t>(1, 100);
  PlannedWorld world(*rc::gen::inRange<uint32_t>(2, 12), 64);
  const auto keys = *rc::gen::inRange(20, 300);
  SetZipf(world, keys, *rc::gen::inRange(0, keys));
  std::map<EntryName, std::set<DaemonId>> left;
  for (int round = 0; round < 360; ++round) {
    m_now += kRound;
    const auto report = world.Report(m_random, 0.05);
    const auto proposals = planner.Plan(report, budget, m_now);
    for (const auto& proposal : proposals) {
      left[proposal.entry].insert(proposal.from);
      RC_ASSERT(proposal.kind == ProposalKind::kUnpin ||
                !left[proposal.entry].contains(proposal.to));
    }
    world.Carry(proposals, m_now);
  }
}

TEST_F(PlannerTest, HotSetChange_TwoMinutes_ImbalanceNearLeast)
{
  PlannedWorld world(10, 128);
  SetZipf(world, 500, 0);
  Run(world, 200, 90);
  SetZipf(world, 500, 137);
  const auto before = world.Imbalance();
  const auto moves = Run(world, 200, 12);
  EXPECT_GT(before, 1.15 * world.Least());
  EXPECT_LE(world.Imbalance(), 1.15 * world.Least());
  EXPECT_LT(moves, 60U);
}

TEST_F(PlannerTest, BelowStart_GainInReach_NoMove)
{
  const auto load = TwoServers({ 0.5, 0.5, 0.08 }, { 0.92 });
  EXPECT_TRUE(PlanOften(load).empty());
}

TEST_F(PlannerTest, AboveStart_GainBelowLeast_NoMove)
{
  const auto load = TwoServers({ 1.19, 0.01 }, { 0.8 });
  EXPECT_TRUE(PlanOften(load).empty());
}

TEST_F(PlannerTest, AboveStart_GainInReach_BestMoveOnThirdPlan)
{
  const auto load = TwoServers({ 1.0, 0.08, 0.12 }, { 0.8 });
  EXPECT_TRUE(m_planner.Plan(load, 10, m_now).empty());
  EXPECT_TRUE(m_planner.Plan(load, 10, m_now + kRound).empty());
  const auto proposals = m_planner.Plan(load, 10, m_now + 2 * kRound);
  ASSERT_FALSE(proposals.empty());
  EXPECT_EQ(proposals[0].entry.range, RangeIndex(2));
}

TEST_F(PlannerTest, LoadGrowsEvenly_Balanced_NoMove)
{
  PlannedWorld world(10, 128);
  SetZipf(world, 500, 0);
  Run(world, 200, 90);
  world.ScaleKeys(1.5);
  EXPECT_LE(Run(world, 200, 60), 1U);
}

TEST_F(PlannerTest, SlowServer_LowCapacity_LosesLoad)
{
  PlannedWorld world(10, 128);
  SetZipf(world, 500, 0);
  Run(world, 200, 90);
  world.Servers()[3].capacity = 0.1;
  const auto before = world.Imbalance();
  Run(world, 200, 60);
  EXPECT_LT(world.Imbalance(), before / 3.0);
}

TEST_F(PlannerTest, PinnedKeyCools_OnOwnerOfRange_Unpinned)
{
  PlannedWorld world(2, 4);
  const std::string key = "clinic-7";
  const auto range = RangeOfKey(key, 4);
  const EntryName name{ range, key };
  const auto home = world.Entries().at({ range, "" }).owner;
  world.Carry({ { ProposalKind::kPin, name, home, home } }, m_now);
  world.SetKey("other-1", 1.0);
  world.SetKey("other-2", 1.0);
  Run(world, 0, 120);
  EXPECT_FALSE(world.Entries().contains(name));
}

TEST_F(PlannerTest, Capacity_NotPositive_Throws)
{
  PlannedWorld world(2, 4);
  world.Servers()[0].capacity = 0.0;
  EXPECT_THROW(Run(world, 10, 1), PlannerError);
}

}
}
