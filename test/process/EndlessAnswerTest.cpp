#include <atomic>
#include <functional>
#include <memory>

#include "test/process/HostilePlatformSupport.h"

namespace pistachioshift::test {

namespace {

/** Beyond the deadline, on a busy machine. */
constexpr auto kSlack = seconds(1);
/** Body bytes may be awaited this long after the deadline. */
constexpr auto kBodyGrace = seconds(5);
/** More than the buffers between two ends hold. */
constexpr size_t kLongBytes = size_t{ 24 } * 1024 * 1024;
/** Sent to two callers in some three seconds on the link of the settings. */
constexpr size_t kMuchBytes = size_t{ 32 } * 1024 * 1024;

const std::string kChunked = kGood + "Transfer-Encoding: chunked\r\n\r\n";

/** Answers that nobody can take for the answer to the request. */
std::map<std::string, HostileAnswer>
EndlessHeads()
{
  constexpr milliseconds kDrip(100);
  const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
  return {
    { "/r/garbage", { "", "garbage" } },
    { "/r/line", { kStatus + "X: ", "y" } },
    { "/r/lines", { kStatus, "X: y\r\n" } },
    { "/r/interim", { "", interim } },
    { "/r/interim-body",
      { "HTTP/1.1 103 Early Hints\r\nContent-Length: 999999\r\n\r\n", "x" } },
    { "/r/slow-breaks", { "", "\r\n", kDrip } },
    { "/r/slow-line", { kStatus + "X: ", "y", kDrip } },
    { "/r/slow-interim", { "", interim, kDrip } },
    { "/r/no-id",
      { kStatus + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n" } },
    { "/r/wrong-id",
      { kStatus + "Pistachioshift-Attempt-Id: other\r\n"
                  "Pistachioshift-Response-Signature: s\r\n\r\n",
        "x" } },
  };
}

/** Answers that look right until too late. */
std::map<std::string, HostileAnswer>
SlowBodies()
{
  constexpr milliseconds kDrip(100);
  return {
    { "/r/chunks", { kChunked, "1\r\nx\r\n", kDrip } },
    { "/r/until-close", { kGood + "\r\n", "x", kDrip } },
    { "/r/length", { kGood + "Content-Length: 999999\r\n\r\n", "x", kDrip } },
    { "/r/extension", { kChunked + "1\r\nx\r\n1;", "u", kDrip } },
    { "/r/trailers", { kChunked + "1\r\nx\r\n0\r\nT: ", "u", kDrip } },
  };
}

}

class EndlessAnswerTest : public HostilePlatformTest
{
protected:
  /** Reads for longer than any body may be awaited. */
  void ReadLongBody(size_t aHost)
  {
    const auto caller = Call("/l/long", aHost);
    const auto until =
      steady_clock::now() + milliseconds(kDeadlineMs) + kBodyGrace + kSlack;
    while (steady_clock::now() < until) {
      EXPECT_GT(caller->Read(seconds(1)), 0U);
      std::this_thread::sleep_for(milliseconds(100));
    }
    while (caller->Read(seconds(1)) > 0) {
    }
    EXPECT_GT(caller->Received(), kLongBytes) << "at host " << aHost;
  }
};

// Guards against a caller, a slot or a connection held past the deadline.
TEST_F(EndlessAnswerTest, Head_WithoutEnd_CallerIsToldAndSlotIsFree)
{
  StartStore();
  AddHost(EndlessHeads());
  StartHeartbeats(1);
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok").status == 200; }));
  for (const auto& [path, answer] : EndlessHeads()) {
    SCOPED_TRACE(path);
    const auto began = steady_clock::now();
    const auto reply = Ask(path);
    const auto taken = steady_clock::now() - began;
    EXPECT_TRUE(reply.status == 502 || reply.status == 504) << reply.status;
    EXPECT_LT(taken, milliseconds(kDeadlineMs) + kSlack);
    EXPECT_TRUE(SlotIsFree());
  }
}

// Guards against a failure where another server could have answered in time,
// and against a second run of a request that may run once.
TEST_F(EndlessAnswerTest, Head_WithoutEnd_OnlyIdempotentGoesToAnotherServer)
{
  StartStore();
  AddHost({ { "/r/x", { "", "garbage" } }, { "/w/x", { "", "garbage" } } });
  AddHost({ { "/r/x", { Whole(2), "" } }, { "/w/x", { Whole(2), "" } } });
  StartHeartbeats(1, 2);
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok").status == 200; }));
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/x").status == 200; }));
  const auto write = Ask("/w/x");
  EXPECT_EQ(m_hosts[0].backend->Requests("/w/x") +
              m_hosts[1].backend->Requests("/w/x"),
            1);
  const bool local = m_hosts[0].backend->Requests("/w/x") == 1;
  EXPECT_EQ(write.status, local ? 502 : 200);
}

// Guards against a body that holds its slot and its caller for ever, against
// one that looks complete, and against a cut of a long one that is read slowly.
TEST_F(EndlessAnswerTest, Body_WithoutEnd_IsCutAndLongOneIsWhole)
{
  auto answers = SlowBodies();
  answers["/l/long"] = { Whole(kLongBytes), "", {}, true };
  StartStore();
  AddHost(answers);
  AddHost({}); // Without a backend server.
  StartHeartbeats(2 * static_cast<int>(answers.size()));
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok", 0).status == 200; }));
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok", 1).status == 200; }));
  const auto limit =
    steady_clock::now() + milliseconds(kDeadlineMs) + kBodyGrace + 2 * kSlack;
  std::vector<std::thread> readers;
  for (const size_t host : { 0, 1 }) {
    readers.emplace_back([this, host] { ReadLongBody(host); });
    for (const auto& [path, answer] : SlowBodies()) {
      readers.emplace_back([this, path, host, limit] {
        const auto caller = Call(path, host);
        EXPECT_TRUE(caller->ReadToClose(limit)) << path << " at " << host;
        EXPECT_GT(caller->Received(), 0U) << path;
        EXPECT_FALSE(caller->Tail().ends_with("0\r\n\r\n")) << path;
      });
    }
  }
  for (auto& reader : readers) {
    reader.join();
  }
  EXPECT_TRUE(SlotIsFree());
}

// Guards against a body that takes all memory, or the link from the others.
TEST_F(EndlessAnswerTest, Body_WithoutEndAtFullSpeed_OthersAreServed)
{
  StartStore();
  AddHost({ { "/r/endless",
              { kChunked, "400\r\n" + std::string(1024, 'x') + "\r\n" } } });
  AddHost({}); // Without a backend server.
  StartHeartbeats(4);
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok", 0).status == 200; }));
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok", 1).status == 200; }));
  const size_t before[] = { ResidentKiB(0), ResidentKiB(1) };
  std::atomic<size_t> received[2] = {};
  std::atomic<bool> stop{ false };
  std::vector<std::thread> readers;
  for (const size_t host : { 0, 1 }) {
    readers.emplace_back([&, host] {
      const auto caller = Call("/r/endless", host);
      while (!stop && caller->Read(seconds(1)) > 0) {
        received[host] = caller->Received();
      }
    });
  }
  EXPECT_TRUE(WaitUntil([&] { return received[0] > 10 * kLargeBytes; }));
  auto large = MakeCall("/r/large");
  large.timeout = seconds(5);
  const auto reply = HttpSend(large);
  EXPECT_EQ(reply.status, 200);
  EXPECT_EQ(reply.body.size(), kLargeBytes);
  for (const size_t host : { 0, 1 }) {
    EXPECT_TRUE(WaitUntil([&] { return received[host] > kMuchBytes; }));
    EXPECT_LT(ResidentKiB(host), before[host] + kMuchBytes / 1024 / 2);
  }
  stop = true;
  for (auto& reader : readers) {
    reader.join();
  }
  EXPECT_TRUE(SlotIsFree());
}

// Guards against bytes that are kept for a caller who does not read them, on
// either of the two hosts that they pass.
TEST_F(EndlessAnswerTest, Body_WithoutEndAndCallerReadsNothing_MemoryIsBounded)
{
  constexpr size_t kCallers = 4;
  StartStore();
  AddHost({ { "/r/endless",
              { kChunked, "400\r\n" + std::string(1024, 'x') + "\r\n" } } });
  AddHost({}); // Without a backend server.
  StartHeartbeats(16);
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok", 0).status == 200; }));
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok", 1).status == 200; }));
  const size_t before[] = { ResidentKiB(0), ResidentKiB(1) };
  std::vector<decltype(Call("", 0))> callers;
  callers.reserve(kCallers);
  for (size_t caller = 0; caller < kCallers; ++caller) {
    callers.push_back(Call("/r/endless", caller % 2));
  }
  const auto end = steady_clock::now() + seconds(1);
  while (steady_clock::now() < end) {
    for (const size_t host : { 0, 1 }) {
      EXPECT_LT(ResidentKiB(host), before[host] + kMuchBytes / 1024 / 2);
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  EXPECT_EQ(Ask("/r/ok", 0).status, 200);
  EXPECT_EQ(Ask("/r/ok", 1).status, 200);
  callers.clear();
  EXPECT_TRUE(SlotIsFree());
}

// Guards against the end of the daemon when a server that resumes a download
// sends more than the rest.
TEST_F(EndlessAnswerTest, RestOfBody_WithoutEnd_IsCutAtItsLength)
{
  constexpr size_t kLength = 100000;
  constexpr size_t kFirstPart = 1000;
  const std::string tag = "ETag: \"v1\"\r\n";
  const auto begin =
    fmt::format("{}{}Content-Length: {}\r\n\r\n", kGood, tag, kLength);
  const auto rest = fmt::format(
    "HTTP/1.1 206 Partial Content\r\n{}{}Content-Range: bytes {}-{}/{}\r\n\r\n",
    kIdFields,
    tag,
    kFirstPart,
    kLength - 1,
    kLength);
  StartStore();
  AddHost(
    { { "/r/file", { begin + std::string(kFirstPart, 'x'), "", {}, true } },
      { "/r/file rest", { rest, "x" } } });
  StartHeartbeats(1);
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok").status == 200; }));
  const auto caller = Call("/r/file");
  EXPECT_TRUE(caller->ReadToClose(steady_clock::now() + kPatience));
  EXPECT_LT(caller->Received(), begin.size() + kLength);
  EXPECT_EQ(m_hosts[0].backend->Requests("/r/file"), 2);
  EXPECT_TRUE(SlotIsFree());
}

// Guards against a status that the protocol between daemons can't carry, so
// that all requests on the connection to the other host are lost.
TEST_F(EndlessAnswerTest, Status_OutOfRange_OtherRequestsGoOn)
{
  auto answers = SlowBodies();
  answers["/r/odd"] = { "HTTP/1.1 777 Odd\r\nContent-Length: 0\r\n\r\n", "" };
  StartStore();
  AddHost(answers);
  AddHost({}); // Without a backend server.
  StartHeartbeats(4);
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok", 1).status == 200; }));
  const auto other = Call("/r/chunks", 1);
  ASSERT_GT(other->Read(seconds(5)), 0U);
  EXPECT_EQ(Ask("/r/odd", 1).status, 502);
  EXPECT_FALSE(other->ReadToClose(steady_clock::now() + milliseconds(500)));
}

// Guards against a call to the store that never ends, so that the daemon reads
// nothing more.
TEST_F(EndlessAnswerTest, StoreAnswer_TricklesWithoutEnd_IsAskedAgain)
{
  const HostileAnswer answer{ kStatus + "\r\n", "x", milliseconds(100) };
  const std::string own = "/api/log-newest?topic=keyed.pistachioshift&part=0";
  HostileServer store(
    m_storePort,
    { { own, answer }, { "/api/log-newest?topic=keyed.op&part=0", answer } });
  AddHost({});
  EXPECT_TRUE(WaitUntil([&] { return store.Requests(own) > 1; }));
}

// Guards against a heartbeat that holds its connection for as long as it sends.
TEST_F(EndlessAnswerTest, Heartbeat_WithoutEnd_IsRefused)
{
  StartStore();
  AddHost({});
  StartHeartbeats(1);
  ASSERT_TRUE(WaitUntil([this] { return Ask("/r/ok").status == 200; }));
  const std::string piece(size_t{ 64 } * 1024, ' ');
  std::string request = "PUT /api/instances/i-0 HTTP/1.1\r\nHost: h\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n";
  for (int count = 0; count < 20; ++count) {
    request += "10000\r\n" + piece + "\r\n";
  }
  RawCaller server(m_hosts[0].ports.control, request);
  EXPECT_TRUE(server.ReadToClose(steady_clock::now() + seconds(10)));
  EXPECT_TRUE(server.Tail().starts_with("HTTP/1.1 413")) << server.Tail();
}

}
