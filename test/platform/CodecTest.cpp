#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/Dialects.h"
#include "platform/Heartbeats.h"
#include "platform/Names.h"
#include "platform/OperatorConfig.h"
#include "platform/PlatformSettings.h"
#include "platform/StoreRecords.h"
#include "platform/Units.h"

namespace pistachioshift::platform::test {

using std::chrono::milliseconds;

constexpr const char* kHeartbeat =
  R"({"address":"10.0.0.9:8080","born":1785414586000,
  "info":{"service":"orders","version":"v1","zone":"z","slots":9},
  "status":{"state":"ready","seq":4,"coldRemaining":"1.5s"},
  "holds":[[0,4095,7]],"released":[[4096,8191,"5c0e"]]})";

TEST(HeartbeatTest, Decode_CompleteBody_ReturnsFields)
{
  const auto beat = DecodeHeartbeat(ServerId("i-1"), kHeartbeat);
  EXPECT_EQ(beat.incarnation.id, ServerId("i-1"));
  EXPECT_EQ(beat.incarnation.startedAt.time_since_epoch().count(),
            1785414586000);
  EXPECT_EQ(beat.address, (Endpoint{ "10.0.0.9", 8080 }));
  EXPECT_EQ(beat.service, ServiceName("orders"));
  EXPECT_EQ(beat.slots, 9U);
  EXPECT_EQ(beat.sequence, 4);
  EXPECT_EQ(beat.warmUpLeft, milliseconds(1500));
  ASSERT_EQ(beat.holds->size(), 1U);
  EXPECT_EQ(beat.holds->front().range, (KeyRange{ 0, 4095 }));
  EXPECT_EQ(beat.released.front().handover, "5c0e");
}

TEST(HeartbeatTest, Decode_FieldMissingOrOfWrongType_Throws)
{
  const std::string whole = kHeartbeat;
  for (const auto& [from, to] :
       std::vector<std::pair<std::string, std::string>>{
         { "\"address\":\"10.0.0.9:8080\",", "" },
         { "\"10.0.0.9:8080\"", "8080" },
         { "\"10.0.0.9:8080\"", "\"10.0.0.9\"" },
         { "\"10.0.0.9:8080\"", "\"10.0.0.9:70000\"" },
         { "\"zone\":\"z\",", "" },
         { "\"zone\":\"z\"", "\"zone\":7" },
         { "\"version\":\"v1\",", "" },
         { "\"service\":\"orders\",", "" },
         { "\"state\":\"ready\",", "" },
         { ",\"coldRemaining\":\"1.5s\"", "" },
         { "\"born\":1785414586000,", "" },
         { "1785414586000", "\"1785414586000\"" },
         { "1785414586000", "1785414586000.5" },
         { "1785414586000", "-1" },
         { "1785414586000", "9223372036854775" },
         { "1785414586000", "9223372036854775807" },
         { "\"slots\":9", "\"slots\":\"9\"" },
         { "\"slots\":9", "\"slots\":0" },
         { "\"ready\"", "\"resting\"" },
         { "[[0,4095,7]]", "7" },
         { "[[0,4095,7]]", "[[9,4,7]]" },
         { "[[0,4095,7]]", "[[0,65536,7]]" },
         { "\"seq\":4", "\"seq\":null" } }) {
    auto body = whole;
    body.replace(body.find(from), from.size(), to);
    EXPECT_THROW(DecodeHeartbeat(ServerId("i-1"), body), PlatformError) << to;
  }
  EXPECT_THROW(DecodeHeartbeat(ServerId("i-1"), "\x01"), PlatformError);
}

TEST(HealthTest, ReadHealth_OnlyWithStatus200AndTheId)
{
  const PlatformServerDialect dialect;
  ResponseHead answer;
  EXPECT_FALSE(dialect.ReadHealth(answer));
  answer.headers.Set(names::kServerId, "i-1");
  EXPECT_EQ(dialect.ReadHealth(answer), ServerId("i-1"));
  answer.status = 503;
  EXPECT_FALSE(dialect.ReadHealth(answer));
}

