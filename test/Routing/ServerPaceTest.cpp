#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "src/Base/Random.h"
#include "src/Daemon/Fields.h"
#include "src/Routing/ServerPace.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** A server with 9 slots, behind its gate, at 62 requests a second. */
class ServerPaceTest : public ::testing::Test
{
protected:
  static constexpr uint32_t kSlots = 9;
  static constexpr double kPace = 14.0;

  ServerPaceTest()
  {
    AdmissionSettings settings;
    settings.slots = kSlots;
    settings.classes = { AdmissionClass{ 1.0, 100 } };
    m_gate = std::make_unique<AdmissionController>(settings);
    m_pace.SetSlots(kSlots, m_now);
    m_pace.SetHealthChecks(true);
  }

  /** The first heartbeats since the start of the daemon, whose server ran. */
  void Join() { Heartbeat(HeartbeatOrigin::kKnown); }

  void Heartbeat(HeartbeatOrigin aOrigin, Duration aLeft = {})
  {
    m_pace.OnHeartbeat({ aOrigin, aLeft }, m_now);
    m_heartbeatAt = m_now;
  }

  /** Load for a time; the server sends heartbeats and answers checks. */
  void Run(Duration aFor, Duration aEvery = milliseconds(16))
  {
    const auto end = m_now + aFor;
    auto arrivesAt = m_now;
    auto tickAt = m_now;
    for (; m_now < end; m_now += milliseconds(1)) {
      EndRequests();
      if (m_heartbeats && m_now - m_heartbeatAt >= milliseconds(870)) {
        Heartbeat(HeartbeatOrigin::kKnown, ColdLeft());
      }
      if (m_now >= tickAt) {
        m_pace.OnTick(m_now);
        tickAt = m_now + milliseconds(100);
      }
      CheckHealth();
      const auto limits = m_pace.Limits(m_now);
      Handle(m_gate->SetPace(limits.perSecond, limits.slots, m_now));
      Handle(m_gate->Expire(m_now));
      if (aEvery > Duration{} && m_now >= arrivesAt) {
        arrivesAt += aEvery;
        Handle(m_gate->Admit(
          { DrawRequestId(m_random), ClassIndex(0), m_now + milliseconds(400) },
          m_now));
      }
    }
  }

  Duration ColdLeft() const
  {
    return m_stateCold ? std::max(m_coldUntil - m_now, Duration{}) : Duration{};
  }

  void BecomeCold(Duration aFor) { m_coldUntil = m_now + aFor; }

  size_t StartedSince(MonoTime aFrom) const
  {
    return static_cast<size_t>(
      m_starts.end() -
      std::lower_bound(m_starts.begin(), m_starts.end(), aFrom));
  }

  /** Most starts in a second that begins at aFrom or later, while cold. */
  size_t MostSince(MonoTime aFrom) const
  {
    size_t most = 0;
    for (auto first = std::lower_bound(m_starts.begin(), m_starts.end(), aFrom);
         first != m_starts.end() && *first < m_coldUntil;
         ++first) {
      const auto last = std::lower_bound(
        first, m_starts.end(), std::min(*first + seconds(1), m_coldUntil));
      most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
  }

  ServerPace m_pace{ MonoTime{ seconds(100) } };
  MonoTime m_now{ seconds(100) };
  MonoTime m_coldUntil;
  bool m_stateCold = true; ///< The server states its cold time.
  bool m_heartbeats = true;
  double m_coldFactor = 2.0;
  double m_warmFactor = 1.0;
  int m_checks = 0;
  std::vector<MonoTime> m_starts;

private:
  /** Requests that aren't answered by then are given up. */
  static constexpr Duration kDeadline = milliseconds(400);

  struct Running
  {
    RequestId id;
    MonoTime endsAt;
    ServiceResult result;
  };

  void EndRequests()
  {
    for (size_t index = 0; index < m_running.size();) {
      if (m_running[index].endsAt > m_now) {
        ++index;
        continue;
      }
      const auto ended = m_running[index];
      m_running.erase(m_running.begin() + static_cast<ptrdiff_t>(index));
      m_pace.OnEnded(ended.id, ended.result, m_now);
      const bool done = ended.result == ServiceResult::kDone;
      Handle(m_gate->Finished(
        ended.id, done ? ended.result : ServiceResult::kCancelled, m_now));
    }
  }

  void CheckHealth()
  {
    if (m_pace.WantsHealthCheck(m_now)) {
      ++m_checks;
      m_pace.OnHealthCheckSent(m_now);
      m_pace.OnHealth(ColdLeft(), m_now, m_now);
    }
  }

  void Handle(const AdmissionActions& aActions)
  {
    for (const auto& id : aActions.starts) {
      m_starts.push_back(m_now);
      m_pace.OnStarted(id, ClassIndex(0), milliseconds(300), m_now);
      const auto time = ServiceTime();
      m_running.push_back(
        { id,
          m_now + std::min(time, kDeadline),
          time > kDeadline ? ServiceResult::kFailed : ServiceResult::kDone });
    }
  }

  /** 60 to 120 ms; one in 33 takes seven times as long. */
  Duration ServiceTime()
  {
    double factor = m_random() % 33 == 0 ? 7.0 : 1.0;
    factor *= m_now < m_coldUntil ? m_coldFactor : m_warmFactor;
    const auto time = milliseconds(60 + static_cast<int>(m_random() % 60));
    return std::chrono::duration_cast<Duration>(time * factor);
  }

  std::unique_ptr<AdmissionController> m_gate;
  RandomEngine m_random{ 11 };
  std::vector<Running> m_running;
  MonoTime m_heartbeatAt{ seconds(100) };
};

class StatedPaceTest : public ServerPaceTest
{
protected:
  StatedPaceTest() { m_pace.SetColdPace({ kPace, seconds(3) }); }

