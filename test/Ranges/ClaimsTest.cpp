#include <gtest/gtest.h>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

/** A table that has gone back with the store, and the hosts' claims. */
class ClaimsTest : public ::testing::Test
{
protected:
  /** State of an era in which nothing but the copy of a table is stored. */
  MeshState Returned(int64_t aEra, const RangeTable& aCopy) const
  {
    MeshState state(StoreEra(aEra), true, 0);
    state.Apply(EncodeTable(aCopy));
    return state;
  }

  /** Table of two hosts, written in the first era. */
  static RangeTable TwoRows()
  {
    RangeTable table;
    table.era = kFirst;
    table.writtenEra = kFirst;
    table.revision = 1;
    table.Assign(kOrders, { 0, 99 }, HolderOf("a"), {});
    table.Assign(kOrders, { 100, kShardKeys - 1 }, HolderOf("b"), {});
    return table;
  }

  static HostRecord Claiming(const std::string& aHost,
                             std::vector<ClaimedRange> aClaims)
  {
    auto record = RecordOf(aHost);
    record.era = kSecond;
    record.claims = std::move(aClaims);
    return record;
  }

  static const RangeRow& RowAt(const RangeTable& aTable, uint32_t aKey)
  {
    return *aTable.Find(kOrders, ShardKey(aKey));
  }

  static constexpr StoreEra kFirst{ 1 };
  static constexpr StoreEra kSecond{ 2 };
};

/** Guards against fences that a lost assignment has already used. */
TEST_F(ClaimsTest, Assign_AfterTheReturn_FenceIsAboveAllLostOnes)
{
  const auto copy = TwoRows();
  auto lost = copy;
  for (int move = 0; move < 1000; ++move) {
    lost.Assign(kOrders, { 0, 99 }, HolderOf(move % 2 == 0 ? "b" : "a"), {});
  }
  auto table = Returned(2, copy).Table();
  table.Settle();
  table.Assign(kOrders, { 0, 99 }, HolderOf("a"), {});
  EXPECT_GT(RowAt(table, 0).fence, RowAt(lost, 0).fence);
}

TEST_F(ClaimsTest, Assign_SecondReturnLosesTheFirst_FenceIsAboveBoth)
{
  const auto copy = TwoRows();
  auto second = Returned(2, copy).Table();
  second.Settle();
  second.Assign(kOrders, { 0, 99 }, HolderOf("b"), {});
  auto third = Returned(3, copy).Table(); // A copy of the first era.
  third.Settle();
  third.Assign(kOrders, { 0, 99 }, HolderOf("a"), {});
  EXPECT_GT(RowAt(third, 0).fence, RowAt(second, 0).fence);
}

/** Guards against a row that is granted, routed to or assigned again because an
 * older table names its holder. */
TEST_F(ClaimsTest, Rows_BeforeTheyAreConfirmed_HaveNoHolderAndStayUnassigned)
{
  auto state = Returned(2, TwoRows());
  state.Apply(EncodeHost(RecordOf("a")));
  const auto& row = RowAt(state.Table(), 0);
  EXPECT_TRUE(row.unconfirmed);
  EXPECT_EQ(state.HolderOf(row), nullptr);
  EXPECT_FALSE(state.MayReassign(row));
}

/** Guards against rows that are free for all because the copy is older than the
 * table. */
TEST_F(ClaimsTest, Rows_CopyHasNoTable_AreUnconfirmed)
{
  const MeshState state(kSecond, true, 0);
  EXPECT_FALSE(state.MayReassign(RowAt(state.Table(), 0)));
}

TEST_F(ClaimsTest, Rows_HostStartsAfterTheReturnAndThereIsNoTable_ClaimsCount)
{
  MeshState state(kSecond, false, 0);
  EXPECT_TRUE(state.MayReassign(RowAt(state.Table(), 0)));
  state.Apply(EncodeHost(Claiming("b", { { { 0, 9 }, Fence(7), "" } })));
  EXPECT_FALSE(state.MayReassign(RowAt(state.Table(), 50)));
}

TEST_F(ClaimsTest, Rows_HostStartsAfterTheReturnAndThereIsNoTable_RecordsCount)
{
  MeshState state(kSecond, false, 0);
  auto record = RecordOf("b");
  record.era = kFirst;
  state.Apply(EncodeHost(record));
  EXPECT_FALSE(state.MayReassign(RowAt(state.Table(), 50)));
}

TEST_F(ClaimsTest, ConfirmClaims_RowMovedSinceTheCopy_ClaimWins)
{
  auto state = Returned(2, TwoRows());
  state.Apply(EncodeHost(Claiming("b", { { { 40, 99 }, Fence(9), "t" } })));
  auto table = state.Table();
  EXPECT_TRUE(ConfirmClaims(table, state));
  const RangeRow expected{ { 40, 99 }, HolderOf("b"), Fence(9), "t" };
  EXPECT_EQ(RowAt(table, 40), expected);
  EXPECT_TRUE(RowAt(table, 39).unconfirmed);
  EXPECT_TRUE(AreConfirmed(table, kOrders, { { { 40, 99 }, Fence(9), "" } }));
  EXPECT_FALSE(AreConfirmed(table, kOrders, { { { 39, 99 }, Fence(9), "" } }));
  EXPECT_FALSE(ConfirmClaims(table, state)); // Nothing is left to confirm.
}