TEST(HealthTest, ReadColdTime_MillisecondsOrNothing)
{
  const PlatformServerDialect dialect;
  ResponseHead answer;
  EXPECT_EQ(dialect.ReadColdTime(answer), std::nullopt);
  for (const char* text : { "", "-1", "2.5", "soon", "99999999999" }) {
    answer.headers.Set(names::kColdTime, text);
    EXPECT_EQ(dialect.ReadColdTime(answer), std::nullopt) << text;
  }
  answer.headers.Set(names::kColdTime, "2750");
  EXPECT_EQ(dialect.ReadColdTime(answer), milliseconds(2750));
  answer.headers.Set(names::kColdTime, "0");
  EXPECT_EQ(dialect.ReadColdTime(answer), Duration{});
}

TEST(LeaveTest, Decode_Body_NamesTheIncarnation)
{
  const ServerId id("i-1");
  const ServerIncarnation first{ id, WallTime(milliseconds(1000)) };
  const ServerIncarnation second{ id, WallTime(milliseconds(2000)) };
  const auto leave = DecodeLeave(id, R"({"born":1000})");
  EXPECT_TRUE(leave.Concerns(first));
  EXPECT_FALSE(leave.Concerns(second));
  EXPECT_TRUE(DecodeLeave(id, "").Concerns(second));
  EXPECT_TRUE(DecodeLeave(id, "{}").Concerns(second));
  EXPECT_FALSE(DecodeLeave(ServerId("i-2"), "").Concerns(first));
}

TEST(LeaveTest, Decode_MalformedBody_Throws)
{
  for (const char* body : { "\x01",
                            "7",
                            "[]",
                            R"({"born":"1000"})",
                            R"({"born":null})",
                            R"({"born":9223372036854775807})" }) {
    EXPECT_THROW(DecodeLeave(ServerId("i-1"), body), PlatformError) << body;
  }
}

TEST(HeartbeatTest, Decode_HoldsMissing_HoldsAreNotSet)
{
  std::string body = kHeartbeat;
  const std::string holds = "\"holds\":[[0,4095,7]],";
  body.erase(body.find(holds), holds.size());
  EXPECT_FALSE(DecodeHeartbeat(ServerId("i-1"), body).holds);
}

TEST(HeartbeatTest, EncodeReply_GrantedRanges_AreEncodedAsRows)
{
  HeartbeatReply reply;
  reply.renews = true;
  reply.holdTime = milliseconds(3500);
  reply.ranges = { GrantedRange{ { 0, 9 }, Fence(12), "token" } };
  EXPECT_EQ(EncodeReply(reply),
            R"({"hold_time":"3500ms","holds":[[0,9,12,"token"]]})");
  EXPECT_EQ(EncodeReply(HeartbeatReply()), "{}");
}

TEST(StoreRecordsTest, Decode_ReadBody_ReturnsRecordsInOrder)
{
  const auto records =
    EncodeRecords({ StoreEntry{ "a", "one" }, StoreEntry{ "b", {} } });
  const std::string head("\0\0\0\0\0\0\0\x0c\0\0\0\0\0\0\0\x03",
                         16); // End 12, first offset retained 3.
  const auto read = DecodeRecords(head + records, 10);
  ASSERT_EQ(read.entries.size(), 2U);
  EXPECT_EQ(read.end, 12);
  EXPECT_EQ(read.next, 12);
  EXPECT_EQ(read.entries[0], (StoreEntry{ "a", "one", 10 }));
  EXPECT_EQ(read.entries[1], (StoreEntry{ "b", std::nullopt, 11 }));
}

TEST(StoreRecordsTest, Decode_TruncatedBody_Throws)
{
  const std::string head("\0\0\0\0\0\0\0\x0c\0\0\0\0\0\0\0\x03", 16);
  EXPECT_THROW(DecodeRecords(head + std::string("\0\0\0\x09"
                                                "ab",
                                                6),
                             10),
               PlatformError);
  EXPECT_THROW(DecodeRecords("\x01", 0), PlatformError);
}

