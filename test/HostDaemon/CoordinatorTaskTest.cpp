#include <gtest/gtest.h>

#include "src/HostDaemon/CoordinatorTask.h"
#include "test/HostDaemon/FakeStore.h"
#include "test/HostDaemon/UnusedDialect.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

const ServiceName kStock("stock");

/** The coordinator; the other hosts are only records and reports. */
class CoordinatorTaskTest : public ::testing::Test
{
protected:
  CoordinatorTaskTest()
    : m_store(m_base, m_topic)
    , m_state(m_base, m_clock, m_logger, m_store, RecordOf("a"))
    , m_server(m_base,
               m_clock,
               RangeServerSettings{ .endpoint = { "127.0.0.1", 1 },
                                    .service = kOrders },
               m_state,
               m_dialect,
               m_logger,
               m_metrics)
    , m_peers(m_base, m_clock, BootId(1), m_logger, m_metrics)
    , m_coordinator(m_base, m_clock, m_state, m_server, m_peers, m_logger)
  {
    m_state.AddListener(m_coordinator);
  }

  void AddHost(const std::string& aName,
               const ServiceName& aService,
               int32_t aCpuMillis = 0)
  {
    auto record = RecordOf(aName);
    record.service = aService;
    record.cpuMillis = aCpuMillis;
    m_topic.Append({ EncodeHost(record) }, WriterPosition{ aName, 1, 0 });
    m_hosts.emplace_back(aName);
  }

  void RunLoop(Duration aFor)
  {
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(aFor).count();
    const timeval wait{ 0, static_cast<suseconds_t>(micros) };
    event_base_loopexit(m_base, &wait);
    event_base_dispatch(m_base);
  }

  /** Runs the loop in parts, after each of which all hosts report. */
  void RunWithReports(int aParts)
  {
    for (int part = 0; part < aParts; ++part) {
      for (const auto& host : m_hosts) {
        m_coordinator.OnReport(HostReport{ host, 10.0, {} });
      }
      RunLoop(milliseconds(300));
    }
  }

  bool IsAssigned(const ServiceName& aService) const
  {
    const auto& rows = m_state.State().Table().RowsOf(aService);
    return std::none_of(rows.begin(), rows.end(), [&](const RangeRow& aRow) {
      return m_state.State().HolderOf(aRow) == nullptr;
    });
  }

  struct BaseDeleter
  {
    void operator()(event_base* aBase) const { event_base_free(aBase); }
  };

  std::unique_ptr<event_base, BaseDeleter> m_owned{ event_base_new() };
  event_base* m_base = m_owned.get();
  SystemClock m_clock;
  Logger m_logger{ "test", LogLevel::kError };
  Metrics m_metrics;
  UnusedDialect m_dialect;
  FakeTopic m_topic;
  FakeStore m_store;
  StateTask<FakeStore> m_state;
  RangeServerTask m_server;
  PeersTask m_peers;
  CoordinatorTask m_coordinator;
  std::vector<HostName> m_hosts;
};

/**
 * The first assignment waits until the number of hosts is stable. Services with
 * different numbers of hosts must not disturb each other in this.
 */
TEST_F(CoordinatorTaskTest, AssignFreeRanges_TwoKeyedServices_AssignsBoth)
{
  AddHost("b", kOrders);
  AddHost("c", kStock);
  m_coordinator.SetShardedServices({ kOrders, kStock });
  m_state.Start();
  m_coordinator.Start();
  RunWithReports(10);
  EXPECT_TRUE(IsAssigned(kOrders));
  EXPECT_TRUE(IsAssigned(kStock));
}

/** Guards against keys that go from one evacuated host to another which has
 * not published its server as draining yet. */
TEST_F(CoordinatorTaskTest, AssignFreeRanges_ZoneIsEvacuated_NotAssignedThere)
{
  auto record = RecordOf("b");
  record.zone = ZoneName("north");
  m_topic.Append({ EncodeHost(record) }, WriterPosition{ "b", 1, 0 });
  m_hosts = { HostName("b") };
  AddHost("c", kOrders);
  m_coordinator.SetShardedServices({ kOrders });
  m_coordinator.SetEvacuatedZones({ record.zone });
  m_state.Start();
  m_coordinator.Start();
  RunWithReports(10);
  ASSERT_TRUE(IsAssigned(kOrders));
  for (const auto& row : m_state.State().Table().RowsOf(kOrders)) {
    EXPECT_NE(row.holder.host, record.host);
  }
}

