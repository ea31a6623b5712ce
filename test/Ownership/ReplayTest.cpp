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
      daemons.push_back(stream.Join(index));
    }
    stream.ClaimTerm(daemons[0]);
  }

  Offset Current() const
  {
    return stream.view.FindChain(key)->Current().offset;
  }

  Stream stream;
  std::vector<DaemonId> daemons;
  EntryKey key = RangeKey(0);
};

TEST_F(ReplayTest, Assign_OldTerm_IsRefused)
{
  const auto old = stream.view.Term();
  stream.ClaimTerm(daemons[1]);
  const AssignRecord record{ old.term,
                             old.planner,
                             { { key, {}, daemons[0], {} } } };
  EXPECT_EQ(stream.Append(record).refusal, Refusal::kNotPlanner);
}

TEST_F(ReplayTest, PlannerTerm_AgainstOldTerm_IsRefused)
{
  const PlannerTermRecord late{ daemons[2], Offset(0) };
  EXPECT_EQ(stream.Append(late).refusal, Refusal::kTermChanged);
}

TEST_F(ReplayTest, Assign_BaseNotHeld_IsRefused)
{
  ASSERT_TRUE(stream.Assign(key, {}, { daemons[0], daemons[1] }).Accepted());
  const auto base = Current();
  const auto move = stream.Assign(key, base, { daemons[2], daemons[1] });
  EXPECT_EQ(move.refusal, Refusal::kBaseNotHeld);
  stream.Hold(key, daemons[0]);
  EXPECT_TRUE(stream.Assign(key, base, { daemons[2], daemons[1] }).Accepted());
  EXPECT_EQ(stream.view.FindChain(key)->entries.size(), 2U);
}

TEST_F(ReplayTest, Assign_BaseReplaced_IsRefused)
{
  stream.Assign(key, {}, { daemons[0] });
  const auto base = Current();
  stream.Hold(key, daemons[0]);
  stream.Assign(key, base, { daemons[1] });
  EXPECT_EQ(stream.Assign(key, base, { daemons[2] }).refusal,
            Refusal::kBaseNotCurrent);
}

TEST_F(ReplayTest, Assign_AllHoldersGone_NeedsNoHeldBase)
{
  stream.Assign(key, {}, { daemons[3], daemons[4] });
  for (const auto gone : { daemons[3], daemons[4] }) {
    stream.Append(GoneRecord{ gone, daemons[0], GoneCause::kSealed });
  }
  EXPECT_TRUE(stream.Assign(key, Current(), { daemons[1] }).Accepted());
}

TEST_F(ReplayTest, Assign_LeavingDaemon_IsRefused)
{
  stream.Append(LeavingRecord{ daemons[3] });
  EXPECT_EQ(stream.Assign(key, {}, { daemons[3] }).refusal,
            Refusal::kBadSuccession);
}

TEST_F(ReplayTest, Held_CurrentEntry_EndsOldChain)
{
  stream.Assign(key, {}, { daemons[0], daemons[1] });
  stream.Hold(key, daemons[0]);
  stream.Assign(key, Current(), { daemons[2], daemons[1] });
  ASSERT_TRUE(stream.Hold(key, daemons[2]).Accepted());
  EXPECT_EQ(stream.view.FindChain(key)->entries.size(), 1U);
  EXPECT_FALSE(stream.view.EntriesOf(daemons[0]).contains(key));
  EXPECT_TRUE(stream.view.EntriesOf(daemons[1]).contains(key));
}

TEST_F(ReplayTest, Held_LowerRankLater_KeepsHigherRank)
{
  stream.Assign(key, {}, { daemons[0], daemons[1] });
  stream.Hold(key, daemons[1]);
  stream.Hold(key, daemons[0]);
  EXPECT_EQ(stream.view.FindChain(key)->Current().held, Rank(1));
}

TEST_F(ReplayTest, Gone_ByGoneDaemon_IsRefused)
{
  stream.Append(GoneRecord{ daemons[1], daemons[0], GoneCause::kSealed });
  const GoneRecord back{ daemons[0], daemons[1], GoneCause::kSealed };
  EXPECT_EQ(stream.Append(back).refusal, Refusal::kDaemonGone);
}

TEST_F(ReplayTest, Join_WithPrevious_RemovesPrevious)
{
  auto join = MakeJoin(1);
  join.previous = daemons[1];
  stream.Append(join);
  EXPECT_EQ(stream.view.FindMember(daemons[1]), nullptr);
  EXPECT_EQ(stream.view.FindGone(daemons[1])->cause, GoneCause::kLeft);
}

TEST_F(ReplayTest, Guardians_PendingSet_BlocksNext)
{
  const auto ward = daemons[0];
  stream.Append(GuardiansRecord{ ward, Offset(), { daemons[1] } });
  const auto first = Offset(stream.offset);
  stream.Append(GuardiansRecord{ ward, first, { daemons[2] } });
  const auto second = Offset(stream.offset);
  const GuardiansRecord third{ ward, first, { daemons[3] } };
  EXPECT_EQ(stream.Append(third).refusal, Refusal::kSetChanged);
  EXPECT_TRUE(stream.view.WardsOf(daemons[1]).contains(ward));
  EXPECT_TRUE(
    stream.Append(GuardiansSwitchedRecord{ ward, second }).Accepted());
  EXPECT_FALSE(stream.view.WardsOf(daemons[1]).contains(ward));
  EXPECT_TRUE(stream.view.WardsOf(daemons[2]).contains(ward));
}