TEST(StoreRecordsTest, Decode_MalformedRecord_OthersAreReturned)
{
  const std::string head("\0\0\0\0\0\0\0\x02\0\0\0\0\0\0\0\0", 16);
  // A record whose key length exceeds the record, then a valid one.
  const std::string malformed("\0\0\0\x02\xff"
                              "a",
                              6);
  const auto read =
    DecodeRecords(head + malformed + EncodeRecords({ { "k", "v" } }), 0);
  ASSERT_EQ(read.entries.size(), 2U);
  EXPECT_TRUE(read.entries[0].key.empty());
  EXPECT_EQ(read.entries[1].key, "k");
}

TEST(StoreRecordsTest, DecodeNewest_Page_IsSortedByOffset)
{
  const auto page = DecodeNewest(
    R"({"items":[{"key":"a","value":"b25l","offset":9},
    {"key":"b","value":"dHdv","offset":4}],"hasMore":true,"endOffset":10})");
  ASSERT_EQ(page.entries.size(), 2U);
  EXPECT_EQ(page.entries[0], (StoreEntry{ "b", "two", 4 }));
  EXPECT_EQ(page.lastKey, "b");
  EXPECT_TRUE(page.hasMore);
  EXPECT_EQ(page.end, 10);
}

constexpr const char* kConfig =
  R"({"version":"0000000c","routes":{
  "read":{"hostname":"a.example","pathPrefix":"/r/","routeType":"idempotent",
    "timeout":"2000ms","targetLatency":"600ms","priority":2,"attempts":2,
    "trafficSplit":[{"service":"orders","weight":90},
                    {"service":"trial","weight":10}]},
  "write":{"hostname":"a.example","pathPrefix":"/w/",
    "routeType":"non_idempotent","timeout":"2.5s","targetLatency":"800ms",
    "priority":1,"service":"orders","attempts":2}},
  "services":{"orders":{"sharded":true},"trial":{}},
  "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,
    "headerTimeout":"3000ms","idleTimeout":"15000ms"}})";

TEST(OperatorConfigTest, Decode_CompleteText_ReturnsRoutesAndServices)
{
  const auto config = DecodeConfig(kConfig);
  EXPECT_EQ(config.version, 12U);
  EXPECT_EQ(config.routes.Size(), 2U);
  const auto* read = config.routes.Match("a.example", "/r/1");
  ASSERT_NE(read, nullptr);
  EXPECT_TRUE(read->idempotent);
  EXPECT_EQ(read->targets.size(), 2U);
  const auto* write = config.routes.Match("a.example", "/w/1");
  ASSERT_NE(write, nullptr);
  EXPECT_FALSE(write->idempotent);
  EXPECT_EQ(write->timeout, milliseconds(2500));
  EXPECT_TRUE(config.sharded.contains(ServiceName("orders")));
  EXPECT_FALSE(config.sharded.contains(ServiceName("trial")));
  EXPECT_EQ(config.limits.bodyBytes, 1000U);
}

// Guards against an upload that is repeated, or handled like a small request.
TEST(OperatorConfigTest, Decode_Upload_IsNotIdempotent)
{
  std::string text = kConfig;
  text.replace(text.find("non_idempotent"), 14, "upload");
  const auto config = DecodeConfig(text);
  EXPECT_TRUE(config.routes.Match("a.example", "/w/1")->upload);
  EXPECT_FALSE(config.routes.Match("a.example", "/w/1")->idempotent);
  EXPECT_FALSE(config.routes.Match("a.example", "/r/1")->upload);
}

/** Guards against a configuration that is refused as a whole because of an odd
 * pace. */
TEST(OperatorConfigTest, Decode_ColdPace_IsStatedOrZero)
{
  const auto paceOf = [](const std::string& aFields) {
    std::string text = kConfig;
    const std::string service = R"({"sharded":true})";
    text.replace(
      text.find(service), service.size(), R"({"sharded":true)" + aFields + "}");
    return DecodeConfig(text).coldPaces.at(ServiceName("orders"));
  };
  EXPECT_EQ(paceOf(""), ColdPace{});
  EXPECT_EQ(paceOf(R"(,"coldPerS":14.0,"coldStart":"3s")"),
            (ColdPace{ 14.0, milliseconds(3000) }));
  EXPECT_EQ(paceOf(R"(,"coldPerS":12)").perSecond, 12.0);
  for (const char* odd : { R"("14")", "-3", "null", "[]" }) {
    EXPECT_EQ(paceOf(R"(,"coldStart":"x","coldPerS":)" + std::string(odd)),
              ColdPace{})
      << odd;
  }
}

