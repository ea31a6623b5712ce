#include <map>
#include <set>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

class OutcomeTableTest : public ::testing::Test
{
protected:
  static RequestId Id(uint64_t aLow) { return { 7, aLow }; }

  static CachedResponse Answer(size_t aBytes)
  {
    return { 200, std::string(aBytes, 'x') };
  }
};

// Makes random calls to a bounded table and compares its results with a
// complete record of all requests.
class RandomTableCalls
{
public:
  explicit RandomTableCalls(OutcomeTableSettings aSettings)
    : m_settings(aSettings)
    , m_table(aSettings)
  {
  }

  void Step()
  {
    if (m_requests.empty() || *rc::gen::inRange(0, 3) == 0) {
      m_requests.push_back({ m_table.Position() });
    }
    const auto index = *rc::gen::inRange<size_t>(0, m_requests.size());
    const RequestId id{ 3, index };
    auto& request = m_requests[index];
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        Finish(id, request);
        break;
      case 1:
        Query(id, request);
        break;
      default:
        Begin(id, request);
    }
    RC_ASSERT(m_table.Size() <= m_settings.capacity);
    RC_ASSERT(m_table.AnswerBytes() <= m_settings.maxTotalAnswerBytes);
  }

private:
  struct Request
  {
    TablePosition known;
    bool started = false;
    bool running = false;
    bool poisoned = false;
  };

  void Begin(const RequestId& aId, Request& aRequest)
  {
    const auto verdict = m_table.Begin(aId, aRequest.known).verdict;
    if (verdict == BeginVerdict::kStarted) {
      RC_ASSERT(!aRequest.started);
      RC_ASSERT(!aRequest.poisoned);
      aRequest.started = true;
      aRequest.running = true;
    }
    if (verdict == BeginVerdict::kPoisoned) {
      RC_ASSERT(aRequest.poisoned);
    }
    RC_ASSERT((verdict == BeginVerdict::kRunning) <= aRequest.running);
  }

  void Finish(const RequestId& aId, Request& aRequest)
  {
    if (!aRequest.running) {
      return;
    }
    aRequest.running = false;
    if (*rc::gen::inRange(0, 4) == 0) {
      aRequest.poisoned = true;
      aRequest.started = false;
      return m_table.Withdraw(aId);
    }
    m_table.Finish(aId, CachedResponse{ 200, std::to_string(aId.low) });
  }

  void Query(const RequestId& aId, Request& aRequest)
  {
    const auto result = m_table.Query(aId, aRequest.known);
    RC_ASSERT((result.state == RequestState::kRunning) <= aRequest.running);
    if (result.state == RequestState::kNeverSeen) {
      RC_ASSERT(!aRequest.started);
      aRequest.poisoned = true;
    }
    if (result.state == RequestState::kDone) {
      RC_ASSERT(aRequest.started && !aRequest.running);
    }
    if (result.answer) {
      RC_ASSERT(result.answer->payload == std::to_string(aId.low));
    }
  }

  OutcomeTableSettings m_settings;
  OutcomeTable m_table;
  std::vector<Request> m_requests;
};

RC_GTEST_FIXTURE_PROP(OutcomeTableTest,
                      AnyCalls_Bounded_NeverSeenOnlyIfNotRunAndThenNeverRuns,
                      ())
{
  OutcomeTableSettings settings;
  settings.capacity = *rc::gen::inRange<size_t>(1, 12);
  settings.maxTotalAnswerBytes = *rc::gen::inRange<size_t>(0, 12);
  RandomTableCalls calls(settings);
  const auto steps = *rc::gen::inRange(1, 300);
  for (int step = 0; step < steps; ++step) {
    calls.Step();
  }
}

// Makes random calls for requests with idempotency keys under changing grants,
// and records which of them have run.
class RandomKeyedCalls
{
public:
  explicit RandomKeyedCalls(size_t aCapacity)
    : m_table(OutcomeTableSettings{ aCapacity, 100, 1000 })
  {
  }

  void Step()
  {
    if (m_requests.empty() || *rc::gen::inRange(0, 3) == 0) {
      m_requests.push_back({ m_table.Position(), *rc::gen::inRange(0, 4) });
    }
    const auto index = *rc::gen::inRange<size_t>(0, m_requests.size());
    const RequestId id{ 5, index };
    auto& request = m_requests[index];
    switch (*rc::gen::inRange(0, 9)) {
      case 0:
        EndGrant();
        break;
      case 1:
      case 2:
        Query(id, request);
        break;
      case 3:
        Withdraw(id, request);
        break;
      case 4:
        Finish(id, request);
        break;
      default:
        Begin(id, request);
    }
  }

private:
  struct Request
  {
    TablePosition known;
    int key = 0;
    bool running = false;
    bool ran = false;
    bool neverSeen = false; ///< As a query or a refusal has told its sender.
  };

