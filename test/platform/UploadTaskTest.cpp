#include "test/platform/ServerTaskSupport.h"

namespace pistachioshift::platform::test {

constexpr size_t kBytes = 50000;
/** Bytes per second; a body takes half a second. */
constexpr double kNarrowLink = 100000.0;

/** Records the credit for an upload, and how it ended. */
class UploadListener : public EndCounter
{
public:
  void OnCredit(int64_t aBytes) override { credit += aBytes; }

  int64_t credit = 0;
};

/** Uploads to a backend server, whose daemon receives their bodies first. */
class UploadTaskTest : public ServerTaskTest
{
protected:
  struct UploadCall
  {
    RequestId id;
    std::shared_ptr<UploadListener> listener;
    std::shared_ptr<Call> call;
  };

  UploadCall Upload(Duration aFor = milliseconds(1500))
  {
    CallRequest request;
    request.id = DrawRequestId(m_random);
    request.service = kOrders;
    request.head.method = "POST";
    request.head.target = "/u/1";
    request.head.contentLength = kBytes;
    request.head.headers.Set(names::kRequestId, std::to_string(++m_requests));
    request.hasBody = true;
    request.awaitsCredit = true;
    request.deadline = m_clock.Now() + aFor;
    auto listener = std::make_shared<UploadListener>();
    const auto call = m_server.Start(request, listener);
    m_calls.push_back(call);
    Run(milliseconds(20));
    return { request.id, listener, call };
  }

  void Send(const UploadCall& aUpload, size_t aBytes)
  {
    EXPECT_TRUE(aUpload.call->SendBody(std::string(aBytes, 'u')));
  }

  /** Occupies the link, so that the next upload waits for its turn. */
  UploadCall JoinBesideATransfer()
  {
    m_server.SetUploadRate(kNarrowLink);
    Join();
    auto first = Upload();
    EXPECT_GT(first.listener->credit, 0);
    return first;
  }

  void ExpectNotRun(const UploadCall& aUpload)
  {
    Run(milliseconds(50));
    EXPECT_EQ(m_received, 0);
    const auto outcome = m_server.QueryOutcome(aUpload.id, m_server.Position());
    EXPECT_EQ(outcome.state, RequestState::kNeverSeen);
  }
};

// Guards against a request that takes a slot, or reaches the backend server,
// before its body is complete.
TEST_F(UploadTaskTest, Upload_StartsOnceItsBodyIsComplete)
{
  Join();
  const auto upload = Upload();
  EXPECT_EQ(upload.listener->credit, kBytes + 1);
  Send(upload, kBytes - 1);
  Run(milliseconds(50));
  EXPECT_EQ(m_received, 0);
  EXPECT_EQ(m_server.Running() + m_server.Queued(), 0U);
  EXPECT_EQ(m_server.Uploads().HeldBytes(), kBytes);
  Send(upload, 1);
  upload.call->Finish();
  Run(milliseconds(50));
  EXPECT_EQ(m_received, 1);
  EXPECT_EQ(upload.listener->answered, 1);
  EXPECT_EQ(m_server.Uploads().HeldBytes(), 0U);
}

// Guards against a link that stays reserved for a caller that has left, and
// against a body that is started although it was cut short.
TEST_F(UploadTaskTest, Caller_LeavesAfterTheGrant_NextOneIsGranted)
{
  const auto first = JoinBesideATransfer();
  const auto second = Upload();
  EXPECT_EQ(second.listener->credit, 0);
  Send(first, kBytes / 2);
  first.call->Cancel();
  Run(milliseconds(400));
  EXPECT_GT(second.listener->credit, 0);
  ExpectNotRun(first);
}

// The same for an ingress daemon that is lost.
TEST_F(UploadTaskTest, Ingress_LostBeforeTheGrant_CommitmentIsReleased)
{
  const auto first = JoinBesideATransfer();
  const auto second = Upload();
  second.call->Abandon();
  first.call->Abandon();
  Run(milliseconds(50));
  EXPECT_EQ(m_server.Uploads().HeldBytes(), 0U);
  EXPECT_EQ(m_server.InFlight(), 0U);
  ExpectNotRun(second);
}

// Guards against a body that ends early and is taken for a whole one.
TEST_F(UploadTaskTest, Body_EndsEarly_IsRefusedAsNotRun)
{
  Join();
  const auto upload = Upload();
  Send(upload, kBytes - 1);
  upload.call->Finish();
  EXPECT_EQ(upload.listener->refusals.size(), 1U);
  ExpectNotRun(upload);
}

// Guards against a caller that waits for a link that can't receive its body.
TEST_F(UploadTaskTest, Upload_NoRoomOnTheLink_IsRefusedAtOnce)
{
  const auto first = JoinBesideATransfer();
  const auto second = Upload();
  const auto third = Upload();
  const auto refused = std::vector<RefusalReason>{ RefusalReason::kOverloaded };
  EXPECT_EQ(third.listener->refusals, refused);
  EXPECT_EQ(third.listener->credit, 0);
  EXPECT_TRUE(second.listener->refusals.empty());
  ExpectNotRun(third);
}

// Guards against bodies that are received for a server that is not sent any
// requests again.
TEST_F(UploadTaskTest, Daemon_BeginsToDrain_UploadsAreRefused)
{
  const auto first = JoinBesideATransfer();
  const auto second = Upload();
  m_server.BeginDrain();
  const auto refused = std::vector<RefusalReason>{ RefusalReason::kDraining };
  EXPECT_EQ(first.listener->refusals, refused);
  EXPECT_EQ(second.listener->refusals, refused);
  ExpectNotRun(second);
}

// Guards against an upload that is left without credit because its daemon
// doesn't receive such bodies in advance.
TEST_F(UploadTaskTest, UnknownLength_GetsCreditOnTheUsualPath)
{
  Join();
  CallRequest request;
  request.id = DrawRequestId(m_random);
  request.service = kOrders;
  request.head.method = "POST";
  request.head.target = "/u/1";
  request.head.chunked = true;
  request.head.headers.Set(names::kRequestId, "1");
  request.hasBody = true;
  request.awaitsCredit = true;
  request.deadline = m_clock.Now() + milliseconds(500);
  const auto listener = std::make_shared<UploadListener>();
  const auto call = m_server.Start(request, listener);
  Run(milliseconds(20));
  EXPECT_GT(listener->credit, 0);
  call->Cancel();
}

}
