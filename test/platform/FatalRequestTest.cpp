#include "test/platform/ServerTaskSupport.h"

namespace pistachioshift::platform::test {

const std::string kDeadly = "/deadly";
const std::string kHarmless = "/harmless";

/** A backend server that ends when it gets one of the requests. */
class FatalRequestTest : public ServerTaskTest
{
protected:
  void Answer(const std::shared_ptr<ServerExchange>& aExchange) override
  {
    const bool deadly = aExchange->Head().target.starts_with(kDeadly);
    if (!deadly && m_holdsOthers) {
      m_held.push_back(aExchange);
      return;
    }
    if (!deadly) {
      ServerTaskTest::Answer(aExchange);
      return;
    }
    ++m_deadlyReceived;
    m_held.push_back(aExchange);
    m_end.StartOnce(Duration{});
  }

  /** The process ends, or only its connections are reset. */
  void End()
  {
    m_backend.reset();
    m_held.clear();
    if (m_onlyResets) {
      m_backend = MakeBackend(m_address);
    }
  }

  /** Another process is started at the address. */
  void StartServer()
  {
    if (!m_backend) {
      m_backend = MakeBackend(m_address);
    }
    auto heartbeat = Heartbeat();
    heartbeat.incarnation = IncarnationOf("server-a", 1000 + ++m_starts);
    heartbeat.sequence = 1;
    m_server.OnHeartbeat(heartbeat);
  }

  void Send(const std::string& aTarget)
  {
    Request(milliseconds(500), aTarget);
    Run(milliseconds(20));
  }

  /** Why a daemon that starts now, and whose server it has not heard yet,
   * refuses a request. */
  RefusalReason RefusalByALaterProcess(const std::string& aTarget)
  {
    FakeStore store(m_base.get(), m_topic);
    StateTask<FakeStore> state(
      m_base.get(), m_clock, m_logger, store, RecordOf("c"));
    RangeServerTask later(
      m_base.get(),
      m_clock,
      RangeServerSettings{ .endpoint = m_address, .service = kOrders },
      state,
      m_dialect,
      m_logger,
      m_metrics);
    state.AddListener(later);
    state.Start();
    Run(milliseconds(60));
    CallRequest request;
    request.id = DrawRequestId(m_random);
    request.service = kOrders;
    request.head.method = "GET";
    request.head.target = aTarget;
    request.fingerprint = FingerprintOf(request.head, {}, {});
    request.deadline = m_clock.Now() + milliseconds(500);
    const auto ends = std::make_shared<EndCounter>();
    later.Start(request, ends)->Finish();
    Run(milliseconds(20));
    EXPECT_EQ(ends->refusals.size(), 1U);
    return ends->refusals.back();
  }

  int Refusals(RefusalReason aReason) const
  {
    return static_cast<int>(
      std::count(m_ends->refusals.begin(), m_ends->refusals.end(), aReason));
  }

  int m_deadlyReceived = 0;
  int m_starts = 0;
  bool m_onlyResets = false;
  bool m_holdsOthers = false; ///< Other requests run until the server ends.
  std::vector<std::shared_ptr<ServerExchange>> m_held;
  Timer m_end{ m_base.get(), [this] { End(); } };
};

/** Guards against a request that is sent to each new server, which ends. */
TEST_F(FatalRequestTest, Start_ThreeServersEnded_IsRefusedAtOnce)
{
  Join();
  for (int server = 0; server < 6; ++server) {
    StartServer();
    Send(kHarmless);
    Send(kDeadly);
    Send(kDeadly); // Another copy, to a server that is gone.
  }
  EXPECT_LE(m_deadlyReceived, 3);
  EXPECT_GE(m_deadlyReceived, 2);
  EXPECT_GE(Refusals(RefusalReason::kFatalRequest), 6);
  EXPECT_EQ(m_received, 6);
}

/** A popular harmless request runs beside it each time, and is never refused.
 */
TEST_F(FatalRequestTest, Start_HarmlessRequestRunsAtEachEnd_IsServed)
{
  Join();
  const auto harmless = m_ends;
  const auto deadly = std::make_shared<EndCounter>();
  for (int server = 0; server < 6; ++server) {
    StartServer();
    Run(milliseconds(20));
    for (int copy = 0; copy < 5; ++copy) {
      Request(milliseconds(500), kHarmless);
    }
    m_ends = deadly;
    Request(milliseconds(500), kDeadly);
    m_ends = harmless;
    Run(milliseconds(40));
    StartServer();
    Send(kHarmless);
  }
  EXPECT_EQ(Refusals(RefusalReason::kFatalRequest), 0);
  EXPECT_LE(m_deadlyReceived, 3);
  EXPECT_EQ(deadly->refusals.back(), RefusalReason::kFatalRequest);
  const auto before = m_received;
  Send(kHarmless);
  EXPECT_EQ(m_received, before + 1);
}

/** Guards against lost connections that are taken for ends of the server. */
TEST_F(FatalRequestTest, Start_ConnectionsAreReset_NothingIsSuspected)
{
  m_onlyResets = true;
  Join();
  for (int reset = 0; reset < 6; ++reset) {
    Send(kDeadly);
    Send(kHarmless);
  }
  EXPECT_EQ(m_deadlyReceived, 6);
  EXPECT_EQ(m_server.Suspects(), 0U);
  EXPECT_TRUE(m_state.OwnRecord().serverEnds.empty());
}

/** The next owner of the key knows what the last one saw. */
TEST_F(FatalRequestTest, Start_OtherHostSawTheEnds_IsRefusedThere)
{
  Join();
  for (int server = 0; server < 3; ++server) {
    StartServer();
    Send(kDeadly);
    Send(kDeadly);
  }
  EXPECT_EQ(RefusalByALaterProcess(kDeadly), RefusalReason::kFatalRequest);
}

/**
 * Guards against a harmless request that every process excludes which starts
 * later: it has been running at some ends, and was answered after each.
 */
TEST_F(FatalRequestTest, Start_AnsweredAfterEachEnd_LaterProcessesServeIt)
{
  Join();
  for (int server = 0; server < 4; ++server) {
    StartServer();
    m_holdsOthers = true;
    Request(milliseconds(500), kHarmless);
    Send(kDeadly + std::to_string(server));
    m_holdsOthers = false;
    StartServer();
    Send(kHarmless);
    Run(milliseconds(2100));
  }
  EXPECT_EQ(RefusalByALaterProcess(kHarmless), RefusalReason::kCold);
}

/** Same; the ends were at another host. */
TEST_F(FatalRequestTest, Start_AnsweredHereAfterEndsElsewhere_LaterServeIt)
{
  auto other = RecordOf("b");
  const auto end = [&] {
    const auto id = other.serverEnds.size() + 1;
    other.serverEnds.push_back(
      { id,
        { FingerprintOf({ .method = "GET", .target = kHarmless }, {}, {}),
          RequestFingerprint(7) },
        m_clock.WallNow() });
    m_topic.Append({ EncodeHost(other) }, ExpectedEnd{ m_topic.End() });
  };
  Join();
  for (int ends = 0; ends < 2; ++ends) {
    end();
    Run(milliseconds(1100)); // Until the store is read again.
    Send(kHarmless);
    Run(milliseconds(2100));
  }
  end();
  EXPECT_EQ(m_received, 2);
  EXPECT_EQ(RefusalByALaterProcess(kHarmless), RefusalReason::kCold);
}

}
