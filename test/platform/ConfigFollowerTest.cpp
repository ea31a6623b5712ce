#include <gtest/gtest.h>

#include <string>
#include <vector>

#include <event2/event.h>
#include <fmt/format.h>

#include "platform/ConfigFollower.h"
#include "test/HostDaemon/FakeStore.h"

namespace pistachioshift::platform::test {

using pistachioshift::test::FakeStore;
using pistachioshift::test::FakeTopic;
using std::chrono::milliseconds;

class ConfigFollowerTest : public ::testing::Test
{
protected:
  ~ConfigFollowerTest() override { event_base_free(m_base); }

  void Run(Duration aFor)
  {
    const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(aFor).count();
    const timeval wait{ 0, static_cast<suseconds_t>(micros) };
    event_base_loopexit(m_base, &wait);
    event_base_dispatch(m_base);
  }

  void Write(const std::string& aConfig)
  {
    m_topic.Append({ StoreEntry{ names::kConfigKey, aConfig, 0 } },
                   ExpectedEnd{ m_topic.End() });
  }

  /** A peer that can read the store names its position. */
  void PeerReads(int64_t aPosition)
  {
    m_follower.OnPeerReading({ At(aPosition), m_clock.Now() });
  }

  /** Position in the current era of the topic. */
  StorePosition At(int64_t aOffset) const
  {
    return { m_topic.Position().era, aOffset };
  }

  static std::string Config(int aVersion)
  {
    return fmt::format(
      R"({{"version":"{:08x}","routes":{{}},"services":{{}},
      "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000,
      "headerTimeout":"3000ms","idleTimeout":"15000ms"}}}})",
      aVersion);
  }

  event_base* m_base = event_base_new();
  SystemClock m_clock;
  Logger m_logger{ "test", LogLevel::kError };
  FakeTopic m_topic;
  FakeStore m_store{ m_base, m_topic };
  std::vector<uint64_t> m_applied;
  ConfigFollower<FakeStore> m_follower{ m_base,
                                        m_clock,
                                        m_store,
                                        m_logger,
                                        [this](const OperatorConfig& aConfig) {
                                          m_applied.push_back(aConfig.version);
                                        },
                                        ConfigFollowerSettings{
                                          .pollWait = milliseconds(400),
                                          .relayPollWait = milliseconds(20),
                                          .retryDelay = milliseconds(5),
                                          .maxRetryDelay = milliseconds(80),
                                          .catchUpDelay = milliseconds(5),
                                          .maxAge = milliseconds(100) } };
};

TEST_F(ConfigFollowerTest, Start_SeveralVersions_NewestIsApplied)
{
  Write(Config(3));
  Write(Config(4));
  EXPECT_EQ(m_follower.Current(), nullptr);
  m_follower.Start();
  Run(milliseconds(20));
  EXPECT_EQ(m_applied, std::vector<uint64_t>{ 4 });
  EXPECT_EQ(m_follower.Position().offset, 2);
}

TEST_F(ConfigFollowerTest, ApplyNewest_MalformedOrOlderVersion_KeepsCurrentOne)
{
  Write(Config(4));
  m_follower.Start();
  Run(milliseconds(20));
  Write("{\"version\":");
  PeerReads(2);
  Run(milliseconds(20));
  Write(Config(3));
  PeerReads(3);
  Run(milliseconds(20));
  EXPECT_EQ(m_applied, std::vector<uint64_t>{ 4 });
  EXPECT_EQ(m_follower.Current()->version, 4U);
  EXPECT_EQ(m_follower.Position().offset, 3);
}

/**
 * Guards against a valid configuration that is lost because a record that is
 * not one follows it in the same read.
 */
TEST_F(ConfigFollowerTest,
       ApplyNewest_MalformedRecordIsLast_AppliesTheOneBefore)
{
  Write(Config(1));
  m_follower.Start();
  Run(milliseconds(20));
  Write(Config(2));
  Write("{\"version\":");
  PeerReads(3);
  Run(milliseconds(20));
  EXPECT_EQ(m_follower.Current()->version, 2U);
  EXPECT_EQ(m_follower.Position().offset, 3);
}

TEST_F(ConfigFollowerTest, ApplyNewest_OlderVersionIsLast_AppliesTheOneBefore)
{
  Write(Config(2));
  m_follower.Start();
  Run(milliseconds(20));
  Write(Config(5));
  Write(Config(1));
  PeerReads(3);
  Run(milliseconds(20));
  EXPECT_EQ(m_follower.Current()->version, 5U);
}

