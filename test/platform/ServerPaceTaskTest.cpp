#include <algorithm>

#include "test/platform/ServerTaskSupport.h"

namespace pistachioshift::platform::test {

/** A backend server that can be cold, beside the daemon that paces it. */
class ServerPaceTaskTest : public ServerTaskTest
{
protected:
  static constexpr double kPace = 10.0;
  /** Most requests of any second while the server is cold. */
  static constexpr double kBound = kPace * 1.5 + 8.0;

  void Answer(const std::shared_ptr<ServerExchange>& aExchange) override
  {
    if (aExchange->Head().target != kHealthPath) {
      m_receivedAt.push_back(m_clock.Now());
      ServerTaskTest::Answer(aExchange);
      return;
    }
    ++m_checks;
    ResponseHead head;
    head.status = 200;
    head.contentLength = 0;
    head.headers.Set(names::kServerId, m_healthyServer);
    head.headers.Set(names::kColdTime, m_coldMillis);
    aExchange->SendHead(head);
    aExchange->Finish();
  }

  void SendHeartbeat(Duration aColdLeft, WallTime aStarted)
  {
    auto heartbeat = Heartbeat();
    heartbeat.warmUpLeft = aColdLeft;
    heartbeat.incarnation.startedAt = aStarted;
    EXPECT_TRUE(m_server.OnHeartbeat(heartbeat));
  }

  WallTime KnownStart() { return Heartbeat().incarnation.startedAt; }
  WallTime LaterStart() { return KnownStart() + milliseconds(1000); }

  /** A request every 5 ms. */
  void Load(Duration aFor)
  {
    for (const auto end = m_clock.Now() + aFor; m_clock.Now() < end;) {
      Request();
      Run(milliseconds(5));
    }
  }

  double MostInASecond(MonoTime aFrom) const
  {
    ptrdiff_t most = 0;
    for (auto first =
           std::lower_bound(m_receivedAt.begin(), m_receivedAt.end(), aFrom);
         first != m_receivedAt.end();
         ++first) {
      const auto last = std::lower_bound(
        first, m_receivedAt.end(), *first + std::chrono::seconds(1));
      most = std::max(most, last - first);
    }
    return static_cast<double>(most);
  }

  std::vector<MonoTime> m_receivedAt;
  std::string m_coldMillis = "0";
  int m_checks = 0;
};

/** Guards against a restarted server that gets the load of its predecessor. */
TEST_F(ServerPaceTaskTest, Restart_Cold_GetsItsPaceAndTheRestIsRefused)
{
  m_server.SetColdPace({ kPace, milliseconds(3000) });
  Join();
  Load(milliseconds(600));
  const auto from = m_clock.Now();
  SendHeartbeat(milliseconds(3000), LaterStart());
  EXPECT_EQ(m_server.Pace().perSecond, kPace);
  EXPECT_EQ(m_server.MakeReport(1).capacity, kPace);
  Load(milliseconds(2000));
  EXPECT_LE(MostInASecond(from), kBound);
  EXPECT_GT(m_ends->refusals.size(), 50U);
  SendHeartbeat({}, LaterStart());
  EXPECT_EQ(m_server.Pace(), PaceLimits{});
}

/** Guards against a cold server that is sent the full load until its next
 * heartbeat, and against a warm one that is paced because of a reset
 * connection. */
TEST_F(ServerPaceTaskTest, ConnectionLost_ServerIsAsked)
{
  m_server.SetHealthPath(kHealthPath);
  m_server.SetColdPace({ kPace, milliseconds(3000) });
  Join();
  Load(milliseconds(300));
  const auto checks = m_checks;
  for (const char* millis : { "0", "3000" }) {
    m_coldMillis = millis;
    m_backend.reset(); // Closes all connections.
    Request();
    Run(milliseconds(5));
    EXPECT_EQ(m_server.Pace().perSecond, kPace);
    m_backend = MakeBackend(m_address);
    Run(milliseconds(1200)); // The first check may have found no server.
    const bool cold = m_coldMillis != "0";
    EXPECT_EQ(m_server.Pace().perSecond,
              cold ? std::optional(kPace) : std::nullopt);
  }
  EXPECT_GT(m_checks, checks);
  EXPECT_LE(m_checks, checks + 4);
}

TEST_F(ServerPaceTaskTest, EvacuationEnded_PacedUntilALaterHeartbeat)
{
  m_server.SetColdPace({ kPace, milliseconds(3000) });
  Join();
  EXPECT_EQ(m_server.Pace(), PaceLimits{});
  m_server.SetEvacuatedZones({ m_state.OwnRecord().zone }, std::nullopt);
  m_server.SetEvacuatedZones({}, std::nullopt);
  SendHeartbeat({}, KnownStart());
  EXPECT_EQ(m_server.Pace().perSecond, kPace);
  Run(milliseconds(900));
  SendHeartbeat({}, KnownStart());
  EXPECT_EQ(m_server.Pace(), PaceLimits{});
}

/** Guards against a restarted server that is left idle where no pace is stated:
 * its slots and the expected service times limit it well enough. */
TEST_F(ServerPaceTaskTest, NoPaceStated_ServerRestarts_IsNotLimited)
{
  Join();
  Load(milliseconds(300));
  SendHeartbeat(milliseconds(3000), LaterStart());
  EXPECT_EQ(m_server.Pace(), PaceLimits{});
}

/** Guards against a change for deployments that state no pace, whose daemon or
 * system merely starts. */
TEST_F(ServerPaceTaskTest, NoPaceStated_ServerKeptRunning_IsNotLimited)
{
  m_server.SetHealthPath(kHealthPath);
  Join();
  const auto checks = m_checks;
  m_backend.reset();
  Request();
  Run(milliseconds(50));
  EXPECT_EQ(m_server.Pace().perSecond, std::nullopt);
  EXPECT_EQ(m_checks, checks);
}

}
