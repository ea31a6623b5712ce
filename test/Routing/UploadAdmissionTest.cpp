#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 1e6; // Bytes per second.
constexpr Duration kTarget = seconds(1);
constexpr Duration kDeadline = milliseconds(1500);
constexpr Duration kService = milliseconds(100);
constexpr size_t kMeanBytes = 60000;
constexpr size_t kMaxBytes = 360000;

class UploadAdmissionTest : public ::testing::Test
{
protected:
  static RequestId IdOf(uint64_t aNumber) { return RequestId{ 1, aNumber }; }

  static ServerBacklog FreeServer()
  {
    ServerBacklog backlog;
    backlog.slots = 9;
    backlog.running = 1;
    backlog.service = kService;
    return backlog;
  }

  std::optional<AdmissionRefusal> Submit(uint64_t aNumber,
                                         size_t aBytes,
                                         const ServerBacklog& aServer)
  {
    const UploadRequest request{
      IdOf(aNumber), aBytes, m_now + kTarget, m_now + kDeadline
    };
    return m_uploads.Submit(request, aServer, m_now);
  }

  std::vector<RequestId> Grants() { return m_uploads.Advance(m_now).grants; }

  /** The body arrives whole, and the request has ended at once. */
  void Complete(const RequestId& aId, size_t aBytes)
  {
    m_uploads.OnBytes(aId, aBytes, m_now);
    m_uploads.OnReceived(aId, m_now);
    m_uploads.End(aId, m_now);
  }

  MonoTime m_now{ seconds(1000) };
  UploadAdmission m_uploads{ UploadSettings{ .bytesPerSecond = kRate }, m_now };
};

/** Uploads that arrive at random, and a link that receives granted bodies. */
class UploadLoadTest : public UploadAdmissionTest
{
protected:
  struct Body
  {
    size_t bytes = 0;
    size_t received = 0;
    MonoTime arrived;
    MonoTime granted;
  };

  void Arrive(size_t aBytes)
  {
    ++m_arrived;
    const auto refusal = Submit(m_arrived, aBytes, FreeServer());
    if (!refusal) {
      m_bodies[IdOf(m_arrived)] = Body{ aBytes, 0, m_now, {} };
      return;
    }
    ++m_refused;
    EXPECT_EQ(refusal->reason, RefusalReason::kOverloaded);
    EXPECT_GT(refusal->retryAfter, Duration{});
    EXPECT_LT(refusal->retryAfter, kTarget);
  }

  void Tick()
  {
    const auto actions = m_uploads.Advance(m_now);
    EXPECT_TRUE(actions.refusals.empty()); // Admitted is as good as promised.
    for (const auto& id : actions.grants) {
      m_bodies[id].granted = m_now;
      m_link.push_back(id);
      OnGrant(m_bodies[id]);
    }
    EXPECT_LE(m_uploads.Transfers(), UploadSettings().maxTransfers);
    m_mostOnLink = std::max(m_mostOnLink, m_link.size());
    Transfer();
    m_now += kStep;
  }

  /** The connections share the link equally. */
  void Transfer()
  {
    const auto bodies = std::exchange(m_link, {});
    const auto share = static_cast<size_t>(kLinkRate * kStepSeconds) /
                       std::max<size_t>(bodies.size(), 1);
    for (const auto& id : bodies) {
      auto& body = m_bodies[id];
      const auto part = std::min(share, body.bytes - body.received);
      body.received += part;
      m_uploads.OnBytes(id, part, m_now);
      if (body.received < body.bytes) {
        m_link.push_back(id);
        continue;
      }
      m_receivedBytes += body.bytes;
      m_late += m_now + kService > body.arrived + kTarget ? 1 : 0;
      Complete(id, 0);
    }
  }

  virtual void OnGrant(const Body&) {}

  /** \param aLoad multiple of the rate at which bytes arrive. */
  void Run(Duration aFor, double aLoad)
  {
    std::exponential_distribution<double> size(1.0 / kMeanBytes);
    std::poisson_distribution<int> arrivals(aLoad * kRate / kMeanBytes *
                                            kStepSeconds);
    for (const auto end = m_now + aFor; m_now < end;) {
      for (int left = arrivals(m_random); left > 0; --left) {
        Arrive(std::min(static_cast<size_t>(size(m_random)) + 1, kMaxBytes));
      }
      Tick();
    }
  }

  static constexpr Duration kStep = milliseconds(2);
  static constexpr double kStepSeconds = 0.002;
  /** Uploads get 0.8 of the link. */
  static constexpr double kLinkRate = kRate / 0.8;

  std::mt19937 m_random{ 20261204 };
  std::map<RequestId, Body> m_bodies;
  std::vector<RequestId> m_link;
  uint64_t m_arrived = 0;
  uint64_t m_refused = 0;
  uint64_t m_late = 0;
  size_t m_receivedBytes = 0;
  size_t m_mostOnLink = 0;
};

