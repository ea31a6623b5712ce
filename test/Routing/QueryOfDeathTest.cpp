#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/Routing/CrashSuspects.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A request that ends each server that runs it, among harmless ones. */
class QueryOfDeathTest : public ::testing::Test
{
protected:
  static constexpr RequestFingerprint kDeadly{ 666 };
  static constexpr RequestFingerprint kPopular{ 7 };

  /** A server ends while it runs these requests. */
  void End(std::vector<RequestFingerprint> aRunning)
  {
    m_now += milliseconds(100);
    m_suspects.AddEnd({ ServerEndId(++m_ends), std::move(aRunning) }, m_now);
  }

  /** Requests that run once each. */
  std::vector<RequestFingerprint> Others(size_t aCount)
  {
    std::vector<RequestFingerprint> others;
    others.reserve(aCount);
    for (size_t index = 0; index < aCount; ++index) {
      others.emplace_back(++m_lastOther);
    }
    return others;
  }

  SuspicionLevel LevelOf(RequestFingerprint aRequest) const
  {
    return m_suspects.Judge(aRequest, m_now).level;
  }

  MonoTime m_now{ seconds(1000) };
  uint64_t m_ends = 0;
  uint64_t m_lastOther = 1000;
  CrashSuspects m_suspects;
};

TEST_F(QueryOfDeathTest, Judge_NoServerEnded_IsNotSuspected)
{
  EXPECT_EQ(LevelOf(kDeadly), SuspicionLevel::kNone);
}

/** Guards against a request that is sent on to servers without end. */
TEST_F(QueryOfDeathTest, Judge_ThreeServersEnded_IsExcluded)
{
  for (uint32_t ends = 1; ends <= 3; ++ends) {
    EXPECT_NE(LevelOf(kDeadly), SuspicionLevel::kExcluded);
    auto running = Others(13);
    running.push_back(kDeadly);
    End(running);
    EXPECT_EQ(m_suspects.Judge(kDeadly, m_now).ends, ends);
    EXPECT_EQ(LevelOf(running.front()), SuspicionLevel::kSuspect);
  }
  EXPECT_EQ(LevelOf(kDeadly), SuspicionLevel::kExcluded);
}

TEST_F(QueryOfDeathTest, Judge_RanAloneAtOneOfTwoEnds_IsExcluded)
{
  End({ kDeadly, kPopular });
  End({ kDeadly });
  EXPECT_EQ(LevelOf(kDeadly), SuspicionLevel::kExcluded);
  EXPECT_EQ(LevelOf(kPopular), SuspicionLevel::kSuspect);
}

/** Guards against evidence for guilt that outlasts the evidence against it. */
TEST_F(QueryOfDeathTest, OnAnsweredSince_OfEachEnd_ClearsOnlyThatRequest)
{
  for (uint64_t end = 1; end <= 3; ++end) {
    End({ kDeadly, kPopular });
    m_suspects.OnAnsweredSince(ServerEndId(end), kPopular);
  }
  EXPECT_EQ(LevelOf(kPopular), SuspicionLevel::kNone);
  EXPECT_EQ(LevelOf(kDeadly), SuspicionLevel::kExcluded);
}

TEST_F(QueryOfDeathTest, OnCompleted_Suspect_NamesItsEnds)
{
  End({ kDeadly, kPopular });
  End({ kDeadly, kPopular });
  const std::vector<ServerEndId> ends{ ServerEndId(1), ServerEndId(2) };
  EXPECT_EQ(m_suspects.OnCompleted(kPopular), ends);
  EXPECT_TRUE(m_suspects.OnCompleted(kPopular).empty());
}

/** What is left of an end after the others were answered was not alone. */
TEST_F(QueryOfDeathTest, Judge_OthersWereAnsweredSince_DidNotRunAlone)
{
  for (uint64_t end = 1; end <= 2; ++end) {
    m_suspects.AddEnd({ ServerEndId(end), { kPopular }, 14 }, m_now);
  }
  EXPECT_EQ(LevelOf(kPopular), SuspicionLevel::kSuspect);
}

/** Guards against one crash by another cause that shuts a request out. */
TEST_F(QueryOfDeathTest, Judge_OneServerEnded_ExcludesNothing)
{
  End({ kPopular });
  EXPECT_EQ(LevelOf(kPopular), SuspicionLevel::kSuspect);
}

