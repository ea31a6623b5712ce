#include <climits>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Inner"

namespace pistachioshift {
namespace {

class CodecTest : public ::testing::Test
{
protected:
  static EntryKey Key()
  {
    return { ServiceName("registry"), RangeIndex(7), {} };
  }

  static EntryKey Pinned()
  {
    return { ServiceName("registry"), RangeIndex(7), "outlet-1" };
  }

  static JoinRecord Join()
  {
    JoinRecord join;
    join.boot = BootId(0xfedcba9876543210ULL);
    join.previous = DaemonId(4);
    join.inner = { "127.0.0.1", 65535 };
    join.callers = { "::1", 2 };
    join.server = { "10.0.0.1", 3 };
    join.host = HostName("host");
    join.zone = ZoneName("zone");
    join.region = RegionName("region");
    join.services = { ServiceName("registry"), ServiceName("archive") };
    join.slots = 9;
    join.checksFences = false;
    join.kernelBoot = "run-1";
    return join;
  }

  static std::vector<OwnershipRecord> Records()
  {
    const Assignment move{ Pinned(), Offset(5), DaemonId(1), { DaemonId(2) } };
    const Assignment first{ Key(), {}, DaemonId(1), {} };
    return { Join(),
             LeavingRecord{ DaemonId(1) },
             GoneRecord{ DaemonId(1), DaemonId(2), GoneCause::kRetired },
             PlannerTermRecord{ DaemonId(1), Offset(9) },
             AssignRecord{ Offset(3), DaemonId(1), { move, first } },
             PinRecord{ Offset(3), DaemonId(1), { Pinned() } },
             UnpinRecord{ Offset(3), DaemonId(1), { Pinned() } },
             HeldRecord{ DaemonId(1), { { Key(), Offset(5), Rank(3) } } },
             WitnessSetRecord{ DaemonId(1), Offset(2), { DaemonId(3) } },
             WitnessSetSwitchedRecord{ DaemonId(1), Offset(2) },
             PassRecord{ DaemonId(1), { { Pinned(), Offset(5) } } },
             RetireRecord{ DaemonId(1), Offset(2) } };
  }

  static RangeRelease Release()
  {
    const WallTime born{ std::chrono::milliseconds(1234) };
    const RangeHolder holder{ HostName("a"), { ServerId("i-1"), born } };
    const RangeHolder next{ HostName("b"), { ServerId("i-2"), born } };
    return RangeRelease{ ServiceName("registry"),
                         holder,
                         { Relinquished{ { 3, 9 }, Fence(5), "token", next },
                           Relinquished{ { 10, 11 }, Fence(6), {}, {} } },
                         42 };
  }

