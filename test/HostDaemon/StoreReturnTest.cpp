#include <gtest/gtest.h>

#include <memory>

#include "src/HostDaemon/StateTask.h"
#include "test/HostDaemon/FakeStore.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** A daemon's StateTask whose backend server holds what the table assigns. */
struct HostOfReturn
{
  HostOfReturn(event_base* aBase,
               const Clock& aClock,
               const Logger& aLogger,
               FakeTopic& aTopic,
               const std::string& aName)
    : store(aBase, aTopic)
    , task(aBase,
           aClock,
           aLogger,
           store,
           RecordOf(aName),
           StateTaskSettings{ .pollInterval = milliseconds(5),
                              .retryDelay = milliseconds(5),
                              .maxStaleness = milliseconds(5),
                              .maxSettleTime = milliseconds(40) })
    , holder(HolderOf(aName))
  {
    task.SetClaimSource([this] {
      std::vector<ClaimedRange> claims;
      for (const auto& row : task.State().Table().RowsOf(kOrders)) {
        if (row.holder == holder && !row.unconfirmed) {
          claims.push_back({ row.range, row.fence, row.handover });
        }
      }
      return claims;
    });
  }

  const RangeRow& RowAt(uint32_t aKey) const
  {
    return *task.State().Table().Find(kOrders, ShardKey(aKey));
  }

  FakeStore store;
  StateTask<FakeStore> task;
  RangeHolder holder;
};

/** Hosts whose store comes back from an older copy of itself. */
class StoreReturnTest : public ::testing::Test
{
protected:
  StoreReturnTest()
  {
    for (auto* host : { &m_a, &m_b }) {
      host->task.PublishServer(
        ServerStatus{ host->holder.incarnation, 9, ServerState::kReady });
      host->task.Start();
    }
    Run();
    Assign(m_a, { 0, 99 }, "a");
    Assign(m_a, { 100, kShardKeys - 1 }, "b");
  }

  ~StoreReturnTest() override { event_base_free(m_base); }

  void Run(Duration aFor = milliseconds(80))
  {
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(aFor).count();
    const timeval wait{ 0, static_cast<suseconds_t>(micros) };
    event_base_loopexit(m_base, &wait);
    event_base_dispatch(m_base);
  }

  void Assign(HostOfReturn& aWriter,
              const KeyRange& aRange,
              const std::string& aHost)
  {
    aWriter.task.SubmitEdit("test", [=](TableDraft& aDraft, const MeshState&) {
      aDraft.table.Assign(kOrders, aRange, HolderOf(aHost), {});
      return true;
    });
    Run();
  }

  /** Does what the coordinator does while the table is not settled. */
  void Confirm(HostOfReturn& aCoordinator)
  {
    aCoordinator.task.SubmitEdit(
      "confirm", [](TableDraft& aDraft, const MeshState& aState) {
        return ConfirmClaims(aDraft.table, aState);
      });
    Run();
  }

  /** The table that a host reads which starts now. */
  RangeTable StoredTable() const
  {
    MeshState state(m_topic.Position().era, false, 0);
    for (const auto& entry : m_topic.From(0).entries) {
      if (IsTable(entry)) {
        state = MeshState(m_topic.Position().era, false, 0); // Newest only.
        state.Apply(entry);
      }
    }
    return state.Table();
  }

  event_base* m_base = event_base_new();
  SystemClock m_clock;
  Logger m_logger{ "test", LogLevel::kError };
  FakeTopic m_topic;
  HostOfReturn m_a{ m_base, m_clock, m_logger, m_topic, "a" };
  HostOfReturn m_b{ m_base, m_clock, m_logger, m_topic, "b" };
};

/** Guards against a host that goes on reading from an end that the store no
 * longer has, and against one that does so without a delay. */
TEST_F(StoreReturnTest, Poll_EndIsBehindThePosition_ReadsAnewAndDoesNotLoop)
{
  const auto copy = m_topic;
  Assign(m_a, { 0, 9 }, "b");
  Assign(m_a, { 10, 19 }, "b");
  m_topic.ReturnTo(copy);
  const auto before = m_a.store.reads;
  Run(milliseconds(100));
  EXPECT_EQ(m_a.task.End().era, m_topic.Position().era);
  EXPECT_EQ(m_a.task.Returns(), 1U);
  EXPECT_LT(m_a.store.reads - before, 40); // A poll every 5 ms.
}

