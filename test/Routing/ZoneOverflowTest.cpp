#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <vector>

#include "src/Base/Random.h"
#include "src/Routing/Balancer.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** What became of the requests of one run. */
struct ZoneRun
{
  int answered = 0;
  int crossed = 0; ///< Served in another zone than the caller's.
  Duration latency{};

  double CrossedShare() const
  {
    return static_cast<double>(crossed) / std::max(answered, 1);
  }
  Duration Mean() const { return latency / std::max(answered, 1); }
};

/**
 * Any-instance service in three zones of two instances each. Each of four hosts
 * a zone balances by itself. Traffic between zones is expensive.
 */
class ZoneOverflowTest : public ::testing::Test
{
protected:
  static constexpr int kZones = 3;
  static constexpr int kInstancesPerZone = 2;
  static constexpr int kHostsPerZone = 4;
  static constexpr size_t kHosts = size_t{ kZones } * kHostsPerZone;
  static constexpr size_t kSlots = 6;
  static constexpr Duration kService = milliseconds(130);

  struct Server
  {
    std::deque<std::pair<int, MonoTime>> queue; ///< Host and arrival.
    std::multimap<MonoTime, std::pair<int, MonoTime>> running;
    bool lost = false;
  };

  static int ZoneOfInstance(DaemonId aId)
  {
    return static_cast<int>(aId.Value() - 1) / kInstancesPerZone;
  }

  void SetUp() override
  {
    for (int id = 1; id <= kZones * kInstancesPerZone; ++id) {
      m_all.emplace_back(id);
    }
    m_servers.resize(m_all.size());
  }

  void Configure(bool aZoneAware)
  {
    m_balancers.assign(kHosts, Balancer());
    for (int host = 0; host < kZones * kHostsPerZone; ++host) {
      Update(host, aZoneAware);
    }
  }

  void Update(int aHost, bool aZoneAware)
  {
    std::vector<DaemonId> alive;
    std::vector<DaemonId> nearby;
    for (const auto& id : m_all) {
      if (m_servers[static_cast<size_t>(id.Value() - 1)].lost) {
        continue;
      }
      alive.push_back(id);
      if (aZoneAware && ZoneOfInstance(id) == aHost / kHostsPerZone) {
        nearby.push_back(id);
      }
    }
    m_balancers[static_cast<size_t>(aHost)].SetInstances(
      alive, m_clock.Now(), nearby);
  }

  void StartQueued(Server& aServer)
  {
    while (aServer.running.size() < kSlots && !aServer.queue.empty()) {
      aServer.running.emplace(m_clock.Now() + kService, aServer.queue.front());
      aServer.queue.pop_front();
    }
  }

  void Send(int aHost, ZoneRun& aRun)
  {
    auto& balancer = m_balancers[static_cast<size_t>(aHost)];
    const auto id = *balancer.Choose(m_random, m_clock.Now());
    balancer.OnStart(id);
    aRun.crossed += ZoneOfInstance(id) != aHost / kHostsPerZone ? 1 : 0;
    auto& server = m_servers[static_cast<size_t>(id.Value() - 1)];
    server.queue.emplace_back(aHost, m_clock.Now());
    StartQueued(server);
  }

  void Complete(ZoneRun& aRun)
  {
    for (size_t index = 0; index < m_servers.size(); ++index) {
      auto& server = m_servers[index];
      while (!server.running.empty() &&
             server.running.begin()->first <= m_clock.Now()) {
        const auto [host, arrived] = server.running.begin()->second;
        server.running.erase(server.running.begin());
        const auto latency = m_clock.Now() - arrived;
        m_balancers[static_cast<size_t>(host)].OnEnd(
          m_all[index], InstanceResult::kDone, latency, m_clock.Now());
        ++aRun.answered;
        aRun.latency += latency;
      }
      StartQueued(server);
    }
  }

  /** \param aRates requests per second of the callers in each zone. */
  ZoneRun Run(const std::vector<double>& aRates, Duration aFor)
  {
    ZoneRun run;
    const auto end = m_clock.Now() + aFor;
    constexpr double kStepsPerSecond = 1000.0;
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    while (m_clock.Now() < end) {
      for (int zone = 0; zone < kZones; ++zone) {
        if (draw(m_random) <
            aRates[static_cast<size_t>(zone)] / kStepsPerSecond) {
          const auto host = static_cast<int>(m_random() % kHostsPerZone);
          Send(zone * kHostsPerZone + host, run);
        }
      }
      m_clock.Advance(milliseconds(1));
      Complete(run);
    }
    return run;
  }

  ManualClock m_clock;
  RandomEngine m_random{ 7 };
  std::vector<DaemonId> m_all;
  std::vector<Server> m_servers;
  std::vector<Balancer> m_balancers;
};

TEST_F(ZoneOverflowTest, LightLoad_ZoneAware_StaysInTheZoneAtTheSameLatency)
{
  Configure(false);
  const auto baseline = Run({ 30.0, 30.0, 30.0 }, seconds(20));
  Configure(true);
  const auto aware = Run({ 30.0, 30.0, 30.0 }, seconds(20));
  EXPECT_GT(baseline.CrossedShare(), 0.5);
  EXPECT_LT(aware.CrossedShare(), 0.05);
  EXPECT_LE(aware.Mean(), baseline.Mean() * 11 / 10);
}

/** The zone's two instances serve about 92 requests a second. */
TEST_F(ZoneOverflowTest, OneZoneOverloaded_ZoneAware_OverflowsByLoad)
{
  Configure(true);
  Run({ 150.0, 20.0, 20.0 }, seconds(3));
  const auto overloaded = Run({ 150.0, 20.0, 20.0 }, seconds(20));
  EXPECT_GT(overloaded.CrossedShare(), 0.15);
  EXPECT_LT(overloaded.CrossedShare(), 0.6);
  EXPECT_LE(overloaded.Mean(), 4 * kService);
}

TEST_F(ZoneOverflowTest, ZoneLost_ZoneAware_TheOthersServeItsCallers)
{
  Configure(true);
  Run({ 30.0, 30.0, 30.0 }, seconds(5));
  for (int index = 0; index < kInstancesPerZone; ++index) {
    m_servers[static_cast<size_t>(index)] = Server{ .lost = true };
  }
  for (int host = 0; host < kZones * kHostsPerZone; ++host) {
    Update(host, true);
  }
  const auto after = Run({ 30.0, 30.0, 30.0 }, seconds(10));
  EXPECT_GE(after.answered, 800);
  EXPECT_LE(after.Mean(), 2 * kService);
}

}