  static std::vector<ControlMessage> Messages()
  {
    const AppliedOffsets applied{ Offset(1), Offset(2) };
    return { Renew{ 1, Offset(2), Offset(3), applied },
             RenewAck{ 1, Offset(3), true, false, applied },
             SilenceReport{ DaemonId(4), applied },
             SealRequest{ DaemonId(4) },
             SealReply{ DaemonId(4), Offset(5) },
             ReleaseQuery{ { { Key(), Offset(5) } } },
             ReleaseReply{ { { Pinned(), Offset(5) } } } };
  }
};

TEST_F(CodecTest, OwnershipRecord_EveryType_ComesBackEqual)
{
  const auto records = Records();
  EXPECT_EQ(records.size(), std::variant_size_v<OwnershipRecord>);
  for (const auto& record : records) {
    EXPECT_TRUE(DecodeOwnershipRecord(EncodeOwnershipRecord(record)) == record)
      << record.index();
  }
}

TEST_F(CodecTest, ControlMessage_EveryType_ComesBackEqual)
{
  const auto messages = Messages();
  EXPECT_EQ(messages.size(), std::variant_size_v<ControlMessage>);
  for (const auto& message : messages) {
    const ControlDatagram datagram{ DaemonId(1), DaemonId(2), message };
    EXPECT_TRUE(DecodeControl(EncodeControl(datagram)) == datagram)
      << message.index();
  }
}

TEST_F(CodecTest, OwnershipSnapshot_ReplayedRecords_ComesBackEqual)
{
  OwnershipView view;
  view.Apply(Offset(1), Join());
  view.Apply(Offset(2), PlannerTermRecord{ DaemonId(1), Offset(0) });
  const Assignment first{ Key(), {}, DaemonId(1), {} };
  view.Apply(Offset(3), AssignRecord{ Offset(2), DaemonId(1), { first } });
  const auto snapshot = view.Snapshot();
  EXPECT_FALSE(snapshot.entries.empty());
  const auto decoded =
    DecodeOwnershipSnapshot(EncodeOwnershipSnapshot(snapshot));
  EXPECT_TRUE(decoded == snapshot);
  EXPECT_TRUE(OwnershipView::FromSnapshot(decoded) == view);
}

/** Decoding must either succeed or throw InnerError. */
template<class Decode>
void
ExpectDecodesOrThrows(Decode aDecode, const std::string& aBytes)
{
  try {
    aDecode(aBytes);
  } catch (const InnerError& error) {
    RC_ASSERT(error.what() != std::string());
  }
}

RC_GTEST_FIXTURE_PROP(CodecTest,
                      Decode_RandomBytes_NeverCrashes,
                      (const std::string& aBytes))
{
  ExpectDecodesOrThrows(DecodeOwnershipRecord, aBytes);
  ExpectDecodesOrThrows(DecodeDocumentEdit, aBytes);
  ExpectDecodesOrThrows(DecodeOwnershipSnapshot, aBytes);
  ExpectDecodesOrThrows(DecodeDocumentSnapshot, aBytes);
  ExpectDecodesOrThrows(DecodeControl, aBytes);
  ExpectDecodesOrThrows(DecodeFrame, aBytes);
}

RC_GTEST_FIXTURE_PROP(CodecTest, Decode_DamagedRecord_NeverCrashes, ())
{
  const auto records = Records();
  const auto index = *rc::gen::inRange<size_t>(0, records.size());
  auto bytes = EncodeOwnershipRecord(records[index]);
  const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[position] = *rc::gen::arbitrary<char>();
  bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size() + 1));
  ExpectDecodesOrThrows(DecodeOwnershipRecord, bytes);
}

RC_GTEST_FIXTURE_PROP(CodecTest, Decode_DamagedFrame_NeverCrashes, ())
{
  RequestOpen open;
  open.service = ServiceName("registry");
  open.head.headers.Add("A", "b");
  auto bytes = EncodeFrame(open).substr(kFrameLengthBytes);
  const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[position] = *rc::gen::arbitrary<char>();
  ExpectDecodesOrThrows(DecodeFrame, bytes);
}

/** What a daemon accepts from a peer it can pass on to another one. */
RC_GTEST_FIXTURE_PROP(CodecTest, Decode_DamagedFrame_CanBeEncodedAgain, ())
{
  RequestOpen open;
  open.service = ServiceName("registry");
  open.head.method = "GET";
  open.head.target = "/a";
  open.head.headers.Add("A", "b");
  ResponseOpen response;
  response.head.headers.Add("A", "b");
  const std::vector<Frame> frames{ open, response, Refused{}, Release() };
  const auto index = *rc::gen::inRange<size_t>(0, frames.size());
  auto bytes = EncodeFrame(frames[index]).substr(kFrameLengthBytes);
  const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[position] = *rc::gen::arbitrary<char>();
  std::optional<Frame> frame;
  ExpectDecodesOrThrows(
    [&](const std::string& aBytes) { frame = DecodeFrame(aBytes); }, bytes);
  if (frame) {
    const auto again = EncodeFrame(*frame);
    DecodeFrame(SplitFrames(again).at(0));
  }
}

// Guards against a status that a caller would get although it is none, or no
// final one, from another daemon or from the outcome that it has stored.
TEST_F(CodecTest, Status_NotFinal_Throws)
{
  const auto decode = [](const Frame& aFrame) {
    DecodeFrame(EncodeFrame(aFrame).substr(kFrameLengthBytes));
  };
  for (const int status : { INT_MIN,
                            -200,
                            -1,
                            0,
                            20,
                            99,
                            100,
                            199,
                            600,
                            999,
                            0xc8 + 0x10000,
                            INT_MAX }) {
    ResponseOpen open;
    open.head.status = status;
    EXPECT_THROW(decode(open), InnerError) << status;
  }
  for (const uint16_t status : { 0, 99, 100, 199, 600, 0xffff }) {
    OutcomeReply reply;
    reply.result = { RequestState::kDone, CachedResponse{ status, "" } };
    EXPECT_THROW(decode(reply), InnerError) << status;
  }
}