TEST(OperatorConfigTest, Decode_MalformedText_Throws)
{
  EXPECT_THROW(DecodeConfig("{}"), PlatformError);
  EXPECT_THROW(DecodeConfig("[1"), PlatformError);
  std::string bad = kConfig;
  bad.replace(bad.find("2000ms"), 6, "2000mm");
  EXPECT_THROW(DecodeConfig(bad), PlatformError);
}

TEST(UnitsTest, ParseDuration_MillisecondsOrSeconds_AreParsed)
{
  EXPECT_EQ(ParseDuration("1500ms"), milliseconds(1500));
  EXPECT_EQ(ParseDuration("2.5s"), milliseconds(2500));
  for (const auto* bad : { "", "5", "s", "-1s", "1m", "nans" }) {
    EXPECT_THROW(ParseDuration(bad), PlatformError) << bad;
  }
}

constexpr const char* kSettings = R"(
nodeName = "host-1"
ip = "10.1.0.35"
zone = "z"
internalPortRange = [7660,7675]
bounds = ["drain=2000ms","grace=6s","retryBudgetRatio=0.2"]
appAddr = "10.1.0.35:8147"
service = "orders"
unknown = 7
[listen]
outbound = "10.1.0.35:8141"
ready = "10.1.0.35:8140"
control = "10.1.0.35:8146"
[platform]
address = "10.200.1.7:8142"
)";

TEST(PlatformSettingsTest, Parse_RenderedFile_ReturnsEndpointsAndTimes)
{
  const auto settings = ParseSettings(kSettings);
  EXPECT_EQ(settings.daemon.host, HostName("host-1"));
  EXPECT_EQ(settings.daemon.inner.port, 7660);
  EXPECT_EQ(settings.store.port, 8142);
  EXPECT_EQ(settings.daemon.grace, std::chrono::seconds(6));
  EXPECT_LT(settings.daemon.server.drainTime, milliseconds(2000));
}

TEST(PlatformSettingsTest, Parse_InvalidField_ErrorNamesIt)
{
  for (const auto& [from, to, field] :
       std::vector<std::tuple<std::string, std::string, std::string>>{
         { "service = \"orders\"", "", "service" },
         { "10.1.0.35:8147", "nowhere", "appAddr" },
         { "[7660,7675]", "[7660,7660]", "internalPortRange" },
         { "10.200.1.7:8142", "10.200.1.7:0", "platform.address" } }) {
    std::string text = kSettings;
    text.replace(text.find(from), from.size(), to);
    try {
      ParseSettings(text);
      ADD_FAILURE() << field;
    } catch (const PlatformError& error) {
      EXPECT_NE(std::string(error.what()).find(field), std::string::npos)
        << error.what();
    }
  }
}

class ServerDialectTest : public ::testing::Test
{
protected:
  ServerDialectTest() { m_request.headers.Set(names::kRequestId, "id-1"); }

  AnswerKind Classify(int aStatus, Headers aHeaders) const
  {
    ResponseHead head;
    head.status = aStatus;
    head.headers = std::move(aHeaders);
    return m_dialect.Classify(m_request, head);
  }

  PlatformServerDialect m_dialect;
  RequestHead m_request;
};

TEST_F(ServerDialectTest, Classify_SignedAnswer_IsAnswer)
{
  EXPECT_EQ(
    Classify(200,
             { { names::kRequestId, "id-1" }, { names::kSignature, "s" } }),
    AnswerKind::kAnswer);
}

TEST_F(ServerDialectTest, Classify_AnswerOfAnotherRequest_IsInvalid)
{
  EXPECT_EQ(
    Classify(200,
             { { names::kRequestId, "id-2" }, { names::kSignature, "s" } }),
    AnswerKind::kInvalid);
}