TEST_F(ClaimsTest, ConfirmClaims_RecordIsOfAnEarlierEra_IsIgnored)
{
  auto state = Returned(3, TwoRows());
  state.Apply(EncodeHost(Claiming("a", { { { 0, 99 }, Fence(1), "" } })));
  auto table = state.Table();
  EXPECT_FALSE(ConfirmClaims(table, state));
}

/** Guards against a late claim that takes a row from its new holder. */
TEST_F(ClaimsTest, ConfirmClaims_RowWasAssignedInTheNewEra_KeepsItsHolder)
{
  auto state = Returned(2, TwoRows());
  state.Apply(EncodeHost(Claiming("a", { { { 0, 99 }, Fence(1), "" } })));
  auto table = state.Table();
  table.Settle();
  table.Assign(kOrders, { 0, 99 }, HolderOf("b"), {});
  EXPECT_FALSE(ConfirmClaims(table, state));
  EXPECT_EQ(RowAt(table, 0).holder, HolderOf("b"));
}

/** Guards against a release of an earlier era that frees a row which has moved
 * since the copy. */
TEST_F(ClaimsTest, ReassignRelinquished_RowIsUnconfirmed_ChangesNothing)
{
  const auto state = Returned(2, TwoRows());
  auto table = state.Table();
  const RangeRelease release{ kOrders,
                              HolderOf("a"),
                              { { { 0, 99 }, Fence(1), "", std::nullopt } },
                              std::nullopt };
  EXPECT_FALSE(ReassignRelinquished(table, state, release));
}

/** Guards against an append of an earlier era that is done late and replaces
 * the table of this one. */
TEST_F(ClaimsTest, Apply_TableOfAnEarlierEraFollows_IsRejected)
{
  auto state = Returned(2, TwoRows());
  auto table = state.Table();
  table.writtenEra = kSecond;
  ++table.revision;
  table.Settle();
  table.Assign(kOrders, { 0, 99 }, HolderOf("b"), {});
  state.Apply(EncodeTable(table));
  EXPECT_THROW(state.Apply(EncodeTable(TwoRows())), OutdatedTableError);
  EXPECT_EQ(state.Table(), table);
}

/** Guards against a change that is applied to a table of the same revision, but
 * of another era. */
TEST_F(ClaimsTest, ApplyTableChange_BaseIsOfAnotherEra_IsRejected)
{
  auto before = Returned(2, TwoRows()).Table();
  before.writtenEra = kSecond;
  auto after = before;
  ++after.revision;
  after.Settle();
  const auto change = DiffTables(before, after);
  ASSERT_TRUE(change);
  EXPECT_EQ(ApplyTableChange(before, *change), after);
  const auto other = Returned(2, TwoRows()).Table(); // Same revision.
  EXPECT_EQ(ApplyTableChange(other, *change), std::nullopt);
}

/** Guards against a running host that loses its keys because an append of an
 * earlier era, done late, has removed its record. */
TEST_F(ClaimsTest, MayReassign_HolderHasNoRecord_KeepsTheHolder)
{
  auto table = TwoRows();
  const auto state = StateOf({ RecordOf("b") }, table);
  EXPECT_EQ(state.HolderOf(RowAt(table, 0)), nullptr);
  EXPECT_FALSE(state.MayReassign(RowAt(table, 0)));
}

TEST_F(ClaimsTest, Claims_PartWasRelinquished_IsLeftOut)
{
  const MonoTime now{ std::chrono::hours(1) };
  GrantManager grants(GrantSettings{}, now);
  const RangeRow row{ { 0, 99 }, HolderOf("a"), Fence(3), "" };
  ServerHeartbeat heartbeat;
  heartbeat.incarnation = HolderOf("a").incarnation;
  heartbeat.service = kOrders;
  heartbeat.holds.emplace();
  heartbeat.sequence = 1;
  grants.OnHeartbeat(heartbeat, { row }, std::chrono::seconds(6), now);
  grants.Revoke({ 50, 99 }, Fence(3), std::nullopt);
  ASSERT_EQ(grants.Claims({ row }).size(), 1U); // It may still be held.
  EXPECT_EQ(grants.Claims({ row })[0].range, row.range);
  for (heartbeat.sequence = 2; heartbeat.sequence <= 3; ++heartbeat.sequence) {
    heartbeat.holds = { { { 0, 49 }, Fence(3) } };
    grants.OnHeartbeat(heartbeat, { row }, std::chrono::seconds(6), now);
  }
  ASSERT_EQ(grants.Claims({ row }).size(), 1U);
  EXPECT_EQ(grants.Claims({ row })[0].range, (KeyRange{ 0, 49 }));
  ASSERT_EQ(grants.RelinquishedAmong({ row }).size(), 1U);
  EXPECT_EQ(grants.RelinquishedAmong({ row })[0].range, (KeyRange{ 50, 99 }));
}

TEST_F(ClaimsTest, EncodeTable_UnsettledTable_IsTheSameAfterDecoding)
{
  auto table = Returned(2, TwoRows()).Table();
  table.writtenEra = kSecond;
  table.Confirm(kOrders, { { 0, 9 }, HolderOf("b"), Fence(5), "t" });
  MeshState state(kSecond, false, 0);
  state.Apply(EncodeTable(table));
  EXPECT_EQ(state.Table(), table);
}

}