// Load pattern: bursts of 2.5 times the rate of the link. Guards against bodies
// that saturate the link, so that none of them is in time.
TEST_F(UploadLoadTest, Burst_TwoAndAHalfTimesTheLink_LinkIsFullOfBodiesInTime)
{
  constexpr int kSeconds = 20;
  Run(seconds(kSeconds), 2.5);
  EXPECT_GT(m_refused, m_arrived / 3);
  EXPECT_EQ(m_late, 0U);
  EXPECT_GT(static_cast<double>(m_receivedBytes), 0.9 * kRate * kSeconds);
  EXPECT_LE(m_mostOnLink, UploadSettings().maxTransfers);
}

// Guards against an admission that refuses although there is room.
TEST_F(UploadLoadTest, Load_HalfOfTheLink_HardlyAnyIsRefused)
{
  Run(seconds(20), 0.5);
  EXPECT_LT(m_refused, m_arrived / 20);
  EXPECT_EQ(m_late, 0U);
}

class MixedUploadLoadTest : public UploadLoadTest
{
protected:
  static constexpr size_t kSmall = 5000;

  void OnGrant(const Body& aBody) override
  {
    if (aBody.bytes == kSmall) {
      m_longestSmall = std::max(m_longestSmall, m_now - aBody.arrived);
    } else {
      ++m_grantedLarge;
    }
  }

  Duration m_longestSmall{};
  int m_grantedLarge = 0;
};

// Load pattern: a few large bodies among many small ones. Guards against small
// uploads that wait until a large body has been received (360 ms), and against
// large ones that never have their turn.
TEST_F(MixedUploadLoadTest, FewLargeAmongManySmall_NeitherWaitsLong)
{
  constexpr int kSteps = 10000; // 20 s
  for (int step = 0; step < kSteps; ++step) {
    if (step % 5 == 0) {
      Arrive(kSmall); // Half of the rate.
    }
    if (step % 500 == 0) {
      Arrive(kMaxBytes);
    }
    Tick();
  }
  EXPECT_LT(m_longestSmall, milliseconds(100));
  EXPECT_EQ(m_late, 0U);
  EXPECT_GE(m_grantedLarge, kSteps / 500 * 9 / 10);
}

// Load pattern: stalled senders. Guards against a link that stays idle because
// callers that send nothing hold all turns.
TEST_F(UploadAdmissionTest, Senders_Stall_TurnsGoToTheNext)
{
  const auto turns = UploadSettings().maxTransfers;
  for (uint64_t number = 1; number <= turns + 1; ++number) {
    ASSERT_FALSE(Submit(number, 1000, FreeServer()));
  }
  EXPECT_EQ(Grants().size(), 1U); // Then the budget delays the next one.
  m_now += milliseconds(5);
  EXPECT_EQ(Grants().size(), turns - 1);
  m_now += milliseconds(50);
  EXPECT_TRUE(Grants().empty());
  const auto wakeup = m_uploads.NextWakeup(m_now);
  ASSERT_TRUE(wakeup);
  EXPECT_LT(*wakeup - m_now, milliseconds(100));
  m_now += milliseconds(60);
  const auto actions = m_uploads.Advance(m_now);
  EXPECT_EQ(actions.stalled.size(), turns);
  EXPECT_EQ(actions.grants, std::vector<RequestId>{ IdOf(turns + 1) });
  EXPECT_TRUE(actions.refusals.empty());
  // A stalled body may still come, so its bytes stay reserved.
  EXPECT_EQ(m_uploads.HeldBytes(), (turns + 1) * 1000);
}

// Guards against a turn that lasts as long as a sender trickles.
TEST_F(UploadAdmissionTest, Sender_TrickleOfBytes_LosesTheTurn)
{
  ASSERT_FALSE(Submit(1, kMeanBytes, FreeServer()));
  ASSERT_EQ(Grants().size(), 1U);
  size_t stalled = 0;
  for (int step = 0; step < 30; ++step) {
    m_now += milliseconds(10);
    m_uploads.OnBytes(IdOf(1), 1, m_now);
    stalled += m_uploads.Advance(m_now).stalled.size();
  }
  EXPECT_EQ(stalled, 1U);
  EXPECT_EQ(m_uploads.Transfers(), 0U);
}

// Load pattern: a backend server that reads slowly. Guards against a daemon
// that is ended for its memory by bodies that wait for the server.
TEST_F(UploadAdmissionTest, SlowServer_BodiesPileUp_MemoryIsBounded)
{
  UploadSettings settings;
  settings.bytesPerSecond = 0.0; // The link is no limit.
  m_uploads = UploadAdmission(settings, m_now);
  uint64_t admitted = 0;
  std::optional<AdmissionRefusal> refusal;
  for (uint64_t number = 1; number <= 100 && !refusal; ++number) {
    refusal = Submit(number, kMaxBytes, FreeServer());
    for (const auto& id : Grants()) {
      m_uploads.OnBytes(id, kMaxBytes, m_now);
      m_uploads.OnReceived(id, m_now);
    }
    admitted += refusal ? 0 : 1;
    EXPECT_LE(m_uploads.HeldBytes(), settings.maxHeldBytes);
  }
  EXPECT_EQ(admitted, settings.maxHeldBytes / kMaxBytes);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::kOverloaded);
  EXPECT_GT(refusal->retryAfter, Duration{});
  m_uploads.End(IdOf(1), m_now);
  EXPECT_FALSE(Submit(101, kMaxBytes, FreeServer()));
}