  struct KeyUse
  {
    std::optional<FenceToken> firstGrant;
    int runs = 0; ///< Withdrawn ones don't count.
  };

  void EndGrant()
  {
    m_table.EndGrant(m_grant);
    m_grant.entry = Offset(m_grant.entry.Value() + 1);
  }

  void Begin(const RequestId& aId, Request& aRequest)
  {
    auto& use = m_uses[aRequest.key];
    IdempotencyKey key{ std::to_string(aRequest.key) };
    key.repeat = use.firstGrant.has_value();
    key.firstGrant = use.firstGrant;
    use.firstGrant = use.firstGrant.value_or(m_grant);
    const auto verdict =
      m_table.Begin(aId, aRequest.known, m_grant, key).verdict;
    const bool earlier =
      verdict == BeginVerdict::kRunning || verdict == BeginVerdict::kDone;
    RC_ASSERT(earlier <= (use.runs == 1));
    if (verdict != BeginVerdict::kStarted) {
      return;
    }
    RC_ASSERT(!aRequest.ran);
    RC_ASSERT(!aRequest.neverSeen);
    RC_ASSERT(++use.runs == 1);
    aRequest.running = true;
    aRequest.ran = true;
  }

  void Withdraw(const RequestId& aId, Request& aRequest)
  {
    if (!std::exchange(aRequest.running, false)) {
      return;
    }
    m_table.Withdraw(aId);
    --m_uses[aRequest.key].runs;
    aRequest.ran = false;
    aRequest.neverSeen = true;
  }

  void Finish(const RequestId& aId, Request& aRequest)
  {
    if (std::exchange(aRequest.running, false)) {
      m_table.Finish(aId, CachedResponse{ 200, "x" });
    }
  }

  void Query(const RequestId& aId, Request& aRequest)
  {
    const auto state = m_table.Query(aId, aRequest.known).state;
    RC_ASSERT((state == RequestState::kRunning) == aRequest.running);
    if (state == RequestState::kNeverSeen) {
      RC_ASSERT(!aRequest.ran);
      aRequest.neverSeen = true;
    }
  }

  OutcomeTable m_table;
  FenceToken m_grant{ Offset(1), Rank(0) };
  std::vector<Request> m_requests;
  std::map<int, KeyUse> m_uses;
};

// Guards against an id that runs after it was told to be never seen, or is told
// so after it has run, where the request has an idempotency key: its record is
// found by the key first, and the key outlives or precedes the record.
RC_GTEST_FIXTURE_PROP(OutcomeTableTest,
                      AnyCalls_WithKeys_NeverSeenOnlyIfNotRunAndThenNeverRuns,
                      ())
{
  RandomKeyedCalls calls(*rc::gen::inRange<size_t>(1, 12));
  const auto steps = *rc::gen::inRange(1, 300);
  for (int step = 0; step < steps; ++step) {
    calls.Step();
  }
}

// Callers repeat idempotency keys while grants change and a small table evicts
// its records.
RC_GTEST_FIXTURE_PROP(OutcomeTableTest,
                      IdempotencyKey_RepeatedAcrossGrants_RunsAtMostOnce,
                      ())
{
  OutcomeTableSettings settings;
  settings.capacity = *rc::gen::inRange<size_t>(1, 8);
  OutcomeTable table(settings);
  FenceToken grant{ Offset(1), Rank(0) };
  struct Use
  {
    std::optional<FenceToken> firstGrant;
    int runs = 0;
  };
  std::map<int, Use> uses;
  uint64_t count = 0;
  const auto steps = *rc::gen::inRange(1, 150);
  for (int step = 0; step < steps; ++step) {
    if (*rc::gen::inRange(0, 15) == 0) {
      table.EndGrant(grant);
      grant.entry = Offset(grant.entry.Value() + 1);
    }
    const auto number = *rc::gen::inRange(0, 10);
    auto& use = uses[number];
    IdempotencyKey key{ std::to_string(number) };
    key.repeat = use.firstGrant.has_value();
    key.firstGrant = use.firstGrant;
    const auto id = Id(++count);
    const auto result = table.Begin(id, table.Position(), grant, key);
    use.firstGrant = use.firstGrant.value_or(grant);
    if (result.verdict == BeginVerdict::kStarted) {
      ++use.runs;
      RC_ASSERT(use.runs == 1);
      if (*rc::gen::arbitrary<bool>()) {
        table.Finish(id, Answer(3));
      }
    }
  }
}