/** Guards against records that are skipped because the end has passed the old
 * position meanwhile. */
TEST_F(StoreReturnTest, Poll_EndHasPassedThePosition_ReadsWhatWasWrittenBefore)
{
  const auto copy = m_topic;
  Assign(m_a, { 0, 9 }, "b");
  m_b.store.down = true;
  m_topic.ReturnTo(copy);
  Run();
  Assign(m_a, { 200, 209 }, "a");
  Assign(m_a, { 300, 309 }, "a");
  Assign(m_a, { 400, 409 }, "a");
  m_b.store.down = false;
  Run(milliseconds(200));
  const auto& table = m_b.task.Latest().Table();
  EXPECT_EQ(table, m_a.task.Latest().Table());
  EXPECT_EQ(table.Find(kOrders, ShardKey(200))->holder, HolderOf("a"));
}

/** Guards against servers that lose their keys while nobody else may have
 * them. */
TEST_F(StoreReturnTest, State_UntilTheRowsAreConfirmed_IsTheOneBefore)
{
  const auto copy = m_topic;
  Assign(m_a, { 0, 99 }, "b");
  const auto fence = m_b.RowAt(0).fence;
  m_topic.ReturnTo(copy);
  Run();
  ASSERT_TRUE(m_b.task.Returning());
  EXPECT_EQ(m_b.RowAt(0).holder, HolderOf("b"));
  EXPECT_GT(m_b.task.RemainingLease(), Duration{});
  Confirm(m_a);
  EXPECT_FALSE(m_b.task.Returning());
  EXPECT_FALSE(m_b.RowAt(0).unconfirmed);
  EXPECT_EQ(m_b.RowAt(0).holder, HolderOf("b"));
  EXPECT_EQ(m_b.RowAt(0).fence, fence);
  EXPECT_GT(m_b.task.RemainingLease(), Duration{});
  // They must not be confirmed once more after the rows have moved.
  EXPECT_TRUE(m_a.task.Latest().FindHost(HostName("b"))->claims.empty());
}

/** Guards against a lease that is renewed by what another life of the store
 * shows. */
TEST_F(StoreReturnTest, RenewLeaseFromPeer_PeerReadAnotherEra_RenewsNothing)
{
  const auto end = m_a.task.End();
  const auto before = m_a.task.RemainingLease();
  const auto later = m_clock.Now() + std::chrono::seconds(5);
  m_a.task.RenewLeaseFromPeer(
    later, { StoreEra(end.era.Value() + 1), end.offset - 1 });
  m_a.task.RenewLeaseFromPeer(later,
                              { StoreEra(end.era.Value() - 1), end.offset });
  EXPECT_LE(m_a.task.RemainingLease(), before);
  m_a.task.RenewLeaseFromPeer(later, end);
  EXPECT_GT(m_a.task.RemainingLease(), before);
}

/** Guards against a host that knows of a later era and reads nothing. */
TEST_F(StoreReturnTest, ApplyPeerUpdate_PeerKnowsALaterEra_ReadsTheStore)
{
  const auto copy = m_topic;
  Assign(m_a, { 0, 9 }, "b");
  m_topic.ReturnTo(copy);
  Run();
  EXPECT_TRUE(m_a.task.ApplyPeerUpdate({}, { StoreEra(1), 9999 }));
  EXPECT_EQ(m_a.task.End().era, StoreEra(2));
  EXPECT_EQ(m_a.task.UpdateFrom({ StoreEra(1), 0 }), std::nullopt);
}

/** Guards against records that only this host could write again. */
TEST_F(StoreReturnTest, Record_LostByTheStore_IsWrittenAgain)
{
  const auto copy = m_topic;
  auto server = *m_a.task.OwnRecord().server;
  server.state = ServerState::kDraining;
  server.leaving = true;
  m_a.task.PublishServer(server);
  Run();
  m_topic.ReturnTo(copy);
  Run();
  MeshState state(m_topic.Position().era, false, 0);
  for (const auto& entry : m_topic.From(0).entries) {
    state.Apply(entry);
  }
  const auto* record = state.FindHost(HostName("a"));
  ASSERT_NE(record, nullptr);
  EXPECT_TRUE(record->server->leaving);
}

