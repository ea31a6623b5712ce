#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

class RangeTableTest : public ::testing::Test
{
protected:
  RangeTable m_table;
};

void
ExpectFullCoverage(const RangeRows& aRows)
{
  uint32_t next = 0;
  for (const auto& row : aRows) {
    RC_ASSERT(row.range.first == next);
    RC_ASSERT(row.range.last >= row.range.first);
    next = row.range.last + 1;
  }
  RC_ASSERT(next == kShardKeys);
}

TEST_F(RangeTableTest, Find_UnknownService_IsOneFreeRow)
{
  const auto* row = m_table.Find(kOrders, ShardKey(7));
  ASSERT_NE(row, nullptr);
  EXPECT_TRUE(row->IsFree());
  EXPECT_EQ(row->range, KeyRange());
}

TEST_F(RangeTableTest, Assign_MiddleOfRow_SplitsIt)
{
  m_table.Assign(kOrders, KeyRange{}, HolderOf("a"), {});
  m_table.Assign(kOrders, { 100, 199 }, HolderOf("b"), "token");
  EXPECT_EQ(m_table.Find(kOrders, ShardKey(99))->holder, HolderOf("a"));
  EXPECT_EQ(m_table.Find(kOrders, ShardKey(100))->holder, HolderOf("b"));
  EXPECT_EQ(m_table.Find(kOrders, ShardKey(150))->handover, "token");
  EXPECT_EQ(m_table.Find(kOrders, ShardKey(200))->holder, HolderOf("a"));
}

TEST_F(RangeTableTest, Assign_RestOfSplitRow_KeepsItsFence)
{
  m_table.Assign(kOrders, KeyRange{}, HolderOf("a"), {});
  const auto before = m_table.Find(kOrders, ShardKey(0))->fence;
  m_table.Assign(kOrders, { 0, 9 }, HolderOf("b"), {});
  EXPECT_EQ(m_table.Find(kOrders, ShardKey(10))->fence, before);
}

TEST_F(RangeTableTest, Suspect_Twice_KeepsTheNumber)
{
  const auto number = m_table.Suspect(HostName("a"));
  EXPECT_EQ(m_table.Suspect(HostName("a")), number);
  m_table.DropSuspicion(HostName("a"));
  EXPECT_GT(m_table.Suspect(HostName("a")), number);
}

RC_GTEST_FIXTURE_PROP(RangeTableTest,
                      Edits_Random_CoverAllKeysUnderRisingFences,
                      ())
{
  std::vector<int64_t> fences(64, 0); // Highest fence of every 1024th key.
  const auto steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const auto first = *rc::gen::inRange<uint32_t>(0, kShardKeys);
    const auto last = *rc::gen::inRange<uint32_t>(first, kShardKeys);
    const auto host = std::string(1, *rc::gen::element('a', 'b', 'c'));
    const KeyRange range{ first, last };
    const bool assign = *rc::gen::arbitrary<bool>();
    if (assign) {
      m_table.Assign(kOrders, range, HolderOf(host), {});
    } else {
      m_table.Free(kOrders, range, {});
    }
    ExpectFullCoverage(m_table.RowsOf(kOrders));
    for (size_t index = 0; index < fences.size(); ++index) {
      const ShardKey key(static_cast<uint32_t>(index) * 1024);
      const auto* row = m_table.Find(kOrders, key);
      RC_ASSERT(row->range.Contains(key));
      if (range.Contains(key)) {
        RC_ASSERT(row->IsFree() == !assign);
        RC_ASSERT(!assign || row->fence.Value() > fences[index]);
        fences[index] = std::max(fences[index], row->fence.Value());
      }
    }
  }
}

TEST(MeshStateTest, Apply_EncodedRecords_RoundTrip)
{
  RangeTable table;
  table.Assign(kOrders, { 0, 99 }, HolderOf("a"), "token");
  table.Suspect(HostName("b"));
  const auto state = StateOf({ RecordOf("a"), RecordOf("b") }, table);
  EXPECT_EQ(state.Table(), table);
  ASSERT_NE(state.FindHost(HostName("a")), nullptr);
  EXPECT_EQ(*state.FindHost(HostName("a")), RecordOf("a"));
}

TEST(MeshStateTest, Apply_MalformedRecord_ThrowsAndChangesNothing)
{
  auto state = StateOf({ RecordOf("a") });
  EXPECT_THROW(state.Apply(StoreEntry{ "ranges", "\x01garbage", 3 }),
               RangesError);
  EXPECT_THROW(state.Apply(StoreEntry{ "other", "x", 4 }), RangesError);
  EXPECT_THROW(state.Apply(StoreEntry{ "host/a", "", 5 }), RangesError);
  EXPECT_NE(state.FindHost(HostName("a")), nullptr);
}

TEST(MeshStateTest, HolderOf_NewIncarnation_IsNull)
{
  RangeTable table;
  table.Assign(kOrders, KeyRange{}, HolderOf("a"), {});
  auto state = StateOf({ RecordOf("a") }, table);
  const auto& row = table.RowsOf(kOrders).front();
  EXPECT_NE(state.HolderOf(row), nullptr);
  auto restarted = RecordOf("a");
  restarted.server->incarnation = IncarnationOf("server-a", 2000);
  state.Apply(EncodeHost(restarted));
  EXPECT_EQ(state.HolderOf(row), nullptr);
}

TEST(MeshStateTest, Suspected_RefutedByTheHost_IsFalse)
{
  RangeTable table;
  const auto number = table.Suspect(HostName("a"));
  auto state = StateOf({ RecordOf("a") }, table);
  EXPECT_TRUE(state.Suspected(HostName("a")));
  EXPECT_FALSE(state.CanTakeKeys(*state.FindHost(HostName("a"))));
  auto refuted = RecordOf("a");
  refuted.refutedUpTo = number;
  state.Apply(EncodeHost(refuted));
  EXPECT_FALSE(state.Suspected(HostName("a")));
}

}