  static constexpr double kBound = kPace * 1.5 + 8.0;
};

/** Guards against a restarted server that is flooded, or left idle once it is
 * warm. */
TEST_F(StatedPaceTest, Restart_ColdForThreeSeconds_GetsItsPaceThenAll)
{
  Join();
  Run(seconds(5));
  BecomeCold(seconds(3));
  Heartbeat(HeartbeatOrigin::kRestarted, ColdLeft());
  const auto from = m_now;
  Run(seconds(3));
  EXPECT_LE(MostSince(from), kBound);
  EXPECT_GE(StartedSince(from + seconds(1)), 2 * kPace - 4);
  Run(seconds(1));
  const auto warm = m_now;
  Run(seconds(2));
  EXPECT_GE(StartedSince(warm), 2 * 50U);
}

/** Guards against trust in a first heartbeat that states no cold time although
 * the server is cold. */
TEST_F(StatedPaceTest, Restart_FirstHeartbeatStatesZero_IsPacedUntilTheNext)
{
  Join();
  Run(seconds(5));
  BecomeCold(seconds(3));
  Heartbeat(HeartbeatOrigin::kRestarted, {});
  EXPECT_EQ(m_pace.Reason(m_now), PaceReason::kMaybeCold);
  const auto from = m_now;
  Run(seconds(3));
  EXPECT_LE(MostSince(from), kBound);
}

/** Guards against more requests than allowed to a server that becomes cold
 * without a restart; only its slow answers show it before its heartbeat. */
TEST_F(StatedPaceTest, BecomesCold_Unnoticed_AnswersShowIt)
{
  for (const double factor : { 2.0, 2.6 }) {
    m_coldFactor = factor;
    Heartbeat(HeartbeatOrigin::kKnown);
    m_heartbeats = true;
    Run(seconds(5));
    m_heartbeats = false; // Its next heartbeat is late.
    const auto from = m_now;
    BecomeCold(seconds(3));
    Run(seconds(3), milliseconds(12));
    EXPECT_LE(MostSince(from), kBound) << factor;
    Run(seconds(1));
  }
}

/** Guards against health checks, and a low pace, of a server that is merely
 * busy; a few of its requests take seven times as long. */
TEST_F(StatedPaceTest, Warm_FewSlowRequests_IsNotPaced)
{
  Join();
  Run(seconds(1));
  const auto from = m_now;
  Run(seconds(30));
  EXPECT_LE(m_checks, 2);
  EXPECT_GE(StartedSince(from), 30 * 50U);
}

/** Guards against a server that runs as before, only slower, and stays paced:
 * it says that it is warm. */
TEST_F(StatedPaceTest, Warm_BecomesSlow_IsAskedAndNotPaced)
{
  Join();
  Run(seconds(5));
  m_warmFactor = 2.2;
  Run(seconds(1));
  const auto from = m_now;
  Run(seconds(10));
  EXPECT_GE(m_checks, 1);
  EXPECT_LE(m_checks, 6);
  const auto paced = static_cast<double>(StartedSince(from));
  m_pace.SetColdPace({});
  const auto unpacedFrom = m_now;
  Run(seconds(10));
  EXPECT_GE(paced, 0.9 * static_cast<double>(StartedSince(unpacedFrom)));
}

/** Guards against a server that failed, came back cold, and was flooded until
 * its heartbeat; and against one that is paced after each reset connection. */
TEST_F(StatedPaceTest, ConnectionLost_AnswerToACheckDecides)
{
  Join();
  Run(seconds(5));
  m_pace.OnConnectionLost(m_now, false, m_now);
  EXPECT_EQ(m_pace.Reason(m_now), PaceReason::kMaybeCold);
  Run(milliseconds(2));
  EXPECT_EQ(m_pace.Reason(m_now), PaceReason::kNone);
  m_coldFactor = 1.0; // Nothing but the check shows it.
  BecomeCold(seconds(3));
  const auto from = m_now;
  m_heartbeats = false;
  m_pace.OnConnectionLost(m_now, true, m_now);
  Run(seconds(3));
  EXPECT_LE(MostSince(from), kBound);
  EXPECT_EQ(m_pace.Reason(m_now), PaceReason::kCold);
}

/** Guards against a heartbeat that was sent before the failure and read after
 * it. */
TEST_F(StatedPaceTest, ConnectionLost_HeartbeatIsHeldUp_EndsNothing)
{
  Join();
  m_pace.SetHealthChecks(false);
  m_pace.OnConnectionLost(m_now, false, m_now);
  m_now += milliseconds(100);
  Heartbeat(HeartbeatOrigin::kKnown);
  EXPECT_EQ(m_pace.Reason(m_now), PaceReason::kMaybeCold);
  m_now += milliseconds(870);
  Heartbeat(HeartbeatOrigin::kKnown);
  EXPECT_EQ(m_pace.Reason(m_now), PaceReason::kNone);
}

TEST_F(StatedPaceTest, EvacuationEnded_OnlyALaterHeartbeatEndsThePace)
{
  Join();
  Run(seconds(2), Duration{});
  m_pace.OnEvacuationEnded(m_now);
  m_pace.OnHealth(Duration{}, m_now, m_now);
  EXPECT_EQ(m_pace.Limits(m_now).perSecond, kPace);
  m_now += milliseconds(700);
  Heartbeat(HeartbeatOrigin::kKnown);
  EXPECT_EQ(m_pace.Limits(m_now).perSecond, kPace);
  m_now += milliseconds(870);
  Heartbeat(HeartbeatOrigin::kKnown);
  EXPECT_EQ(m_pace.Limits(m_now).perSecond, std::nullopt);
}

/** Guards against a burst after a restart of the daemon, and against a warm
 * server that stays paced after it. */
TEST_F(StatedPaceTest, DaemonStarted_PacedUntilAHeartbeat)
{
  EXPECT_EQ(m_pace.Limits(m_now).perSecond, kPace);
  Join();
  EXPECT_EQ(m_pace.Limits(m_now).perSecond, std::nullopt);
  EXPECT_EQ(m_pace.Limits(m_now).slots, std::nullopt);
}

/** Guards against the full pace for a server that fails under it. */
TEST_F(StatedPaceTest, Cold_RefusesAndFails_GetsFewerAtOnce)
{
  Heartbeat(HeartbeatOrigin::kRestarted, seconds(3));
  EXPECT_EQ(m_pace.Limits(m_now).slots, std::nullopt);
  const RequestId id{ 1, 1 };
  m_now += milliseconds(10);
  m_pace.OnStarted(id, ClassIndex(0), milliseconds(300), m_now);
  m_now += milliseconds(10);
  m_pace.OnEnded(id, ServiceResult::kShed, m_now);
  EXPECT_EQ(m_pace.Limits(m_now).slots, 4U);
  EXPECT_EQ(m_pace.Limits(m_now).perSecond, kPace);
}

class SlowStartTest : public ServerPaceTest
{
protected:
  SlowStartTest() { m_stateCold = false; }

