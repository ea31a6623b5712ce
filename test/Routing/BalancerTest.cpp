#include <map>
#include <queue>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class BalancerTest : public ::testing::Test
{
protected:
  static std::vector<DaemonId> Ids(int aCount)
  {
    std::vector<DaemonId> ids;
    for (int index = 1; index <= aCount; ++index) {
      ids.emplace_back(index);
    }
    return ids;
  }

  void SetInstances(int aCount) { m_balancer.SetInstances(Ids(aCount), m_now); }

  void End(DaemonId aId, InstanceResult aResult, Duration aLatency)
  {
    m_balancer.OnStart(aId);
    m_balancer.OnEnd(aId, aResult, aLatency, m_now);
  }

  // Sends one request per millisecond; returns the number for each instance.
  std::map<DaemonId, int> Send(int aCount,
                               const std::map<DaemonId, Duration>& aService)
  {
    using Completion = std::pair<MonoTime, DaemonId>;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      completions;
    std::map<DaemonId, int> sent;
    for (int index = 0; index < aCount; ++index) {
      m_now += milliseconds(1);
      while (!completions.empty() && completions.top().first <= m_now) {
        const auto id = completions.top().second;
        m_balancer.OnEnd(id, InstanceResult::kDone, aService.at(id), m_now);
        completions.pop();
      }
      if (index % 100 == 0) {
        for (const auto& [id, service] : aService) {
          m_balancer.OnLoadReport(id, m_reported[id], m_now);
        }
      }
      const auto id = *m_balancer.Choose(m_random, m_now);
      m_balancer.OnStart(id);
      completions.emplace(m_now + aService.at(id), id);
      ++sent[id];
    }
    return sent;
  }

  Balancer m_balancer;
  RandomEngine m_random{ 7 };
  MonoTime m_now{ std::chrono::hours(1) };
  std::map<DaemonId, double> m_reported;
};

RC_GTEST_FIXTURE_PROP(BalancerTest,
                      AnyResults_EjectedShare_BoundedAndNeverChosen,
                      ())
{
  const auto count = *rc::gen::inRange(1, 10);
  SetInstances(count);
  const auto steps = *rc::gen::inRange(1, 300);
  for (int step = 0; step < steps; ++step) {
    m_now += milliseconds(*rc::gen::inRange(0, 500));
    const DaemonId id(*rc::gen::inRange(1, count + 1));
    const auto result = *rc::gen::element(InstanceResult::kDone,
                                          InstanceResult::kShed,
                                          InstanceResult::kFailed,
                                          InstanceResult::kFailed,
                                          InstanceResult::kFailed);
    End(id, result, milliseconds(*rc::gen::inRange(1, 100)));
    RC_ASSERT(m_balancer.EjectedCount(m_now) * 100 <=
              static_cast<size_t>(count) * 34);
    const auto chosen = m_balancer.Choose(m_random, m_now, id);
    RC_ASSERT(chosen.has_value());
    RC_ASSERT(!m_balancer.IsEjected(*chosen, m_now));
    RC_ASSERT(chosen != id || count - m_balancer.EjectedCount(m_now) == 1);
  }
}

TEST_F(BalancerTest, Choose_EqualInstances_NoneStarves)
{
  SetInstances(4);
  const auto sent = Send(4000,
                         { { DaemonId(1), milliseconds(10) },
                           { DaemonId(2), milliseconds(10) },
                           { DaemonId(3), milliseconds(10) },
                           { DaemonId(4), milliseconds(10) } });
  for (const auto& [id, count] : sent) {
    EXPECT_GT(count, 500) << id.Value();
  }
}

// The slow instance takes ten times as long as the others and reports no load.
TEST_F(BalancerTest, Choose_SlowInstanceReportsNoLoad_LosesConfidenceAndShare)
{
  SetInstances(3);
  m_reported = { { DaemonId(1), 0.0 },
                 { DaemonId(2), 8.0 },
                 { DaemonId(3), 8.0 } };
  const auto sent = Send(4000,
                         { { DaemonId(1), milliseconds(100) },
                           { DaemonId(2), milliseconds(10) },
                           { DaemonId(3), milliseconds(10) } });
  EXPECT_LT(sent.at(DaemonId(1)), 4000 / 3 / 4);
  EXPECT_LT(m_balancer.ReportConfidence(DaemonId(1)), 0.4);
  EXPECT_GT(m_balancer.ReportConfidence(DaemonId(2)), 0.6);
}

TEST_F(BalancerTest, OnEnd_FailuresInRow_EjectedThenBackInSlowStart)
{
  SetInstances(4);
  for (int count = 0; count < 5; ++count) {
    End(DaemonId(2), InstanceResult::kFailed, milliseconds(1));
  }
  EXPECT_TRUE(m_balancer.IsEjected(DaemonId(2), m_now));
  m_now += seconds(6);
  EXPECT_FALSE(m_balancer.IsEjected(DaemonId(2), m_now));
  int chosen = 0;
  for (int count = 0; count < 1000; ++count) {
    chosen += m_balancer.Choose(m_random, m_now) == DaemonId(2) ? 1 : 0;
  }
  EXPECT_EQ(chosen, 0); // The others are idle too, not in slow start.
}

