#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/Heartbeats.h"
#include "platform/OperatorConfig.h"
#include "platform/StoreRecords.h"
#include "platform/Units.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::platform::test {

using namespace pistachioshift::test;
using std::chrono::milliseconds;

namespace {

const std::string kHeartbeat =
  R"({"address":"10.0.0.9:8080","born":1785414586000,
  "info":{"service":"orders","version":"v1","zone":"z","slots":9},
  "status":{"state":"ready","seq":4,"coldRemaining":"1.5s"},
  "holds":[[0,4095,7]],"released":[[4096,8191,"5c0e"]]})";

const std::string kConfig =
  R"({"version":"0000000a","routes":{"r":{"hostname":"a","pathPrefix":"/",
  "routeType":"idempotent","timeout":"3000ms","targetLatency":"600ms",
  "priority":2,"service":"orders","attempts":2}},
  "services":{"orders":{"sharded":true}},"limits":{"maxHeaderBytes":16384,
  "maxBodyBytes":1000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";

const std::string kNewest =
  R"({"items":[{"key":"host/a","value":"YWJj","offset":4}],"hasMore":false,
  "endOffset":5})";

/** Some bytes replaced, inserted or cut off. */
std::string
Spoiled(std::string aBytes)
{
  const auto count = *rc::gen::inRange(1, 4);
  for (int index = 0; index < count && !aBytes.empty(); ++index) {
    const auto position = *rc::gen::inRange<size_t>(0, aBytes.size());
    const auto byte = static_cast<char>(*rc::gen::inRange(0, 256));
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        aBytes.insert(position, 1, byte);
        break;
      case 1:
        aBytes.resize(position);
        break;
      case 2:
        aBytes.insert(position,
                      *rc::gen::element(
                        "9", "99999999999999999999", "-", "e999", "[", "null"));
        break;
      default:
        aBytes[position] = byte;
    }
  }
  return aBytes;
}

/** Decoding must either succeed or throw the package's error. */
template<class PackageError, class Decode>
bool
Decodes(Decode aDecode)
{
  try {
    aDecode();
    return true;
  } catch (const PackageError&) {
    return false;
  }
}

}

/** Guards against a process that ends, or writes a record that no host can
 * read, after one malformed message. */
RC_GTEST_PROP(SpoiledBytesProperty, Heartbeat_Accepted_ItsRecordCanBeRead, ())
{
  const auto body = Spoiled(kHeartbeat);
  ServerHeartbeat heartbeat;
  const bool accepted = Decodes<PlatformError>(
    [&] { heartbeat = DecodeHeartbeat(ServerId("i-1"), body); });
  if (!accepted) {
    return;
  }
  auto record = RecordOf("a");
  record.server =
    ServerStatus{ heartbeat.incarnation, heartbeat.slots, heartbeat.state };
  MeshState state;
  state.Apply(EncodeHost(record));
  RC_ASSERT(*state.FindHost(record.host) == record);
}

TEST(SpoiledBytesTest, Heartbeat_SlotsBeyondTheRecord_AreRefused)
{
  auto body = kHeartbeat;
  body.replace(body.find(":9}"), 2, ":3000000000");
  EXPECT_THROW(DecodeHeartbeat(ServerId("i-1"), body), PlatformError);
}

RC_GTEST_PROP(SpoiledBytesProperty, Leave_Spoiled_IsDecodedOrRefused, ())
{
  const auto body = Spoiled(R"({"born":1785414586000})");
  Decodes<PlatformError>([&] { DecodeLeave(ServerId("i-1"), body); });
}

RC_GTEST_PROP(SpoiledBytesProperty, Config_Spoiled_IsDecodedOrRefused, ())
{
  const auto body = Spoiled(kConfig);
  Decodes<PlatformError>([&] { DecodeConfig(body); });
}

RC_GTEST_PROP(SpoiledBytesProperty, NewestPage_Accepted_CanBeWritten, ())
{
  const auto body = Spoiled(kNewest);
  NewestPage page;
  if (Decodes<PlatformError>([&] { page = DecodeNewest(body); })) {
    for (const auto& entry : page.entries) {
      // The store has no longer keys.
      if (entry.key.size() <= UINT8_MAX) {
        RC_ASSERT(!EncodeRecords({ entry }).empty());
      }
    }
  }
}

RC_GTEST_PROP(SpoiledBytesProperty, Records_Accepted_CanBeWritten, ())
{
  constexpr size_t kOffsets = 16;
  const auto records = EncodeRecords({ EncodeHost(RecordOf("a")) });
  const auto body = Spoiled(std::string(kOffsets, '\0') + records);
  StoreRecords decoded;
  if (Decodes<PlatformError>([&] { decoded = DecodeRecords(body, 0); })) {
    RC_ASSERT(decoded.entries.empty() ||
              !EncodeRecords(decoded.entries).empty());
  }
}

RC_GTEST_PROP(SpoiledBytesProperty, HostRecord_Accepted_CanBeWritten, ())
{
  auto host = RecordOf("a");
  host.serverEnds = { ServerEndRecord{
    7, { RequestFingerprint(8) }, WallTime(milliseconds(5)), 3 } };
  host.answered = { AnsweredRequest{ 7, RequestFingerprint(8) } };
  auto entry = EncodeHost(host);
  entry.value = Spoiled(*entry.value);
  MeshState state;
  if (Decodes<RangesError>([&] { state.Apply(entry); })) {
    const auto decoded = *state.FindHost(host.host);
    state.Apply(EncodeHost(decoded));
    RC_ASSERT(*state.FindHost(host.host) == decoded);
  }
}

RC_GTEST_PROP(SpoiledBytesProperty, Table_Accepted_CanBeWritten, ())
{
  RangeTable table;
  table.Assign(kOrders, { 0, 99 }, HolderOf("a"), "token");
  auto entry = EncodeTable(table);
  entry.value = Spoiled(*entry.value);
  MeshState state;
  if (Decodes<RangesError>([&] { state.Apply(entry); })) {
    const auto decoded = state.Table();
    state.Apply(EncodeTable(decoded));
    RC_ASSERT(state.Table() == decoded);
  }
}

}