/** Guards against a popular request that is blamed for being everywhere. */
TEST_F(QueryOfDeathTest, OnCompleted_PopularRequest_IsNeverExcluded)
{
  for (int end = 0; end < 20; ++end) {
    End({ kDeadly, kPopular });
    EXPECT_NE(LevelOf(kPopular), SuspicionLevel::kExcluded);
    m_suspects.OnCompleted(kPopular);
    EXPECT_EQ(LevelOf(kPopular), SuspicionLevel::kNone);
  }
  EXPECT_EQ(LevelOf(kDeadly), SuspicionLevel::kExcluded);
}

/** The same end is read from the store again after each change of a host. */
TEST_F(QueryOfDeathTest, AddEnd_KnownEnd_CountsOnce)
{
  const ServerEnd end{ ServerEndId(1), { kDeadly } };
  for (int repeat = 0; repeat < 5; ++repeat) {
    m_suspects.AddEnd(end, m_now);
  }
  EXPECT_EQ(m_suspects.Judge(kDeadly, m_now).ends, 1U);
  m_suspects.OnCompleted(kDeadly);
  m_suspects.AddEnd(end, m_now);
  EXPECT_EQ(LevelOf(kDeadly), SuspicionLevel::kNone);
}

/** A host's record lists an end for longer than it counts. */
TEST_F(QueryOfDeathTest, AddEnd_KnownEndAfterItsRetention_StaysForgotten)
{
  const ServerEnd end{ ServerEndId(1), { kDeadly } };
  m_suspects.AddEnd(end, m_now);
  m_now += kCrashRetention;
  m_suspects.AddEnd(end, m_now);
  EXPECT_EQ(LevelOf(kDeadly), SuspicionLevel::kNone);
}

TEST_F(QueryOfDeathTest, Judge_RetentionIsOver_IsNotSuspected)
{
  for (int end = 0; end < 3; ++end) {
    End({ kDeadly });
  }
  const auto until = m_suspects.Judge(kDeadly, m_now).until;
  EXPECT_EQ(until, m_now + kCrashRetention);
  m_now = until - milliseconds(1);
  EXPECT_EQ(LevelOf(kDeadly), SuspicionLevel::kExcluded);
  m_now = until;
  EXPECT_EQ(LevelOf(kDeadly), SuspicionLevel::kNone);
}

TEST_F(QueryOfDeathTest, AddEnd_RequestWithoutFingerprint_IsIgnored)
{
  for (int end = 0; end < 5; ++end) {
    End({ RequestFingerprint() });
  }
  EXPECT_EQ(LevelOf(RequestFingerprint()), SuspicionLevel::kNone);
}

/** Guards against memory that grows with each end. */
TEST_F(QueryOfDeathTest, AddEnd_ManyRequests_MemoryIsBounded)
{
  const CrashSuspectSettings settings;
  for (int end = 0; end < 2000; ++end) {
    auto running = Others(16);
    running.push_back(kDeadly);
    End(running);
    EXPECT_LE(m_suspects.Size(), settings.maxRequests);
  }
  EXPECT_EQ(LevelOf(kDeadly), SuspicionLevel::kExcluded);
}

/** However requests are mixed, only those that every server ends under and that
 * are never answered are excluded. */
RC_GTEST_FIXTURE_PROP(QueryOfDeathTest,
                      Judge_AnsweredSinceTheLastEnd_IsNotExcluded,
                      ())
{
  const auto steps = *rc::gen::inRange(1, 60);
  std::map<uint64_t, uint32_t> unanswered;
  for (int step = 0; step < steps; ++step) {
    const auto number = *rc::gen::inRange<uint64_t>(1, 6);
    if (*rc::gen::arbitrary<bool>()) {
      m_suspects.OnCompleted(RequestFingerprint(number));
      unanswered[number] = 0;
    } else {
      End({ RequestFingerprint(number), RequestFingerprint(number + 100) });
      ++unanswered[number];
    }
    for (const auto& [request, ends] : unanswered) {
      RC_ASSERT((LevelOf(RequestFingerprint(request)) ==
                 SuspicionLevel::kExcluded) == (ends >= 3));
    }
  }
}

}
