#include <gtest/gtest.h>

#include <memory>
#include <string>

#include <event2/event.h>
#include <fmt/format.h>

#include "platform/Heartbeats.h"
#include "platform/Json.h"
#include "platform/LogStore.h"
#include "platform/OperatorConfig.h"
#include "platform/StoreRecords.h"
#include "test/Ranges/RangesSupport.h"

#include "Pistachioshift/Http"
#include "src/Log/LogCodec.h"
#include "src/Ranges/gen/ranges_types.h"

namespace pistachioshift::platform::test {

using namespace pistachioshift::test;

/**
 * Entries that another writer left: nested deeply, with numbers that are too
 * large, fields of other types, ports out of range. None may end the process,
 * nor keep it from reading the entries beside it.
 */
class OddEntryTest : public ::testing::Test
{
protected:
  static std::string Nested(size_t aDepth)
  {
    return std::string(aDepth, '[') + std::string(aDepth, ']');
  }

  static std::string Heartbeat(const std::string& aBorn,
                               const std::string& aSlots,
                               const std::string& aSequence)
  {
    return R"({"address":"10.0.0.1:7000","born":)" + aBorn +
           R"(,"info":{"service":"orders","version":"v1","zone":"z","slots":)" +
           aSlots +
           R"(},"status":{"state":"ready","coldRemaining":"0ms","seq":)" +
           aSequence + "}}";
  }

  static std::string Config(const std::string& aSharded,
                            const std::string& aTimeout = "3000ms")
  {
    return R"({"version":"0000000a","routes":{"r":{"hostname":"a","pathPrefix":
      "/","routeType":"idempotent","timeout":")" +
           aTimeout + R"(","targetLatency":"600ms",
      "priority":2,"service":"orders","attempts":2}},
      "services":{"orders":{"sharded":)" +
           aSharded + R"(}},"limits":{"maxHeaderBytes":16384,
      "maxBodyBytes":1000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";
  }
};

TEST_F(OddEntryTest, DecodeHeartbeat_NestedDeeply_Throws)
{
  const auto nested = Nested(200000);
  EXPECT_THROW(DecodeHeartbeat(ServerId("i"), nested), PlatformError);
  EXPECT_THROW(DecodeHeartbeat(ServerId("i"), nested.substr(0, 200000)),
               PlatformError);
  EXPECT_THROW(DecodeHeartbeat(ServerId("i"), Heartbeat("1", nested, "1")),
               PlatformError);
}

TEST_F(OddEntryTest, DecodeHeartbeat_NumberTooLarge_Throws)
{
  EXPECT_NO_THROW(DecodeHeartbeat(ServerId("i"), Heartbeat("1", "9", "1")));
  for (const std::string large :
       { "1e999", "18446744073709551615", "99999999999999999999999" }) {
    EXPECT_THROW(DecodeHeartbeat(ServerId("i"), Heartbeat(large, "9", "1")),
                 PlatformError)
      << large;
    EXPECT_THROW(DecodeHeartbeat(ServerId("i"), Heartbeat("1", large, "1")),
                 PlatformError)
      << large;
    EXPECT_THROW(DecodeHeartbeat(ServerId("i"), Heartbeat("1", "9", large)),
                 PlatformError)
      << large;
  }
}

TEST_F(OddEntryTest, DecodeConfig_FieldOfAnotherType_Throws)
{
  EXPECT_TRUE(
    DecodeConfig(Config("true")).sharded.contains(ServiceName("orders")));
  for (const std::string value : { "1", "\"yes\"", "{}", "[true]", "null" }) {
    EXPECT_THROW(DecodeConfig(Config(value)), PlatformError) << value;
  }
  EXPECT_THROW(DecodeConfig(Config(Nested(200000))), PlatformError);
}

TEST_F(OddEntryTest, DecodeConfig_DurationTooLarge_Throws)
{
  EXPECT_THROW(DecodeConfig(Config("true", "1e300s")), PlatformError);
  EXPECT_THROW(DecodeConfig(Config("true", "99999999999s")), PlatformError);
}