TEST_F(BalancerTest, Choose_LoadReport_CountsUntilItAges)
{
  SetInstances(2);
  End(DaemonId(1), InstanceResult::kDone, milliseconds(10));
  End(DaemonId(2), InstanceResult::kDone, milliseconds(10));
  m_balancer.OnLoadReport(DaemonId(1), 3.0, m_now);
  m_balancer.OnStart(DaemonId(2));
  EXPECT_EQ(m_balancer.Choose(m_random, m_now), DaemonId(2));
  m_now += seconds(20);
  EXPECT_EQ(m_balancer.Choose(m_random, m_now), DaemonId(1));
}

// Load reports are delayed: without smoothing, all senders would send to the
// instance at once.
TEST_F(BalancerTest, OnLoadReport_MomentaryDip_AttractsNoRequests)
{
  SetInstances(2);
  for (int round = 0; round < 10; ++round) {
    m_balancer.OnLoadReport(DaemonId(1), 8.0, m_now);
    m_balancer.OnLoadReport(DaemonId(2), 8.0, m_now);
  }
  m_balancer.OnLoadReport(DaemonId(1), 0.0, m_now);
  m_balancer.OnStart(DaemonId(1));
  m_balancer.OnStart(DaemonId(1));
  EXPECT_EQ(m_balancer.Choose(m_random, m_now), DaemonId(2));
}

TEST_F(BalancerTest, Choose_NoInstance_None)
{
  EXPECT_FALSE(m_balancer.Choose(m_random, m_now).has_value());
}

TEST_F(BalancerTest, Choose_InstanceOnThisHost_IsPreferred)
{
  SetInstances(12);
  for (const auto& id : Ids(12)) {
    End(id, InstanceResult::kDone, milliseconds(200));
  }
  for (int request = 0; request < 100; ++request) {
    EXPECT_EQ(m_balancer.Choose(m_random, m_now, {}, DaemonId(3)), DaemonId(3));
  }
}

TEST_F(BalancerTest, Choose_InstanceOnThisHostShedsOrIsSlow_OthersAreChosen)
{
  SetInstances(12);
  for (const auto& id : Ids(12)) {
    End(id, InstanceResult::kDone, milliseconds(200));
  }
  for (int answer = 0; answer < 20; ++answer) {
    End(DaemonId(3), InstanceResult::kShed, milliseconds(2));
    End(DaemonId(4), InstanceResult::kDone, milliseconds(2000));
  }
  for (int request = 0; request < 100; ++request) {
    EXPECT_NE(m_balancer.Choose(m_random, m_now, {}, DaemonId(3)), DaemonId(3));
    EXPECT_NE(m_balancer.Choose(m_random, m_now, {}, DaemonId(4)), DaemonId(4));
  }
}

TEST_F(BalancerTest, Choose_RetryAfterThisHost_AvoidsThisHost)
{
  SetInstances(3);
  for (int request = 0; request < 100; ++request) {
    EXPECT_NE(m_balancer.Choose(m_random, m_now, DaemonId(2), DaemonId(2)),
              DaemonId(2));
  }
}

// Load pattern: the link of one instance is full of uploads. Guards against
// uploads that go there again and are refused, and against other requests that
// avoid an instance with free slots.
TEST_F(BalancerTest, Choose_UploadAfterARefusal_AvoidsTheInstanceForATime)
{
  constexpr auto kUpload = BalancedKind::kUpload;
  SetInstances(2);
  m_balancer.OnUploadRefused(DaemonId(1), milliseconds(300), m_now);
  int others = 0;
  for (int request = 0; request < 100; ++request) {
    EXPECT_EQ(m_balancer.Choose(m_random, m_now, {}, DaemonId(1), kUpload),
              DaemonId(2));
    others += m_balancer.Choose(m_random, m_now) == DaemonId(1) ? 1 : 0;
  }
  EXPECT_GT(others, 0);
  // If no instance has room, one of them is asked all the same.
  m_balancer.OnUploadRefused(DaemonId(2), milliseconds(300), m_now);
  EXPECT_TRUE(m_balancer.Choose(m_random, m_now, {}, {}, kUpload));
  m_now += milliseconds(301);
  EXPECT_EQ(m_balancer.Choose(m_random, m_now, {}, DaemonId(1), kUpload),
            DaemonId(1));
}

TEST_F(BalancerTest, Choose_Upload_PrefersTheInstanceThatGaveCreditSooner)
{
  SetInstances(2);
  End(DaemonId(1), InstanceResult::kDone, milliseconds(100));
  End(DaemonId(2), InstanceResult::kDone, milliseconds(100));
  m_balancer.OnUploadGranted(DaemonId(1), milliseconds(400), m_now);
  m_balancer.OnUploadGranted(DaemonId(2), milliseconds(10), m_now);
  for (int request = 0; request < 100; ++request) {
    EXPECT_EQ(m_balancer.Choose(m_random, m_now, {}, {}, BalancedKind::kUpload),
              DaemonId(2));
  }
}

}
}