// Guards against a caller that leaves and whose share of the link stays taken.
TEST_F(UploadAdmissionTest, Caller_LeavesAfterTheGrant_LinkTimeIsReturned)
{
  ASSERT_FALSE(Submit(1, kMaxBytes, FreeServer()));
  ASSERT_EQ(Grants().size(), 1U);
  ASSERT_FALSE(Submit(2, kMeanBytes, FreeServer()));
  EXPECT_TRUE(Grants().empty());
  m_uploads.End(IdOf(1), m_now);
  EXPECT_EQ(Grants(), std::vector<RequestId>{ IdOf(2) });
  m_uploads.End(IdOf(2), m_now);
  EXPECT_EQ(m_uploads.HeldBytes(), 0U);
  EXPECT_EQ(m_uploads.Transfers(), 0U);
  EXPECT_FALSE(m_uploads.NextWakeup(m_now));
}

TEST_F(UploadAdmissionTest, Caller_LeavesBeforeTheGrant_IsNeverGranted)
{
  ASSERT_FALSE(Submit(1, kMaxBytes, FreeServer()));
  ASSERT_EQ(Grants().size(), 1U);
  ASSERT_FALSE(Submit(2, kMeanBytes, FreeServer()));
  m_uploads.End(IdOf(2), m_now);
  m_now += milliseconds(400);
  EXPECT_TRUE(Grants().empty());
  EXPECT_EQ(m_uploads.HeldBytes(), kMaxBytes);
}

// Guards against bodies that are received for a server without a slot in time.
TEST_F(UploadAdmissionTest, Server_WithoutASlotInTime_RefusesAtOnce)
{
  auto busy = FreeServer();
  busy.running = busy.slots;
  busy.queued = 90;
  const auto refusal = Submit(1, 1000, busy);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::kOverloaded);
  EXPECT_FALSE(Submit(2, 1000, FreeServer()));
}

// Guards against an estimate of the service time that refuses all uploads and
// is therefore never corrected.
TEST_F(UploadAdmissionTest, ServiceTime_SeemsTooLong_OneIsTried)
{
  auto slow = FreeServer();
  slow.service = seconds(3);
  EXPECT_FALSE(Submit(1, 1000, slow));
  const auto refusal = Submit(2, 1000, slow);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::kCannotFinish);
}

// Guards against a body that the link can't receive before the deadline.
TEST_F(UploadAdmissionTest, Body_TooLargeForTheLink_CannotFinish)
{
  const auto refusal = Submit(1, 2 * kMaxUploadBytes, FreeServer());
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason, RefusalReason::kCannotFinish);
}

// Guards against grants in the order of arrival, with which the one that has
// less time left is late.
TEST_F(UploadAdmissionTest, LargeBodies_LeastTimeLeftGoesFirst)
{
  ASSERT_FALSE(Submit(1, 100000, FreeServer()));
  ASSERT_EQ(Grants().size(), 1U);
  ASSERT_FALSE(Submit(2, 100000, FreeServer()));
  const UploadRequest urgent{
    IdOf(3), 100000, m_now + milliseconds(500), m_now + milliseconds(500)
  };
  ASSERT_FALSE(m_uploads.Submit(urgent, FreeServer(), m_now));
  m_now += milliseconds(101);
  EXPECT_EQ(Grants(), std::vector<RequestId>{ IdOf(3) });
}

// Guards against bodies without a known length that share the link unseen, and
// against one without an end that stops all uploads.
TEST_F(UploadAdmissionTest, OtherBytes_DelayGrantsForABoundedTime)
{
  m_uploads.OnOtherBytes(100000, m_now);
  ASSERT_FALSE(Submit(1, kMeanBytes, FreeServer()));
  EXPECT_TRUE(Grants().empty());
  for (int step = 0; step < 200; ++step) {
    m_uploads.OnOtherBytes(100000, m_now);
  }
  m_now += milliseconds(260);
  EXPECT_EQ(Grants().size(), 1U);
}

// Guards against an upload that waits on after it can't be answered any more.
TEST_F(UploadAdmissionTest, Waiting_TooLongForTheDeadline_IsRefused)
{
  ASSERT_FALSE(Submit(1, kMaxBytes, FreeServer()));
  ASSERT_EQ(Grants().size(), 1U);
  ASSERT_FALSE(Submit(2, kMeanBytes, FreeServer()));
  m_now += kDeadline;
  const auto actions = m_uploads.Advance(m_now);
  ASSERT_EQ(actions.refusals.size(), 1U);
  EXPECT_EQ(actions.refusals.front().id, IdOf(2));
  EXPECT_EQ(actions.refusals.front().reason, RefusalReason::kCannotFinish);
  EXPECT_TRUE(actions.grants.empty());
  EXPECT_EQ(m_uploads.HeldBytes(), kMaxBytes);
}

}
}