TEST_F(CodecTest, RequestOpen_RoundTrip_KeepsFields)
{
  RequestOpen open;
  open.stream = StreamId(5);
  open.request = { ~0ULL, 1 };
  open.service = ServiceName("registry");
  open.key = std::string("a\0b", 3);
  open.head.method = "POST";
  open.head.target = "/registry/a";
  open.head.contentLength = 12;
  open.remaining = std::chrono::milliseconds(250);
  open.hasBody = true;
  open.idempotencyKey = "k";
  open.repeat = true;
  open.known = TablePosition(9);
  open.nested = true;
  open.awaitsCredit = true;
  const auto bytes = EncodeFrame(open);
  const auto frames = SplitFrames(bytes);
  const auto frame = DecodeFrame(frames.at(0));
  const auto& decoded = std::get<RequestOpen>(frame);
  EXPECT_EQ(decoded.request, open.request);
  EXPECT_EQ(decoded.key, open.key);
  EXPECT_EQ(decoded.head.contentLength, open.head.contentLength);
  EXPECT_EQ(decoded.remaining, open.remaining);
  EXPECT_EQ(decoded.known, open.known);
  EXPECT_TRUE(decoded.repeat);
  EXPECT_TRUE(decoded.nested);
  EXPECT_TRUE(decoded.awaitsCredit);
}

// Guards against a peer of an earlier version that is taken for a process which
// has just started, or for one that has run for ever.
TEST_F(CodecTest, Hello_RoundTrip_KeepsUptimeOrItsAbsence)
{
  for (const auto& uptime :
       { std::optional<Duration>(),
         std::optional<Duration>(Duration::zero()),
         std::optional<Duration>(std::chrono::hours(9)) }) {
    Hello hello;
    hello.uptime = uptime;
    const auto encoded = EncodeFrame(hello).substr(kFrameLengthBytes);
    EXPECT_EQ(std::get<Hello>(DecodeFrame(encoded)).uptime, uptime);
  }
}

TEST_F(CodecTest, RangeRelease_RoundTrip_KeepsFields)
{
  const auto release = Release();
  const auto frame = DecodeFrame(SplitFrames(EncodeFrame(release)).at(0));
  const auto& decoded = std::get<RangeRelease>(frame);
  EXPECT_EQ(decoded.service, release.service);
  EXPECT_EQ(decoded.holder, release.holder);
  EXPECT_EQ(decoded.epoch, release.epoch);
  ASSERT_EQ(decoded.ranges.size(), 2U);
  EXPECT_EQ(decoded.ranges[0].range, release.ranges[0].range);
  EXPECT_EQ(decoded.ranges[0].fence, release.ranges[0].fence);
  EXPECT_EQ(decoded.ranges[0].handover, release.ranges[0].handover);
  EXPECT_EQ(decoded.ranges[0].next, release.ranges[0].next);
  EXPECT_EQ(decoded.ranges[1].next, std::nullopt);
}

TEST_F(CodecTest, RangeRelease_KeyOutOfBounds_Throws)
{
  auto release = Release();
  release.ranges[0].range.last = kShardKeys;
  const auto bytes = EncodeFrame(release);
  EXPECT_THROW(DecodeFrame(SplitFrames(bytes).at(0)), InnerError);
}

TEST_F(CodecTest, ConfigurationUpdate_RoundTrip_KeepsFields)
{
  ConfigurationUpdate update;
  update.records.next = { StoreEra(2), 8 };
  update.records.entries = { StoreEntry{ "config", "text", 7 } };
  update.records.relayTo = { HostName("a"), HostName("b") };
  const auto frame = DecodeFrame(SplitFrames(EncodeFrame(update)).at(0));
  const auto& decoded = std::get<ConfigurationUpdate>(frame);
  EXPECT_EQ(decoded.records.next, update.records.next);
  EXPECT_EQ(decoded.records.entries, update.records.entries);
  EXPECT_EQ(decoded.records.relayTo, update.records.relayTo);
}

RC_GTEST_FIXTURE_PROP(CodecTest, Decode_DamagedRelease_NeverCrashes, ())
{
  auto bytes = EncodeFrame(Release()).substr(kFrameLengthBytes);
  const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[position] = *rc::gen::arbitrary<char>();
  ExpectDecodesOrThrows(DecodeFrame, bytes);
}

}
}
