#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ownership/ViewSupport.h"

namespace pistachioshift {
namespace {

class ReplayTest : public ::testing::Test
{
protected:
  ReplayTest()
  {
    for (uint64_t index = 0; index < 5; ++index) {
      m_daemons.push_back(m_stream.Join(index));
    }
    m_stream.ClaimTerm(m_daemons[0]);
  }

  Offset Current() const
  {
    return m_stream.view.FindChain(m_key)->Current().offset;
  }

  Stream m_stream;
  std::vector<DaemonId> m_daemons;
  EntryKey m_key = RangeKey(0);
};

TEST_F(ReplayTest, Assign_OldTerm_IsRefused)
{
  const auto old = m_stream.view.Term();
  m_stream.ClaimTerm(m_daemons[1]);
  const AssignRecord record{ old.term,
                             old.planner,
                             { { m_key, {}, m_daemons[0], {} } } };
  EXPECT_EQ(m_stream.Append(record).refusal, Refusal::kNotPlanner);
}

TEST_F(ReplayTest, PlannerTerm_AgainstOldTerm_IsRefused)
{
  const PlannerTermRecord delayed{ m_daemons[2], Offset(0) };
  EXPECT_EQ(m_stream.Append(delayed).refusal, Refusal::kTermChanged);
}

TEST_F(ReplayTest, Route_EntryNotYetHeld_ListsItsHoldersBeforeOldOnes)
{
  // If the holder is lost, only holders of the newest entry can take over.
  m_stream.Assign(m_key, {}, { m_daemons[0], m_daemons[1], m_daemons[2] });
  const auto base = Current();
  m_stream.Hold(m_key, m_daemons[0]);
  m_stream.Assign(m_key, base, { m_daemons[0], m_daemons[3], m_daemons[1] });
  const std::vector<DaemonId> expected{
    m_daemons[0], m_daemons[3], m_daemons[1], m_daemons[2]
  };
  EXPECT_EQ(m_stream.view.Route(m_key), expected);
}

TEST_F(ReplayTest, Assign_BaseNotHeld_IsRefused)
{
  ASSERT_TRUE(
    m_stream.Assign(m_key, {}, { m_daemons[0], m_daemons[1] }).Accepted());
  const auto base = Current();
  const auto move =
    m_stream.Assign(m_key, base, { m_daemons[2], m_daemons[1] });
  EXPECT_EQ(move.refusal, Refusal::kBaseNotHeld);
  m_stream.Hold(m_key, m_daemons[0]);
  EXPECT_TRUE(
    m_stream.Assign(m_key, base, { m_daemons[2], m_daemons[1] }).Accepted());
  EXPECT_EQ(m_stream.view.FindChain(m_key)->entries.size(), 2U);
}

TEST_F(ReplayTest, Assign_BaseReplaced_IsRefused)
{
  m_stream.Assign(m_key, {}, { m_daemons[0] });
  const auto base = Current();
  m_stream.Hold(m_key, m_daemons[0]);
  m_stream.Assign(m_key, base, { m_daemons[1] });
  EXPECT_EQ(m_stream.Assign(m_key, base, { m_daemons[2] }).refusal,
            Refusal::kBaseNotCurrent);
}

TEST_F(ReplayTest, Assign_AllHoldersGone_NeedsNoHeldBase)
{
  m_stream.Assign(m_key, {}, { m_daemons[3], m_daemons[4] });
  for (const auto gone : { m_daemons[3], m_daemons[4] }) {
    m_stream.Append(GoneRecord{ gone, m_daemons[0], GoneCause::kSealed });
  }
  EXPECT_TRUE(m_stream.Assign(m_key, Current(), { m_daemons[1] }).Accepted());
}

TEST_F(ReplayTest, Assign_LeavingDaemon_IsRefused)
{
  m_stream.Append(LeavingRecord{ m_daemons[3] });
  EXPECT_EQ(m_stream.Assign(m_key, {}, { m_daemons[3] }).refusal,
            Refusal::kBadSuccession);
}

TEST_F(ReplayTest, Held_CurrentEntry_EndsOldChain)
{
  m_stream.Assign(m_key, {}, { m_daemons[0], m_daemons[1] });
  m_stream.Hold(m_key, m_daemons[0]);
  m_stream.Assign(m_key, Current(), { m_daemons[2], m_daemons[1] });
  ASSERT_TRUE(m_stream.Hold(m_key, m_daemons[2]).Accepted());
  EXPECT_EQ(m_stream.view.FindChain(m_key)->entries.size(), 1U);
  EXPECT_FALSE(m_stream.view.EntriesOf(m_daemons[0]).contains(m_key));
  EXPECT_TRUE(m_stream.view.EntriesOf(m_daemons[1]).contains(m_key));
}

TEST_F(ReplayTest, Held_LowerRankLater_KeepsHigherRank)
{
  m_stream.Assign(m_key, {}, { m_daemons[0], m_daemons[1] });
  m_stream.Hold(m_key, m_daemons[1]);
  m_stream.Hold(m_key, m_daemons[0]);
  EXPECT_EQ(m_stream.view.FindChain(m_key)->Current().held, Rank(1));
}

TEST_F(ReplayTest, Gone_ByGoneDaemon_IsRefused)
{
  m_stream.Append(GoneRecord{ m_daemons[1], m_daemons[0], GoneCause::kSealed });
  const GoneRecord back{ m_daemons[0], m_daemons[1], GoneCause::kSealed };
  EXPECT_EQ(m_stream.Append(back).refusal, Refusal::kDaemonGone);
}

TEST_F(ReplayTest, Join_WithPrevious_RemovesPrevious)
{
  auto join = MakeJoin(1);
  join.previous = m_daemons[1];
  m_stream.Append(join);
  EXPECT_EQ(m_stream.view.FindMember(m_daemons[1]), nullptr);
  EXPECT_EQ(m_stream.view.FindGone(m_daemons[1])->cause, GoneCause::kLeft);
}

TEST_F(ReplayTest, Witnesses_PendingSet_BlocksNext)
{
  const auto leaseholder = m_daemons[0];
  m_stream.Append(WitnessSetRecord{ leaseholder, Offset(), { m_daemons[1] } });
  const auto first = Offset(m_stream.offset);
  m_stream.Append(WitnessSetRecord{ leaseholder, first, { m_daemons[2] } });
  const auto second = Offset(m_stream.offset);
  const WitnessSetRecord third{ leaseholder, first, { m_daemons[3] } };
  EXPECT_EQ(m_stream.Append(third).refusal, Refusal::kSetChanged);
  EXPECT_TRUE(m_stream.view.LeaseholdersOf(m_daemons[1]).contains(leaseholder));
  EXPECT_TRUE(m_stream.Append(WitnessSetSwitchedRecord{ leaseholder, second })
                .Accepted());
  EXPECT_FALSE(
    m_stream.view.LeaseholdersOf(m_daemons[1]).contains(leaseholder));
  EXPECT_TRUE(m_stream.view.LeaseholdersOf(m_daemons[2]).contains(leaseholder));
}

TEST_F(ReplayTest, Witnesses_EmptySetWithOtherMembers_IsRefused)
{
  const WitnessSetRecord lone{ m_daemons[0], Offset(), {} };
  EXPECT_EQ(m_stream.Append(lone).refusal, Refusal::kBadWitnesses);
}

TEST_F(ReplayTest, Retire_MajorityOfWitnessesGone_IsAccepted)
{
  const auto leaseholder = m_daemons[0];
  const std::vector set{ m_daemons[1], m_daemons[2], m_daemons[3] };
  m_stream.Append(WitnessSetRecord{ leaseholder, Offset(), set });
  const RetireRecord retire{ leaseholder, Offset(m_stream.offset) };
  m_stream.Append(GoneRecord{ m_daemons[1], m_daemons[4], GoneCause::kSealed });
  EXPECT_EQ(m_stream.Append(retire).refusal, Refusal::kWitnessesRemain);
  m_stream.Append(GoneRecord{ m_daemons[2], m_daemons[4], GoneCause::kSealed });
  EXPECT_TRUE(m_stream.Append(retire).Accepted());
}

TEST_F(ReplayTest, Pin_ThenMove_LeavesRangeInPlace)
{
  m_stream.Assign(m_key, {}, { m_daemons[0], m_daemons[1] });
  m_stream.Hold(m_key, m_daemons[0]);
  const EntryKey pin{ m_key.service, m_key.range, "outlet-7" };
  const auto& term = m_stream.view.Term();
  ASSERT_TRUE(
    m_stream.Append(PinRecord{ term.term, term.planner, { pin } }).Accepted());
  EXPECT_EQ(*m_stream.view.FindChain(pin), *m_stream.view.FindChain(m_key));
  ASSERT_TRUE(m_stream.Assign(pin, Current(), { m_daemons[2] }).Accepted());
  EXPECT_EQ(m_stream.view.Route(pin),
            (std::vector{ m_daemons[0], m_daemons[2], m_daemons[1] }));
  EXPECT_EQ(m_stream.view.Resolve(m_key.service, m_key.range, "outlet-7"), pin);
  EXPECT_EQ(m_stream.view.Resolve(m_key.service, m_key.range, "outlet-8"),
            m_key);
}

TEST_F(ReplayTest, Unpin_SameSuccession_CreatesNewRangeEntry)
{
  m_stream.Assign(m_key, {}, { m_daemons[0] });
  m_stream.Hold(m_key, m_daemons[0]);
  const EntryKey pin{ m_key.service, m_key.range, "outlet-7" };
  const auto term = m_stream.view.Term();
  m_stream.Append(PinRecord{ term.term, term.planner, { pin } });
  const UnpinRecord unpin{ term.term, term.planner, { pin } };
  ASSERT_TRUE(m_stream.Append(unpin).Accepted());
  EXPECT_EQ(m_stream.view.FindChain(pin), nullptr);
  EXPECT_EQ(Current(), Offset(m_stream.offset));
}

/** \brief Draws records, many but not all of which a view accepts. */
OwnershipRecord
DrawRecord(const OwnershipView& aView)
{
  const auto daemon = [] { return DaemonId(*rc::gen::inRange(1, 12)); };
  const auto key = RangeKey(*rc::gen::inRange(0U, 3U));
  const auto* chain = aView.FindChain(key);
  std::optional<Offset> base;
  if (chain != nullptr) {
    base = chain->Current().offset;
  }
  const auto entry = base.value_or(Offset());
  const auto leaseholder = daemon();
  const auto* sets = aView.FindWitnesses(leaseholder);
  const auto set = sets == nullptr ? Offset() : sets->current.offset;
  const auto term = aView.Term();
  switch (*rc::gen::inRange(0, 10)) {
    case 0:
      return MakeJoin(*rc::gen::inRange(0U, 9U));
    case 1:
      return LeavingRecord{ daemon() };
    case 2:
      return GoneRecord{ daemon(), daemon(), GoneCause::kSealed };
    case 3:
      return PlannerTermRecord{ daemon(), term.term };
    case 4:
      return WitnessSetRecord{ leaseholder, set, { daemon(), daemon() } };
    case 5:
      return RetireRecord{ leaseholder, set };
    case 6:
      return PassRecord{ daemon(), { { key, entry } } };
    case 7:
      return HeldRecord{ daemon(), { { key, entry, Rank(0) } } };
    case 8:
      return PinRecord{ term.term,
                        term.planner,
                        { { key.service, key.range, "hot" } } };
    default:
      return AssignRecord{ term.term,
                           term.planner,
                           { { key, base, daemon(), { daemon() } } } };
  }
}

RC_GTEST_FIXTURE_PROP(ReplayTest,
                      Snapshot_Restored_AppliesRecordsLikeOriginal,
                      ())
{
  const auto before = *rc::gen::inRange(0, 40);
  const auto after = *rc::gen::inRange(0, 40);
  for (int count = 0; count < before; ++count) {
    m_stream.Append(DrawRecord(m_stream.view));
  }
  auto restored = OwnershipView::FromSnapshot(m_stream.view.Snapshot());
  RC_ASSERT(restored == m_stream.view);
  for (int count = 0; count < after; ++count) {
    const auto record = DrawRecord(m_stream.view);
    const auto verdict = m_stream.Append(record);
    const auto copy = restored.Apply(Offset(m_stream.offset), record);
    RC_ASSERT(copy.refusal == verdict.refusal);
    RC_ASSERT(copy.changed == verdict.changed);
  }
  RC_ASSERT(restored == m_stream.view);
}

RC_GTEST_FIXTURE_PROP(ReplayTest, Apply_AnyRecords_KeepsHeldBase, ())
{
  // Each entry before the current one is recorded as held, or all its holders
  // are gone.
  for (int count = 0; count < 60; ++count) {
    m_stream.Append(DrawRecord(m_stream.view));
    for (const auto& [key, chain] : m_stream.view.Entries()) {
      for (size_t index = 0; index + 1 < chain.entries.size(); ++index) {
        const auto& entry = chain.entries[index];
        const bool nobody =
          std::ranges::none_of(entry.holders, [&](DaemonId aDaemon) {
            return m_stream.view.FindMember(aDaemon) != nullptr;
          });
        RC_ASSERT(entry.held || nobody);
        RC_ASSERT(entry.offset < chain.entries[index + 1].offset);
      }
    }
  }
}

}
}
