#include <memory>
#include <string>

#include <event2/event.h>
#include <gtest/gtest.h>

#include "src/Daemon/InnerServerTask.h"
#include "src/Daemon/PeersTask.h"

namespace pistachioshift {
namespace {

using std::chrono::seconds;

/** Is never called. */
class NoCalls : public CallServer
{
public:
  std::shared_ptr<Call> Start(CallRequest,
                              std::shared_ptr<CallListener>) override
  {
    return nullptr;
  }
  OutcomeQueryResult QueryOutcome(const RequestId&, TablePosition) override
  {
    return {};
  }
  TablePosition Position() const override { return {}; }
};

/** Two daemons of which one reports to the other. */
class PeerCompressionTest : public ::testing::Test
{
protected:
  static constexpr int kReports = 20;

  ~PeerCompressionTest() override
  {
    m_peers.reset();
    m_server.reset();
    event_base_free(m_base);
  }

  void Start(bool aServerReads)
  {
    InnerServices services;
    services.self = [] { return DaemonId(); };
    services.report = [this](const HostReport&) {
      ++m_reports;
      return HostOrders{ .host = HostName("host-with-a-long-name-1") };
    };
    services.compression = aServerReads ? m_serverBytes : nullptr;
    m_server = std::make_unique<InnerServerTask>(m_base,
                                                 m_clock,
                                                 Endpoint{ "127.0.0.1", 0 },
                                                 BootId(1),
                                                 m_calls,
                                                 std::move(services),
                                                 m_metrics,
                                                 m_bulk);
    m_peers = std::make_unique<PeersTask>(
      m_base, m_clock, BootId(2), m_logger, m_metrics);
  }

  static HostReport SampleReport()
  {
    return { .host = HostName("host-with-a-long-name-2") };
  }

  /** Sends reports one after the other, each once the last was answered. */
  void Report()
  {
    const auto peer = m_server->LocalEndpoint();
    for (int count = 1; count <= kReports; ++count) {
      m_peers->Report(
        peer, SampleReport(), [this](const HostOrders&) { ++m_orders; });
      const auto until = m_clock.Now() + seconds(20);
      while (m_orders < count && m_clock.Now() < until) {
        event_base_loop(m_base, EVLOOP_ONCE);
      }
      ASSERT_EQ(m_orders, count);
      ASSERT_EQ(m_reports, count);
    }
  }

  event_base* m_base = event_base_new();
  SystemClock m_clock;
  Metrics m_metrics;
  Logger m_logger{ "test", LogLevel::kError };
  NoCalls m_calls;
  BulkQueue m_bulk{ m_base, m_clock, 0.0 };
  std::shared_ptr<FrameByteTotals> m_serverBytes =
    std::make_shared<FrameByteTotals>();
  std::shared_ptr<FrameByteTotals> m_peerBytes =
    std::make_shared<FrameByteTotals>();
  std::unique_ptr<InnerServerTask> m_server;
  std::unique_ptr<PeersTask> m_peers;
  int m_reports = 0;
  int m_orders = 0;
};

TEST_F(PeerCompressionTest, Report_PeerIsInOtherZone_BothDirectionsAreShorter)
{
  Start(true);
  const auto peer = m_server->LocalEndpoint();
  m_peers->SetCompression(
    [peer](const Endpoint& aPeer) { return aPeer == peer; }, m_peerBytes);
  Report();
  for (const auto& bytes : { m_serverBytes, m_peerBytes }) {
    EXPECT_GT(bytes->sentFrames, 0U);
    EXPECT_LT(bytes->sentWire, bytes->sentFrames);
    EXPECT_LT(bytes->receivedWire, bytes->receivedFrames);
  }
  // The first report leaves before the server's Hello has arrived.
  const auto first = EncodeFrame(SampleReport()).size();
  EXPECT_EQ(m_peerBytes->sentFrames + first, m_serverBytes->receivedFrames);
  EXPECT_EQ(m_peerBytes->sentWire + first, m_serverBytes->receivedWire);
  EXPECT_EQ(m_serverBytes->sentFrames, m_peerBytes->receivedFrames);
  EXPECT_EQ(m_serverBytes->sentWire, m_peerBytes->receivedWire);
}

// Guards against compression within a zone, where bytes cost nothing.
TEST_F(PeerCompressionTest, Report_PeerIsInTheSameZone_NothingIsCompressed)
{
  Start(true);
  m_peers->SetCompression([](const Endpoint&) { return false; }, m_peerBytes);
  Report();
  EXPECT_EQ(m_serverBytes->sentWire, 0U);
  EXPECT_EQ(m_peerBytes->sentWire, 0U);
}

// Guards against blocks to a daemon of an earlier version.
TEST_F(PeerCompressionTest, Report_PeerDoesNotReadIt_NothingIsCompressed)
{
  Start(false);
  m_peers->SetCompression([](const Endpoint&) { return true; }, m_peerBytes);
  Report();
  EXPECT_EQ(m_peerBytes->sentWire, 0U);
}

}
}