TEST_F(ReplayTest, Guardians_EmptySetInCompany_IsRefused)
{
  const GuardiansRecord lone{ daemons[0], Offset(), {} };
  EXPECT_EQ(stream.Append(lone).refusal, Refusal::kBadGuardians);
}

TEST_F(ReplayTest, Retire_MajorityOfGuardiansGone_IsAccepted)
{
  const auto ward = daemons[0];
  const std::vector set{ daemons[1], daemons[2], daemons[3] };
  stream.Append(GuardiansRecord{ ward, Offset(), set });
  const RetireRecord retire{ ward, Offset(stream.offset) };
  stream.Append(GoneRecord{ daemons[1], daemons[4], GoneCause::kSealed });
  EXPECT_EQ(stream.Append(retire).refusal, Refusal::kGuardiansRemain);
  stream.Append(GoneRecord{ daemons[2], daemons[4], GoneCause::kSealed });
  EXPECT_TRUE(stream.Append(retire).Accepted());
}

TEST_F(ReplayTest, Pin_ThenMove_LeavesRangeInPlace)
{
  stream.Assign(key, {}, { daemons[0], daemons[1] });
  stream.Hold(key, daemons[0]);
  const EntryKey pin{ key.service, key.range, "outlet-7" };
  const auto& term = stream.view.Term();
  ASSERT_TRUE(
    stream.Append(PinRecord{ term.term, term.planner, { pin } }).Accepted());
  EXPECT_EQ(*stream.view.FindChain(pin), *stream.view.FindChain(key));
  ASSERT_TRUE(stream.Assign(pin, Current(), { daemons[2] }).Accepted());
  EXPECT_EQ(stream.view.Route(pin),
            (std::vector{ daemons[0], daemons[1], daemons[2] }));
  EXPECT_EQ(stream.view.Resolve(key.service, key.range, "outlet-7"), pin);
  EXPECT_EQ(stream.view.Resolve(key.service, key.range, "outlet-8"), key);
}

TEST_F(ReplayTest, Unpin_SameSuccession_CreatesNewRangeEntry)
{
  stream.Assign(key, {}, { daemons[0] });
  stream.Hold(key, daemons[0]);
  const EntryKey pin{ key.service, key.range, "outlet-7" };
  const auto term = stream.view.Term();
  stream.Append(PinRecord{ term.term, term.planner, { pin } });
  const UnpinRecord unpin{ term.term, term.planner, { pin } };
  ASSERT_TRUE(stream.Append(unpin).Accepted());
  EXPECT_EQ(stream.view.FindChain(pin), nullptr);
  EXPECT_EQ(Current(), Offset(stream.offset));
}

/** \brief Draws records that are often, not always, valid in a view. */
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
  const auto ward = daemon();
  const auto* sets = aView.FindGuardians(ward);
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
      return GuardiansRecord{ ward, set, { daemon(), daemon() } };
    case 5:
      return RetireRecord{ ward, set };
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

RC_GTEST_FIXTURE_PROP(ReplayTest, Snapshot_AnyPoint_ContinuesAlike, ())
{
  const auto before = *rc::gen::inRange(0, 40);
  const auto after = *rc::gen::inRange(0, 40);
  for (int count = 0; count < before; ++count) {
    stream.Append(DrawRecord(stream.view));
  }
  auto restored = OwnershipView::FromSnapshot(stream.view.Snapshot());
  RC_ASSERT(restored == stream.view);
  for (int count = 0; count < after; ++count) {
    const auto record = DrawRecord(stream.view);
    const auto verdict = stream.Append(record);
    const auto copy = restored.Apply(Offset(stream.offset), record);
    RC_ASSERT(copy.refusal == verdict.refusal);
    RC_ASSERT(copy.changed == verdict.changed);
  }
  RC_ASSERT(restored == stream.view);
}

RC_GTEST_FIXTURE_PROP(ReplayTest, Apply_AnyRecords_KeepsHeldBase, ())
{
  // A chain of more than one entry starts with a held one, or all before
  // the current entry are recorded as gone.
  for (int count = 0; count < 60; ++count) {
    stream.Append(DrawRecord(stream.view));
    for (const auto& [key, chain] : stream.view.Entries()) {
      for (size_t index = 0; index + 1 < chain.entries.size(); ++index) {
        const auto& entry = chain.entries[index];
        const bool nobody =
          std::ranges::none_of(entry.holders, [&](DaemonId aDaemon) {
            return stream.view.FindMember(aDaemon) != nullptr;
          });
        RC_ASSERT(entry.held || nobody);
        RC_ASSERT(entry.offset < chain.entries[index + 1].offset);
      }
    }
  }
}

}
}