/** Guards against peers that are sent a record that is no configuration, and
 * then skip the one before it. */
TEST_F(ConfigFollowerTest,
       SetOnRead_MalformedRecordIsLast_PassesOnTheOneInForce)
{
  std::vector<StoreEntry> passedOn;
  m_follower.SetOnRead([&](const StoreRecords& aRecords) {
    if (!aRecords.entries.empty()) {
      passedOn = aRecords.entries;
    }
  });
  Write(Config(2));
  Write("{\"version\":");
  m_follower.Start();
  Run(milliseconds(20));
  ASSERT_EQ(passedOn.size(), 1U);
  EXPECT_EQ(passedOn.front().value, Config(2));
}

TEST_F(ConfigFollowerTest,
       OnPeerReading_PeerHasReadFurther_ReadsBeforeThePollEnds)
{
  Write(Config(1));
  m_follower.Start();
  Run(milliseconds(20));
  Write(Config(2));
  const auto before = m_store.reads;
  PeerReads(1);
  EXPECT_EQ(m_store.reads, before);
  PeerReads(2);
  Run(milliseconds(20));
  EXPECT_EQ(m_follower.Current()->version, 2U);
}

/**
 * Guards against a host that stays behind for good because the records between
 * its position and that of its peers are no longer retained.
 */
TEST_F(ConfigFollowerTest, CatchUp_RecordsHaveExpired_ReadsTheNewest)
{
  Write(Config(1));
  m_follower.Start();
  Run(milliseconds(20));
  for (int report = 0; report < 11; ++report) { // Ends the first poll.
    PeerReads(1);
    Run(milliseconds(40));
  }
  Write(Config(2));
  m_store.firstRetained = 2;
  PeerReads(2);
  Run(milliseconds(40));
  EXPECT_EQ(m_follower.Current()->version, 2U);
}

/** Three hundred hosts must not read each configuration from the store. */
TEST_F(ConfigFollowerTest, ApplyPeerRecords_RelaySendsThem_StoreIsNotRead)
{
  Write(Config(1));
  m_follower.Start();
  PeerReads(1);
  Run(milliseconds(20));
  PeerReads(1);
  Run(milliseconds(450)); // Ends the first poll.
  for (int report = 0; report < 5; ++report) {
    PeerReads(1);
    Run(milliseconds(40));
  }
  const auto before = m_store.reads;
  Write(Config(2));
  PeerReads(2);
  m_follower.ApplyPeerRecords(m_topic.From(1));
  EXPECT_EQ(m_follower.Current()->version, 2U);
  for (int report = 0; report < 10; ++report) {
    PeerReads(2);
    Run(milliseconds(40));
  }
  EXPECT_EQ(m_store.reads, before);
}

/** Before the first configuration there is nothing that a peer could send. */
TEST_F(ConfigFollowerTest, Poll_NoConfigurationYet_WaitsForItDespitePeers)
{
  m_follower.Start();
  PeerReads(0);
  Run(milliseconds(20));
  Write(Config(1));
  PeerReads(0);
  Run(milliseconds(500));
  ASSERT_NE(m_follower.Current(), nullptr);
  EXPECT_EQ(m_follower.Current()->version, 1U);
}

TEST_F(ConfigFollowerTest, Poll_PeersFallSilent_StoreIsReadAgain)
{
  Write(Config(1));
  m_follower.Start();
  for (int report = 0; report < 12; ++report) {
    PeerReads(1);
    Run(milliseconds(40));
  }
  Write(Config(2));
  Run(milliseconds(300));
  EXPECT_EQ(m_follower.Current()->version, 2U);
}

/**
 * Guards against a configuration that is not in force in time on hosts that can
 * reach the store, because the peers that they follow cannot: these still name
 * the position of their last read, which is never confirmed again. The fake
 * store answers a long poll when its wait has passed.
 */
TEST_F(ConfigFollowerTest, Poll_PeersCannotReadTheStore_StoreIsReadInstead)
{
  Write(Config(1));
  m_follower.Start();
  Run(milliseconds(20));
  const auto lastRead = m_clock.Now();
  for (int report = 0; report < 11; ++report) { // Ends the first poll.
    m_follower.OnPeerReading({ At(1), lastRead });
    Run(milliseconds(40));
  }
  Write(Config(2));
  for (int report = 0; report < 14; ++report) {
    m_follower.OnPeerReading({ At(1), lastRead });
    Run(milliseconds(40));
  }
  EXPECT_EQ(m_follower.Current()->version, 2U);
}