  /** Four fifths of the load of a second. */
  static constexpr size_t kShare = 50;
};

/** Load pattern: cold for 3 s and two times slower. Neither flooded, nor left
 * idle afterwards. */
TEST_F(SlowStartTest, Restart_ColdForThreeSeconds_FewAtOnceThenAll)
{
  Join();
  Run(seconds(5));
  BecomeCold(seconds(3));
  Heartbeat(HeartbeatOrigin::kRestarted);
  const auto from = m_now;
  Run(seconds(3));
  const auto cold = StartedSince(from);
  EXPECT_LE(cold, 3 * kShare / 2);
  EXPECT_GE(cold, 3 * 6U);
  Run(seconds(1));
  const auto warm = m_now;
  Run(seconds(1));
  EXPECT_GE(StartedSince(warm), kShare);
}

/** Load pattern: warm at once. */
TEST_F(SlowStartTest, Restart_WarmAtOnce_TakesItsShareWithinASecond)
{
  Join();
  Run(seconds(5));
  Heartbeat(HeartbeatOrigin::kRestarted);
  EXPECT_EQ(m_pace.Limits(m_now).slots, 2U);
  Run(seconds(1));
  const auto from = m_now;
  Run(seconds(1));
  EXPECT_GE(StartedSince(from), kShare);
  Run(seconds(3)); // The longest slow start takes 5 s.
  EXPECT_EQ(m_pace.Reason(m_now), PaceReason::kNone);
}

/** Load pattern: recovered after an outage. */
TEST_F(SlowStartTest, Outage_Recovers_BeginsWithFewAtOnce)
{
  Join();
  Run(seconds(5));
  m_pace.OnConnectionLost(m_now, false, m_now);
  EXPECT_EQ(m_pace.Reason(m_now), PaceReason::kNone); // One alone is no outage.
  m_pace.OnConnectionLost(m_now, true, m_now);
  EXPECT_EQ(m_pace.Limits(m_now).slots, 2U);
  Run(seconds(5));
  EXPECT_EQ(m_pace.Reason(m_now), PaceReason::kNone);
  Heartbeat(HeartbeatOrigin::kReturned);
  EXPECT_EQ(m_pace.Limits(m_now).slots, 2U);
}

/** Load pattern: gets slow again just after it has risen. */
TEST_F(SlowStartTest, Restart_SlowAgain_FallsAgain)
{
  Join();
  Run(seconds(5));
  Heartbeat(HeartbeatOrigin::kRestarted);
  Run(milliseconds(700));
  BecomeCold(milliseconds(2000));
  Run(milliseconds(1000));
  const auto slow = m_now;
  Run(milliseconds(1000));
  EXPECT_LE(StartedSince(slow), kShare / 2);
  Run(milliseconds(1000));
  const auto from = m_now;
  Run(seconds(1));
  EXPECT_GE(StartedSince(from), kShare);
}

/** Guards against a server that is slower for good and kept idle. */
TEST_F(SlowStartTest, Restart_SlowForGood_EndsAfterItsTime)
{
  Join();
  Run(seconds(5));
  m_warmFactor = 3.0;
  Heartbeat(HeartbeatOrigin::kRestarted);
  Run(milliseconds(5200));
  EXPECT_EQ(m_pace.Reason(m_now), PaceReason::kNone);
}

/** Guards against a low share when the load begins after the first start of the
 * whole system, or of servers that ran before their daemon. */
TEST_F(SlowStartTest, FirstStart_NoLoadYet_HasItsFullShareWhenLoadBegins)
{
  Heartbeat(HeartbeatOrigin::kFirst);
  Run(seconds(2), Duration{});
  EXPECT_EQ(m_pace.Limits(m_now).slots, std::nullopt);
  ServerPace other(m_now);
  other.SetSlots(kSlots, m_now);
  other.OnHeartbeat({ HeartbeatOrigin::kFirst, {}, seconds(60) }, m_now);
  EXPECT_EQ(other.Limits(m_now), PaceLimits{});
}

/** A restart of only the daemon must not slow down a server. */
TEST_F(SlowStartTest, DaemonStarted_ServerKeptRunning_HasItsFullShare)
{
  Join();
  EXPECT_EQ(m_pace.Limits(m_now), PaceLimits{});
}

}