/**
 * The others report to another host until it stops answering. The host that
 * takes over must not suspect all of them because they are new to it.
 */
TEST_F(CoordinatorTaskTest, SuspectSilentHosts_TakesOver_WaitsForReportsFirst)
{
  AddHost("b", kOrders);
  AddHost("c", kOrders);
  AddHost("first", kOrders, 500); // Never answers.
  m_coordinator.SetShardedServices({ kOrders });
  m_state.Start();
  m_coordinator.Start();
  m_hosts = { HostName("b"), HostName("c") };
  for (int part = 0; part < 6; ++part) {
    EXPECT_FALSE(m_coordinator.Active() && part < 3);
    RunLoop(milliseconds(400));
  }
  ASSERT_TRUE(m_coordinator.Active());
  RunWithReports(9);
  const auto& table = m_state.State().Table();
  EXPECT_EQ(table.FindSuspicion(HostName("b")), nullptr);
  EXPECT_EQ(table.FindSuspicion(HostName("c")), nullptr);
  EXPECT_NE(table.FindSuspicion(HostName("first")), nullptr);
}

/** Many hosts of a zone may release their keys within one round trip. */
TEST_F(CoordinatorTaskTest, OnRelease_ManyAtOnce_AreWrittenTogether)
{
  for (const char* name : { "b", "c", "d", "e" }) {
    AddHost(name, kOrders);
  }
  m_coordinator.SetShardedServices({ kOrders });
  m_state.Start();
  m_coordinator.Start();
  RunWithReports(10);
  ASSERT_TRUE(IsAssigned(kOrders));
  const auto before = m_topic.End();
  const auto rows = m_state.State().Table().RowsOf(kOrders);
  for (const auto& row : rows) {
    m_coordinator.OnRelease(
      RangeRelease{ kOrders,
                    row.holder,
                    { Relinquished{ row.range, row.fence, "t", {} } },
                    m_state.State().FindHost(row.holder.host)->epoch });
  }
  RunWithReports(1);
  EXPECT_LE(m_topic.End() - before, 3);
  for (const auto& row : m_state.State().Table().RowsOf(kOrders)) {
    EXPECT_EQ(row.handover, "t");
    EXPECT_FALSE(row.IsFree());
  }
}

/** Guards against ranges that have no holder while the store is away: a host
 * releases a range, and nobody can assign it. */
TEST_F(CoordinatorTaskTest, OnReport_StoreDoesNotAnswer_OrdersNoMoves)
{
  AddHost("b", kOrders);
  AddHost("c", kOrders);
  m_coordinator.SetShardedServices({ kOrders });
  m_state.Start();
  m_coordinator.Start();
  RunWithReports(10);
  ASSERT_TRUE(IsAssigned(kOrders));
  const auto rows = m_state.State().Table().RowsOf(kOrders);
  const auto row = std::find_if(rows.begin(), rows.end(), [](const auto& aRow) {
    return aRow.holder.host == HostName("b");
  });
  ASSERT_NE(row, rows.end());
  const auto countMoves = [&](int aParts) {
    size_t moves = 0;
    for (int part = 0; part < aParts; ++part) {
      for (const auto& host : m_hosts) {
        HostReport report{ host, 10.0, {} };
        if (host == row->holder.host) { // It has all of the load.
          for (auto key = row->range.first; key < row->range.first + 4096;
               key += 64) {
            report.buckets.push_back({ { key, key + 63 }, 5.0 });
          }
        }
        moves += m_coordinator.OnReport(report).moves.size();
      }
      RunLoop(milliseconds(300));
    }
    return moves;
  };
  EXPECT_GT(countMoves(20), 0U);
  m_store.down = true;
  countMoves(5); // The next poll fails.
  EXPECT_EQ(countMoves(10), 0U);
}

}