/** Same, from peers that do not say how old their reading is. */
TEST_F(ConfigFollowerTest, Poll_PeersNameNoAge_StoreIsReadInstead)
{
  Write(Config(1));
  m_follower.Start();
  Run(milliseconds(20));
  m_follower.OnPeerReading({ At(1), {} });
  Run(milliseconds(420));
  Write(Config(2));
  for (int report = 0; report < 14; ++report) {
    m_follower.OnPeerReading({ At(1), {} });
    Run(milliseconds(40));
  }
  EXPECT_EQ(m_follower.Current()->version, 2U);
}

/**
 * Guards against a claim about a later position: it confirms nothing as long as
 * the records up to there are missing here.
 */
TEST_F(ConfigFollowerTest, OnPeerReading_PeerIsFurther_ConfirmsOnceCaughtUp)
{
  Write(Config(1));
  m_follower.Start();
  Run(milliseconds(20));
  m_store.down = true;
  Write(Config(2));
  const auto before = m_follower.Reading().confirmedAt;
  PeerReads(2);
  Run(milliseconds(20));
  EXPECT_EQ(m_follower.Reading().confirmedAt, before);
  m_follower.ApplyPeerRecords(m_topic.From(1));
  EXPECT_GT(m_follower.Reading().confirmedAt, before);
}

/**
 * Guards against overload of a store that is down: in the pattern ManyFollowers
 * seventy hosts retry against a store that refuses their calls.
 */
TEST_F(ConfigFollowerTest, StoreDown_NotRelay_RetriesWithBackOff)
{
  Write(Config(1));
  m_follower.Start();
  Run(milliseconds(20));
  m_store.down = true;
  Run(milliseconds(450));
  const auto before = m_store.reads;
  Run(milliseconds(300));
  EXPECT_LE(m_store.reads - before, 6);
  m_store.down = false;
  Write(Config(2));
  Run(milliseconds(200));
  EXPECT_EQ(m_follower.Current()->version, 2U);
}

TEST_F(ConfigFollowerTest, StoreDown_Relay_RetriesWithoutBackOff)
{
  m_follower.SetIsRelay([] { return true; });
  Write(Config(1));
  m_follower.Start();
  Run(milliseconds(20));
  m_store.down = true;
  Run(milliseconds(50));
  const auto before = m_store.reads;
  Run(milliseconds(300));
  EXPECT_GE(m_store.reads - before, 10);
}

/**
 * Guards against a version that stays unknown because it has the offset of one
 * that the store has lost: the end is then the position of before.
 */
TEST_F(ConfigFollowerTest, StoreReturns_VersionHasTheOffsetOfALostOne_IsApplied)
{
  m_follower.SetIsRelay([] { return true; });
  Write(Config(1));
  const auto copy = m_topic;
  Write(Config(2));
  m_follower.Start();
  Run(milliseconds(50));
  m_topic.ReturnTo(copy);
  Write(Config(3));
  Run(milliseconds(100));
  EXPECT_EQ(m_applied, (std::vector<uint64_t>{ 2, 3 }));
  EXPECT_EQ(m_follower.Position(), At(2));
}

/** Guards against versions that are skipped because the end has passed the
 * position of before. */
TEST_F(ConfigFollowerTest, StoreReturns_EndPassesThePosition_NoneIsSkipped)
{
  Write(Config(1));
  const auto copy = m_topic;
  Write(Config(2));
  Write(Config(3));
  m_follower.Start();
  Run(milliseconds(50));
  m_store.down = true;
  m_topic.ReturnTo(copy);
  Write(Config(4));
  Write("{}");
  Write("{}");
  Write("{}");
  Run(milliseconds(450));
  m_store.down = false;
  Run(milliseconds(200));
  EXPECT_EQ(m_follower.Current()->version, 4U);
}

/** Guards against an accepted version that is taken back with the copy. */
TEST_F(ConfigFollowerTest, StoreReturns_CopyHasAnOlderVersion_NewerOneStays)
{
  m_follower.SetIsRelay([] { return true; });
  Write(Config(1));
  const auto copy = m_topic;
  Write(Config(2));
  m_follower.Start();
  Run(milliseconds(50));
  m_topic.ReturnTo(copy);
  Run(milliseconds(100));
  EXPECT_EQ(m_applied, std::vector<uint64_t>{ 2 });
  EXPECT_EQ(m_follower.Position(), At(1));
  ASSERT_EQ(m_follower.InForce().entries.size(), 1U);
  EXPECT_EQ(m_follower.InForce().entries[0].value, Config(2));
}