/** Guards against a table of an earlier era, appended late, that stays the
 * newest one in the store. */
TEST_F(StoreReturnTest, Table_OfAnEarlierEraIsAppendedLate_IsNotApplied)
{
  const auto copy = m_topic;
  const auto late = StoredTable();
  m_topic.ReturnTo(copy);
  Run();
  Confirm(m_a);
  const auto table = m_a.task.Latest().Table();
  m_topic.Append({ EncodeTable(late) }, ExpectedEnd{ m_topic.End() });
  Run();
  EXPECT_EQ(m_a.task.Latest().Table(), table);
  EXPECT_TRUE(m_a.task.TableOutdated());
  m_a.task.SubmitEdit("rewrite",
                      [](TableDraft&, const MeshState&) { return true; });
  Run();
  EXPECT_FALSE(m_a.task.TableOutdated());
  EXPECT_FALSE(m_b.task.TableOutdated());
  EXPECT_EQ(StoredTable().writtenEra, StoreEra(2));
}

/** Guards against an edit of an earlier era that is repeated under an offset
 * which exists again. */
TEST_F(StoreReturnTest, SubmitEdit_StoreReturnsBeforeTheAnswer_EditIsVoid)
{
  const auto copy = m_topic;
  m_a.store.captureAppends = true;
  Assign(m_a, { 0, 9 }, "b");
  m_a.store.captureAppends = false;
  ASSERT_EQ(m_a.store.captured.size(), 1U);
  m_topic.ReturnTo(copy);
  // Nothing has moved the end yet, so that the condition still holds.
  const auto& [entries, condition] = m_a.store.captured.front();
  EXPECT_EQ(m_topic.Append(entries, condition).verdict,
            AppendVerdict::kAccepted);
  Run();
  Confirm(m_a);
  EXPECT_EQ(m_a.RowAt(0).holder, HolderOf("a"));
}

/** Guards against claims that are lost with the second of two returns. */
TEST_F(StoreReturnTest, Return_TwiceBeforeRowsAreConfirmed_ClaimsAreKept)
{
  const auto copy = m_topic;
  Assign(m_a, { 0, 99 }, "b");
  m_topic.ReturnTo(copy);
  Run();
  m_topic.ReturnTo(copy);
  Run();
  EXPECT_EQ(m_b.task.Returns(), 2U);
  Confirm(m_a);
  EXPECT_EQ(m_b.RowAt(0).holder, HolderOf("b"));
  EXPECT_FALSE(m_b.RowAt(0).unconfirmed);
}

/** Guards against a host that stays in the earlier era for as long as the store
 * turns it away. */
TEST_F(StoreReturnTest, ApplyPeerSnapshot_StoreTurnsTheHostAway_EraBegins)
{
  const auto copy = m_topic;
  Assign(m_a, { 0, 9 }, "b");
  m_b.store.down = true;
  m_topic.ReturnTo(copy);
  Run();
  Assign(m_a, { 200, 209 }, "a");
  const auto snapshot = m_a.task.Snapshot();
  m_b.task.ApplyPeerSnapshot(snapshot.entries, snapshot.next);
  EXPECT_EQ(m_b.task.End(), m_a.task.End());
  EXPECT_EQ(m_b.task.Latest().Table(), m_a.task.Latest().Table());
  EXPECT_NE(m_b.task.Latest().FindHost(HostName("a")), nullptr);
  Run();
  EXPECT_EQ(m_b.task.Returns(), 1U);
  m_b.store.down = false;
  Run(milliseconds(150));
  EXPECT_EQ(m_b.task.Latest().Table(), m_a.task.Latest().Table());
}

/** Guards against a host that the store turns away and that asks no peer for
 * the state, because it reads the newest records and not from its end on. */
TEST_F(StoreReturnTest, ReadNewest_StoreTurnsTheHostAway_PeersAreAsked)
{
  m_b.store.down = true;
  Run();
  int asked = 0;
  m_b.task.SetOnUnavailable([&asked] { ++asked; });
  m_b.task.ApplyPeerUpdate({}, { StoreEra(2), 1 });
  Run(milliseconds(200));
  const auto first = asked;
  EXPECT_GT(first, 0);
  Run(milliseconds(200));
  EXPECT_GT(asked, first);
}

}
