#include <gtest/gtest.h>

#include <event2/event.h>
#include <fmt/format.h>

#include "platform/ConfigFollower.h"
#include "src/HostDaemon/UpdateBroadcaster.h"
#include "test/HostDaemon/FakeStore.h"

namespace pistachioshift::platform::test {

using pistachioshift::test::FakeStore;
using pistachioshift::test::FakeTopic;
using std::chrono::milliseconds;

using Zones = std::set<ZoneName>;
const ZoneName kNorth("north");
const ZoneName kSouth("south");

/** Two hosts: one reads the store, the other may be turned away. */
class EvacuationRecordsTest : public ::testing::Test
{
protected:
  EvacuationRecordsTest()
  {
    m_peer.SetOnEvacuations([this](const Zones& aZones, const auto& aAt) {
      m_zones = aZones;
      m_unchangedAt = aAt;
    });
    m_reader.SetIsRelay([] { return true; });
    m_reader.SetOnRead([this](const StoreRecords& aRecords) {
      if (const auto update = MakeConfigurationUpdate(aRecords)) {
        m_updates.push_back(RecordsOf(*update));
      }
    });
  }
  ~EvacuationRecordsTest() override { event_base_free(m_base); }

  void Run(Duration aFor = milliseconds(50))
  {
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(aFor).count();
    const timeval wait{ 0, static_cast<suseconds_t>(micros) };
    event_base_loopexit(m_base, &wait);
    event_base_dispatch(m_base);
  }

  /** Both hosts read the store, which then turns the peer away. */
  void StartThenTurnAway()
  {
    m_reader.Start();
    m_peer.Start();
    Run();
    m_turnsAway.down = true;
    m_updates.clear();
  }

  void Append(std::vector<StoreEntry> aEntries)
  {
    m_topic.Append(std::move(aEntries), ExpectedEnd{ m_topic.End() });
  }

  static StoreEntry Evacuate(const std::string& aZone)
  {
    return { "evacuate/" + aZone, "{}", 0 };
  }
  static StoreEntry End(const std::string& aZone)
  {
    return { "evacuate/" + aZone, std::nullopt, 0 };
  }
  static StoreEntry Config(int aVersion)
  {
    return { names::kConfigKey,
             fmt::format(R"({{"version":"{:08x}","routes":{{}},"services":{{}},
      "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000,
      "headerTimeout":"3000ms","idleTimeout":"15000ms"}}}})",
                         aVersion),
             0 };
  }

  event_base* m_base = event_base_new();
  SystemClock m_clock;
  Logger m_logger{ "test", LogLevel::kError };
  FakeTopic m_topic;
  FakeStore m_store{ m_base, m_topic };
  FakeStore m_turnsAway{ m_base, m_topic };
  const ConfigFollowerSettings m_settings{ .pollWait = milliseconds(20),
                                           .relayPollWait = milliseconds(10),
                                           .retryDelay = milliseconds(5) };
  ConfigFollower<FakeStore> m_reader{
    m_base, m_clock, m_store, m_logger, [](const auto&) {}, m_settings
  };
  ConfigFollower<FakeStore> m_peer{
    m_base, m_clock, m_turnsAway, m_logger, [](const auto&) {}, m_settings
  };
  std::vector<StoreRecords> m_updates;
  std::optional<Zones> m_zones; ///< That the peer knows.
  std::optional<MonoTime> m_unchangedAt;
};

TEST_F(EvacuationRecordsTest, Read_ChangesFollow_SetIsCurrent)
{
  const auto started = m_clock.Now();
  Append({ Config(1), Evacuate("north"), Evacuate("west"), End("west") });
  m_peer.Start();
  Run();
  EXPECT_EQ(m_zones, Zones{ kNorth });
  EXPECT_EQ(m_unchangedAt, std::nullopt); // It may be old.
  const auto ordered = m_clock.Now();
  Append({ Evacuate("south"), Evacuate("") });
  Run();
  EXPECT_EQ(m_zones, (Zones{ kNorth, kSouth }));
  EXPECT_GT(*m_unchangedAt, started);
  EXPECT_LE(*m_unchangedAt, ordered);
  Append({ End("north"), Config(2) });
  Run();
  EXPECT_EQ(m_zones, Zones{ kSouth });
  EXPECT_EQ(m_peer.Current()->version, 2U);
}

/** Guards against a broadcast of one kind that hides the other, and against a
 * lost one: each carries all that is in force. */
TEST_F(EvacuationRecordsTest, ApplyPeerRecords_StoreTurnsAway_LastOneSuffices)
{
  Append({ Config(1) });
  StartThenTurnAway();
  Append({ Evacuate("north"), Config(2) });
  Run();
  Append({ Evacuate("south") });
  Run();
  ASSERT_GE(m_updates.size(), 2U);
  m_peer.ApplyPeerRecords(m_updates.back());
  EXPECT_EQ(m_zones, (Zones{ kNorth, kSouth }));
  EXPECT_EQ(m_peer.Current()->version, 2U);
  EXPECT_EQ(m_peer.Position(), m_reader.Position());
  // An update that was sent before arrives late.
  m_peer.ApplyPeerRecords(m_updates.front());
  EXPECT_EQ(m_zones, (Zones{ kNorth, kSouth }));
  Append({ End("north"), End("south") });
  Run();
  m_peer.ApplyPeerRecords(m_updates.back());
  EXPECT_EQ(m_zones, Zones{});
}

/** Guards against a daemon that passes an evacuation because a peer of an
 * earlier release sends it only the configuration behind it. */
TEST_F(EvacuationRecordsTest, ApplyPeerRecords_WithAGap_ReadsWhatIsBetween)
{
  Append({ Config(1) });
  StartThenTurnAway();
  Append({ Evacuate("north"), Config(2) });
  auto last = m_topic.From(2);
  m_peer.ApplyPeerRecords(last);
  EXPECT_EQ(m_peer.Current()->version, 2U);
  EXPECT_EQ(m_peer.Position().offset, 1);
  m_turnsAway.down = false;
  Run(milliseconds(200));
  EXPECT_EQ(m_zones, Zones{ kNorth });
}

/** The copy of a store that has returned decides, as there is no version. */
TEST_F(EvacuationRecordsTest, StoreReturns_CopyHasAnotherSet_CopyIsInForce)
{
  Append({ Config(1), Evacuate("north") });
  const auto copy = m_topic;
  Append({ End("north"), Evacuate("south") });
  StartThenTurnAway();
  EXPECT_EQ(m_zones, Zones{ kSouth });
  m_topic.ReturnTo(copy);
  Run(milliseconds(100));
  ASSERT_FALSE(m_updates.empty());
  m_peer.ApplyPeerRecords(m_updates.back());
  EXPECT_EQ(m_zones, Zones{ kNorth });
}

/** The last known set stays in force while the store is away. */
TEST_F(EvacuationRecordsTest, StoreDown_SetStaysInForce)
{
  Append({ Evacuate("north") });
  StartThenTurnAway();
  Run(milliseconds(100));
  EXPECT_EQ(m_zones, Zones{ kNorth });
}

}