TEST_F(ServerDialectTest, Classify_SuccessWithoutSignature_IsInvalid)
{
  EXPECT_EQ(Classify(200, { { names::kRequestId, "id-1" } }),
            AnswerKind::kInvalid);
}

TEST_F(ServerDialectTest, Classify_OnlyExplicitRefusals_AreNotRun)
{
  const Header id{ names::kRequestId, "id-1" };
  EXPECT_EQ(Classify(503, { id, { names::kNotRun, "1" } }),
            AnswerKind::kNotRun);
  EXPECT_EQ(Classify(421, { id }), AnswerKind::kNotRun);
  EXPECT_EQ(Classify(500, { id }), AnswerKind::kAnswer);
}

/** Guards against an extra failure that is taken for the answer to a request
 * which has run and whose own answer follows. */
TEST_F(ServerDialectTest, Classify_FailureWithoutTheId_IsInvalid)
{
  const Header id{ names::kRequestId, "id-1" };
  const Header other{ names::kRequestId, "id-0" };
  const Header empty{ names::kRequestId, "" };
  for (const int status : { 300, 302, 304, 400, 404, 413, 500, 501, 504 }) {
    EXPECT_EQ(Classify(status, {}), AnswerKind::kInvalid) << status;
    EXPECT_EQ(Classify(status, { empty }), AnswerKind::kInvalid) << status;
    EXPECT_EQ(Classify(status, { other }), AnswerKind::kInvalid) << status;
    EXPECT_EQ(Classify(status, { id }), AnswerKind::kAnswer) << status;
  }
}

/** A request without an id is answered without one. */
TEST_F(ServerDialectTest, Classify_FailureOfARequestWithoutAnId_IsAnswer)
{
  m_request.headers.Remove(names::kRequestId);
  EXPECT_EQ(Classify(400, {}), AnswerKind::kAnswer);
  EXPECT_EQ(Classify(400, { { names::kRequestId, "id-0" } }),
            AnswerKind::kInvalid);
}

TEST_F(ServerDialectTest, ReadNotice_LimitIsANumber_IsRead)
{
  ResponseHead head;
  EXPECT_FALSE(m_dialect.ReadNotice(head).requestLimit.has_value());
  head.headers.Set("server-limit", "25.9");
  EXPECT_EQ(m_dialect.ReadNotice(head).requestLimit, 25.9);
  head.headers.Set("Server-Limit", "0");
  EXPECT_EQ(m_dialect.ReadNotice(head).requestLimit, 0.0);
}

TEST_F(ServerDialectTest, ReadNotice_LimitIsNoNumber_IsMalformed)
{
  for (const char* text : { "", "x", "-1", "nan", "inf", "1e999", "5 or so" }) {
    ResponseHead head;
    head.headers.Set("Server-Limit", text);
    const auto notice = m_dialect.ReadNotice(head);
    EXPECT_FALSE(notice.requestLimit.has_value()) << text;
    EXPECT_TRUE(notice.malformedLimit) << text;
  }
}

/** A backend server may write an earlier refusal once more. */
TEST_F(ServerDialectTest, Classify_RefusalWithoutTheId_IsInvalid)
{
  const Header other{ names::kRequestId, "id-0" };
  const Header notRun{ names::kNotRun, "1" };
  for (const int status : { 503, 429, 421 }) {
    EXPECT_EQ(Classify(status, { notRun }), AnswerKind::kInvalid);
    EXPECT_EQ(Classify(status, { other, notRun }), AnswerKind::kInvalid);
  }
}

/** Callers take these for not run, which the backend server has not stated. */
TEST_F(ServerDialectTest, Classify_UnmarkedPromise_IsInvalid)
{
  for (const int status : { 408, 429, 503 }) {
    EXPECT_EQ(Classify(status, { { names::kRequestId, "id-1" } }),
              AnswerKind::kInvalid);
  }
}

TEST_F(ServerDialectTest, PrepareHead_Head_HasServerAndTimeLeft)
{
  m_dialect.PrepareHead(m_request, ServerId("i-1"), milliseconds(1500));
  EXPECT_EQ(*m_request.headers.Find(names::kTargetServer), "i-1");
  EXPECT_EQ(*m_request.headers.Find(names::kDeadline), "1500");
}

}