TEST_F(OddEntryTest, DecodeNewest_OneItemIsOdd_OthersHold)
{
  const std::string good = R"({"key":"b","value":"YQ==","offset":7})";
  for (const std::string& odd :
       { std::string(R"({"key":"a","offset":3})"),
         std::string(R"({"key":"a","value":"*","offset":3})"),
         std::string(R"({"key":5,"value":"YQ==","offset":3})"),
         std::string(R"({"key":"a","value":"YQ=="})"),
         std::string("null"),
         Nested(200000) }) {
    const auto page = DecodeNewest(fmt::format(
      R"({{"endOffset":9,"hasMore":false,"items":[{},{}]}})", odd, good));
    ASSERT_EQ(page.entries.size(), 1U) << odd.substr(0, 40);
    EXPECT_EQ(page.entries.front().key, "b");
    EXPECT_EQ(page.lastKey, "b");
  }
}

/** A host's record keeps the ends of its backend servers. */
TEST_F(OddEntryTest, Apply_HostWithServerEnds_KeepsThem)
{
  auto record = RecordOf("a");
  record.serverEnds.push_back(
    { UINT64_MAX,
      { RequestFingerprint(1), RequestFingerprint(UINT64_MAX) },
      WallTime(std::chrono::milliseconds(1785414586000)) });
  MeshState state;
  state.Apply(EncodeHost(record));
  EXPECT_EQ(*state.FindHost(record.host), record);
}

TEST_F(OddEntryTest, Apply_HostWithPortOrSlotsOutOfRange_IsRejected)
{
  for (const auto& [port, slots] :
       { std::pair{ 70000, 9 }, { -1, 9 }, { 7000, -5 } }) {
    ranges_idl::WireHost wire;
    wire.host = "x";
    wire.address = "10.0.0.1";
    wire.port = port;
    ranges_idl::WireServer server;
    server.id = "s";
    server.slots = slots;
    wire.__set_server(server);
    StoreEntry entry;
    entry.key = "host/x";
    entry.value = pistachioshift::internal::EncodeStruct(wire);
    MeshState state;
    EXPECT_THROW(state.Apply(entry), RangesError) << port << " " << slots;
    EXPECT_TRUE(state.Hosts().empty());
  }
}

TEST_F(OddEntryTest, Apply_BytesThatNestDeeply_AreRejected)
{
  StoreEntry entry;
  entry.key = "host/x";
  // Field 15 of type struct, within itself.
  entry.value = std::string(300000, '\xFC');
  MeshState state;
  EXPECT_THROW(state.Apply(entry), RangesError);
}

/** The store's answer to an append, with fields of other types. */
TEST_F(OddEntryTest, Append_AnswerHasFieldsOfOtherTypes_EndsWithAVerdict)
{
  struct BaseDeleter
  {
    void operator()(event_base* aBase) const { event_base_free(aBase); }
  };
  const std::unique_ptr<event_base, BaseDeleter> base(event_base_new());
  const HttpServer server(
    base.get(),
    Endpoint{ "127.0.0.1", 0 },
    HttpLimits{},
    [&](const std::shared_ptr<ServerExchange>& aExchange) {
      ResponseHead head;
      head.status = 409;
      const std::string valid = R"({"why":5,"seq":"x"})";
      head.contentLength = valid.size();
      aExchange->SendHead(head);
      aExchange->SendBody(valid);
      aExchange->Finish();
    });
  const Logger logger("test", LogLevel::kError);
  LogStore store(base.get(), server.LocalEndpoint(), logger);
  std::optional<AppendVerdict> verdict;
  store.Append("keyed.t",
               { StoreEntry{ "k", "v", 0 } },
               ExpectedEnd{ 0 },
               [&](const AppendReply& aReply) {
                 verdict = aReply.verdict;
                 event_base_loopbreak(base.get());
               });
  const timeval limit{ 5, 0 };
  event_base_loopexit(base.get(), &limit);
  event_base_dispatch(base.get());
  EXPECT_EQ(verdict, AppendVerdict::kFenced);
}

}