/** Guards against a host that repeats its calls without a delay. */
TEST_F(ConfigFollowerTest, StoreReturns_PositionIsBeyondTheEnd_DoesNotLoop)
{
  m_follower.SetIsRelay([] { return true; });
  Write(Config(1));
  const auto copy = m_topic;
  Write(Config(2));
  m_follower.Start();
  Run(milliseconds(50));
  m_topic.ReturnTo(copy);
  const auto before = m_store.reads;
  Run(milliseconds(200));
  EXPECT_LE(m_store.reads - before, 14); // A poll every 20 ms.
}

/** Same, if the store goes on refusing the position that it states itself. */
TEST_F(ConfigFollowerTest, Poll_ExpiresAgainAndAgain_IsRepeatedWithADelay)
{
  m_follower.SetIsRelay([] { return true; });
  Write(Config(1));
  m_follower.Start();
  Run(milliseconds(50));
  m_store.firstRetained = 9;
  const auto before = m_store.reads;
  Run(milliseconds(200));
  EXPECT_LE(m_store.reads - before, 85); // Two calls every 5 ms.
}

/**
 * Guards against a greater offset that is taken for the newer knowledge: a peer
 * that has not noticed the return confirms nothing, and is not followed.
 */
TEST_F(ConfigFollowerTest, OnPeerReading_PeerIsInAnEarlierEra_ConfirmsNothing)
{
  m_follower.SetIsRelay([] { return true; });
  Write(Config(1));
  const auto copy = m_topic;
  Write(Config(2));
  const auto lost = At(2);
  m_follower.Start();
  Run(milliseconds(50));
  m_topic.ReturnTo(copy);
  Run(milliseconds(100));
  m_store.down = true;
  Run(milliseconds(50));
  const auto before = m_follower.Reading().confirmedAt;
  m_follower.OnPeerReading({ lost, m_clock.Now() });
  EXPECT_EQ(m_follower.Reading().confirmedAt, before);
}

/** Guards against a host that stays in the earlier era because its offset is
 * greater than that of its peers. */
TEST_F(ConfigFollowerTest, OnPeerReading_PeerIsInALaterEra_ReadsTheNewest)
{
  Write(Config(1));
  const auto copy = m_topic;
  Write(Config(2));
  Write(Config(3));
  m_follower.Start();
  Run(milliseconds(50));
  m_topic.ReturnTo(copy);
  Write(Config(4));
  PeerReads(2);
  Run(milliseconds(50));
  EXPECT_EQ(m_follower.Current()->version, 4U);
  EXPECT_EQ(m_follower.Position(), At(2));
}

/** A version that a peer has accepted counts also if the store has lost it. */
TEST_F(ConfigFollowerTest, ApplyPeerRecords_OfAnEarlierEra_VersionCounts)
{
  Write(Config(1));
  m_follower.Start();
  Run(milliseconds(50));
  const auto copy = m_topic;
  Write(Config(2));
  const auto lost = m_topic.From(1);
  m_topic.ReturnTo(copy);
  PeerReads(1);
  Run(milliseconds(50));
  m_follower.ApplyPeerRecords(lost);
  EXPECT_EQ(m_follower.Current()->version, 2U);
  EXPECT_EQ(m_follower.Position(), At(1));
}

/** Guards against a poll that waits at an end which has been given out again,
 * while another call has shown that the store has come back from a copy. */
TEST_F(ConfigFollowerTest, OnLaterEra_PollIsWaiting_NewestIsReadAtOnce)
{
  Write(Config(1));
  const auto copy = m_topic;
  Write(Config(2));
  m_follower.Start();
  Run(milliseconds(20)); // Its poll waits for 400 ms.
  m_topic.ReturnTo(copy);
  Write(Config(3));
  m_follower.OnLaterEra(m_topic.Position().era);
  Run(milliseconds(20));
  EXPECT_EQ(m_follower.Current()->version, 3U);
  EXPECT_EQ(m_follower.Position(), At(2));
  const auto before = m_store.reads;
  m_follower.OnLaterEra(m_topic.Position().era); // Known already.
  EXPECT_EQ(m_store.reads, before);
}

}