TEST_F(OutcomeTableTest, Query_LateCopyAfterNeverSeen_Refused)
{
  OutcomeTable table;
  const auto known = table.Position();
  EXPECT_EQ(table.Query(Id(1), known).state, RequestState::kNeverSeen);
  EXPECT_EQ(table.Begin(Id(1), known).verdict, BeginVerdict::kPoisoned);
}

TEST_F(OutcomeTableTest, Query_WithinCapacity_NothingForgotten)
{
  OutcomeTable table;
  for (uint64_t index = 0; index < 1000; ++index) {
    ASSERT_EQ(table.Begin(Id(index), {}).verdict, BeginVerdict::kStarted);
    table.Finish(Id(index), Answer(1));
  }
  EXPECT_EQ(table.Query(Id(0), {}).answer, Answer(1));
  EXPECT_EQ(table.Query(Id(5000), {}).state, RequestState::kNeverSeen);
}

TEST_F(OutcomeTableTest, Finish_LargeAnswer_DoneWithoutAnswer)
{
  OutcomeTable table(OutcomeTableSettings{ 10, 100, 1000 });
  table.Begin(Id(1), {});
  table.Finish(Id(1), Answer(101));
  const auto result = table.Query(Id(1), {});
  EXPECT_EQ(result.state, RequestState::kDone);
  EXPECT_FALSE(result.answer.has_value());
}

TEST_F(OutcomeTableTest, Begin_AllRunning_FullAndNothingEvicted)
{
  OutcomeTable table(OutcomeTableSettings{ 2, 100, 1000 });
  table.Begin(Id(1), {});
  table.Begin(Id(2), {});
  EXPECT_EQ(table.Begin(Id(3), {}).verdict, BeginVerdict::kFull);
  EXPECT_EQ(table.Query(Id(3), {}).state, RequestState::kForgotten);
  EXPECT_EQ(table.Query(Id(1), {}).state, RequestState::kRunning);
}

// Guards against requests that are refused for good, as perhaps run, once the
// table has evicted more than their sender knows of.
TEST_F(OutcomeTableTest, Begin_SenderKnowsAnOldPosition_RunsOnceItIsTold)
{
  OutcomeTable table(OutcomeTableSettings{ 4, 100, 1000 });
  const auto old = table.Position();
  for (uint64_t index = 0; index < 6; ++index) {
    table.Begin(Id(index), table.Position());
    table.Finish(Id(index), std::nullopt);
  }
  EXPECT_EQ(table.Begin(Id(7), old).verdict, BeginVerdict::kOutdated);
  EXPECT_EQ(table.Begin(Id(7), old).verdict, BeginVerdict::kOutdated);
  EXPECT_EQ(table.Begin(Id(8), table.Position()).verdict,
            BeginVerdict::kStarted);
}

TEST_F(OutcomeTableTest, Begin_PoisonedRecordIsEvicted_IsStillRefused)
{
  OutcomeTable table(OutcomeTableSettings{ 2, 100, 1000 });
  const auto known = table.Position();
  EXPECT_EQ(table.Query(Id(1), known).state, RequestState::kNeverSeen);
  for (uint64_t index = 2; index < 6; ++index) {
    table.Begin(Id(index), table.Position());
    table.Finish(Id(index), std::nullopt);
  }
  EXPECT_EQ(table.Begin(Id(1), known).verdict, BeginVerdict::kOutdated);
}

TEST_F(OutcomeTableTest, IdempotencyKey_SecondWhileAndAfterFirst_SameRun)
{
  OutcomeTable table;
  const FenceToken grant{ Offset(9), Rank(0) };
  const IdempotencyKey key{ "order-1" };
  table.Begin(Id(1), {}, grant, key);
  EXPECT_EQ(table.Begin(Id(2), {}, grant, key).verdict, BeginVerdict::kRunning);
  table.Finish(Id(1), Answer(4));
  const auto result = table.Begin(Id(3), {}, grant, key);
  EXPECT_EQ(result.verdict, BeginVerdict::kDone);
  EXPECT_EQ(result.answer, Answer(4));
}

}
}
