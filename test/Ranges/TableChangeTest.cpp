#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

const ServiceName kStock("stock");

class TableChangeTest : public ::testing::Test
{
protected:
  /** Applies the encoded difference of two tables, as a peer does. */
  static RangeTable ApplyAsPeer(const RangeTable& aBefore,
                                const RangeTable& aAfter)
  {
    auto state = StateOf({}, aBefore);
    const auto change = DiffTables(aBefore, aAfter);
    if (change) {
      state.Apply(EncodeChange(*change));
    }
    return state.Table();
  }

  /** Table with one row for each of aHosts hosts. */
  static RangeTable TableOf(uint32_t aHosts)
  {
    RangeTable table;
    const uint32_t width = kShardKeys / aHosts;
    for (uint32_t host = 0; host < aHosts; ++host) {
      const uint32_t first = host * width;
      const auto last = host + 1 == aHosts ? kShardKeys - 1 : first + width - 1;
      table.Assign(
        kOrders, { first, last }, HolderOf("host-" + std::to_string(host)), {});
    }
    table.revision = 1;
    return table;
  }

  static RangeTable Next(RangeTable aTable)
  {
    ++aTable.revision;
    return aTable;
  }
};

RC_GTEST_FIXTURE_PROP(TableChangeTest,
                      Apply_RandomEdits_GivesTheTableOfTheWriter,
                      ())
{
  RangeTable writer;
  auto peer = writer;
  const auto writes = *rc::gen::inRange(1, 12);
  for (int write = 0; write < writes; ++write) {
    const auto before = writer;
    ++writer.revision;
    const auto edits = *rc::gen::inRange(0, 4);
    for (int edit = 0; edit < edits; ++edit) {
      const auto first = *rc::gen::inRange<uint32_t>(0, kShardKeys);
      const auto last = *rc::gen::inRange<uint32_t>(first, kShardKeys);
      const auto host = std::string(1, *rc::gen::element('a', 'b', 'c'));
      const auto service = *rc::gen::element(kOrders, kStock);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          writer.Free(service, { first, last }, "token");
          break;
        case 1:
          writer.Suspect(HostName(host));
          break;
        case 2:
          writer.DropSuspicion(HostName(host));
          break;
        default:
          writer.Assign(service, { first, last }, HolderOf(host), {});
      }
    }
    peer = ApplyAsPeer(before, writer);
    RC_ASSERT(peer == writer);
  }
}

TEST_F(TableChangeTest, Apply_UnknownBase_ThrowsAndChangesNothing)
{
  const auto first = TableOf(4);
  const auto second = Next(first);
  auto third = Next(second);
  third.Assign(kOrders, { 5, 9 }, HolderOf("b"), {});
  auto state = StateOf({}, first);
  EXPECT_THROW(state.Apply(EncodeChange(*DiffTables(second, third))),
               MissingBaseError);
  EXPECT_EQ(state.Table(), first);
}

TEST_F(TableChangeTest, Apply_KnownChange_ChangesNothing)
{
  const auto first = TableOf(4);
  auto second = Next(first);
  second.Assign(kOrders, { 5, 9 }, HolderOf("b"), {});
  const auto third = Next(second);
  auto state = StateOf({}, third);
  EXPECT_NO_THROW(state.Apply(EncodeChange(*DiffTables(first, second))));
  EXPECT_EQ(state.Table(), third);
}

TEST_F(TableChangeTest, Apply_RowsWithAGap_ThrowsAndChangesNothing)
{
  const auto first = TableOf(4);
  auto second = Next(first);
  second.Assign(kOrders, { 5, 9 }, HolderOf("b"), {});
  auto change = *DiffTables(first, second);
  change.rows[kOrders].pop_back();
  auto state = StateOf({}, first);
  EXPECT_THROW(state.Apply(EncodeChange(change)), RangesError);
  EXPECT_EQ(state.Table(), first);
}

/**
 * A writer sends a change to all hosts over its own link. If the change grew
 * with the number of hosts, the traffic would grow with its square.
 */
TEST_F(TableChangeTest, EncodeChange_OneMove_SizeDoesNotGrowWithTheHosts)
{
  const auto sizeAt = [](uint32_t aHosts) {
    const auto before = TableOf(aHosts);
    auto after = Next(before);
    after.Assign(kOrders, { 10, 20 }, HolderOf("other"), "token");
    return EncodeChange(*DiffTables(before, after)).value->size();
  };
  EXPECT_LE(sizeAt(400), sizeAt(8) + 32);
  EXPECT_GE(EncodeTable(TableOf(400)).value->size(), 20 * sizeAt(400));
}

}
