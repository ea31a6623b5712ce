#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <fstream>
#include <functional>
#include <memory>

#include <fmt/format.h>
#include <unistd.h>

#include "test/process/HostileServerSupport.h"
#include "test/process/HttpSupport.h"
#include "test/process/PortSupport.h"
#include "test/process/ProcessSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr int kDeadlineMs = 1000;
/** Beyond the deadline, on a busy machine. */
constexpr auto kSlack = seconds(1);
/** Body bytes may be awaited this long after the deadline. */
constexpr auto kBodyGrace = seconds(5);
constexpr size_t kLargeBytes = size_t{ 300 } * 1024;
/** More than the buffers between two ends hold. */
constexpr size_t kLongBytes = size_t{ 24 } * 1024 * 1024;
/** Sent to two callers in some three seconds on the link of the settings. */
constexpr size_t kMuchBytes = size_t{ 32 } * 1024 * 1024;

const std::string kIdFields = "Pistachioshift-Attempt-Id: {id}\r\n"
                              "Pistachioshift-Response-Signature: s\r\n";
const std::string kStatus = "HTTP/1.1 200 OK\r\n";
const std::string kGood = kStatus + kIdFields;
const std::string kChunked = kGood + "Transfer-Encoding: chunked\r\n\r\n";

std::string
Whole(size_t aBytes)
{
  return fmt::format(
    "{}Content-Length: {}\r\n\r\n{}", kGood, aBytes, std::string(aBytes, 'x'));
}

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

/** Hosts whose backend servers belong to the test. */
class EndlessAnswerTest : public ::testing::Test
{
protected:
  struct Ports
  {
    uint16_t callers = 0;
    uint16_t control = 0;
    uint16_t server = 0;
    uint16_t ready = 0;
    uint16_t inner = 0; ///< The first of two.
  };

  struct Host
  {
    Ports ports;
    std::string settings;
    std::unique_ptr<ChildProcess> daemon;
    std::unique_ptr<HostileServer> backend;
  };

  EndlessAnswerTest()
  {
    PortPicker picker;
    m_storePort = picker.Pick();
    for (auto& ports : m_ports) {
      ports.callers = picker.Pick();
      ports.control = picker.Pick();
      ports.server = picker.Pick();
      ports.ready = picker.Pick();
      ports.inner = picker.PickRow(2);
    }
  }

  ~EndlessAnswerTest() override
  {
    m_stop = true;
    if (m_heart.joinable()) {
      m_heart.join();
    }
    for (const auto& host : m_hosts) {
      std::remove(host.settings.c_str());
      while (HasFailure()) {
        const auto line = host.daemon->WaitForLine("", milliseconds(100));
        if (!line) {
          break;
        }
        fmt::print(stderr, "{}\n", *line);
      }
    }
  }

  void StartStore()
  {
    m_store = std::make_unique<ChildProcess>(
      "standin_store",
      std::vector<std::string>{ fmt::format("--port={}", m_storePort) });
    m_store->WaitForPort();
    const std::string record = std::string("\x06"
                                           "config") +
                               R"({"version":"00000001","routes":{
      "read":{"hostname":"a.example","pathPrefix":"/r/",
        "routeType":"idempotent","timeout":"3000ms","targetLatency":"600ms",
        "priority":2,"service":"orders","attempts":2},
      "long":{"hostname":"a.example","pathPrefix":"/l/",
        "routeType":"download","timeout":"3000ms","targetLatency":"600ms",
        "priority":5,"service":"orders","attempts":2},
      "write":{"hostname":"a.example","pathPrefix":"/w/",
        "routeType":"non_idempotent","timeout":"3000ms",
        "targetLatency":"600ms","priority":1,"service":"orders","attempts":2}},
      "services":{"orders":{"sharded":false}},
      "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,
        "headerTimeout":"3000ms","idleTimeout":"15000ms"}})";
    std::string body;
    for (int shift = 24; shift >= 0; shift -= 8) {
      body.push_back(static_cast<char>((record.size() >> shift) & 0xFFU));
    }
    const auto reply = HttpPost(
      m_storePort, "/api/log-append?topic=keyed.op&part=0", body + record);
    ASSERT_EQ(reply.status, 200);
  }

  void AddHost(std::map<std::string, HostileAnswer> aAnswers)
  {
    aAnswers["/r/ok"] = { Whole(2), "" };
    aAnswers["/r/large"] = { Whole(kLargeBytes), "" };
    Host host;
    host.ports = m_ports.at(m_hosts.size());
    const auto& ports = host.ports;
    host.settings = fmt::format(
      "{}/endless-{}-{}.toml", PISTACHIOSHIFT_BUILD, getpid(), m_hosts.size());
    std::ofstream(host.settings) << fmt::format(
      "nodeName = \"host-{}\"\nip = \"127.0.0.1\"\nzone = \"z\"\n"
      "internalPortRange = [{},{}]\nbounds = [\"grace=6s\",\"drain=2000ms\"]\n"
      "appAddr = \"127.0.0.1:{}\"\nservice = \"orders\"\n"
      "[listen]\noutbound = \"127.0.0.1:{}\"\nready = \"127.0.0.1:{}\"\n"
      "control = \"127.0.0.1:{}\"\n[platform]\naddress = \"127.0.0.1:{}\"\n"
      "[limits]\nlinkMbps = 200\n",
      m_hosts.size(),
      ports.inner,
      ports.inner + 1,
      ports.server,
      ports.callers,
      ports.ready,
      ports.control,
      m_storePort);
    host.backend =
      std::make_unique<HostileServer>(ports.server, std::move(aAnswers));
    host.daemon = std::make_unique<ChildProcess>(
      "pistachiod_platform",
      std::vector<std::string>{ "--settings=" + host.settings });
    m_hosts.push_back(std::move(host));
  }

  /** Sends the heartbeats of the first backend servers. */
  void StartHeartbeats(int aSlots, size_t aServers = 1)
  {
    m_heart = std::thread([this, aSlots, aServers] {
      for (int beat = 1; !m_stop; ++beat) {
        for (size_t index = 0; index < aServers; ++index) {
          HttpPost(
            m_hosts[index].ports.control,
            fmt::format("/api/instances/i-{}", index),
            fmt::format(
              R"({{"address":"127.0.0.1:{}","born":1000,"info":{{)"
              R"("service":"orders","version":"v1","zone":"z","slots":{}}},)"
              R"("status":{{"state":"ready","seq":{},"coldRemaining":"0ms"}}}})",
              m_hosts[index].ports.server,
              aSlots,
              beat));
        }
        std::this_thread::sleep_for(milliseconds(200));
      }
    });
  }

  HttpCall MakeCall(const std::string& aPath, size_t aHost = 0)
  {
    HttpCall call;
    call.port = m_hosts[aHost].ports.callers;
    call.path = aPath;
    call.headers = {
      { "Host", "a.example" },
      { "Pistachioshift-Attempt-Id", fmt::format("request-{}", ++m_requests) },
      { "Pistachioshift-Deadline-Ms", std::to_string(kDeadlineMs) }
    };
    return call;
  }

  HttpReply Ask(const std::string& aPath, size_t aHost = 0)
  {
    return HttpSend(MakeCall(aPath, aHost));
  }

  /** A caller that doesn't leave. */
  std::unique_ptr<RawCaller> Call(const std::string& aPath, size_t aHost = 0)
  {
    const auto call = MakeCall(aPath, aHost);
    auto request = fmt::format("GET {} HTTP/1.1\r\n", aPath);
    for (const auto& [name, value] : call.headers) {
      request += fmt::format("{}: {}\r\n", name, value);
    }
    return std::make_unique<RawCaller>(call.port, request + "\r\n");
  }

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

  static bool WaitUntil(const std::function<bool()>& aDone)
  {
    const auto end = steady_clock::now() + kPatience;
    while (steady_clock::now() < end) {
      if (aDone()) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

  /** Whether no answer is being sent any more and each host serves. */
  bool SlotIsFree()
  {
    return WaitUntil([this] { return m_hosts[0].backend->Sending() == 0; }) &&
           Ask("/r/ok").status == 200;
  }

  /** Resident memory of a daemon in KiB. */
  size_t ResidentKiB(size_t aHost) const
  {
    std::ifstream file(
      fmt::format("/proc/{}/status", m_hosts[aHost].daemon->Pid()));
    std::string word;
    size_t value = 0;
    while (file >> word) {
      if (word == "VmRSS:") {
        file >> value;
      }
    }
    return value;
  }

  uint16_t m_storePort = 0;
  std::array<Ports, 2> m_ports;
  std::unique_ptr<ChildProcess> m_store;
  std::vector<Host> m_hosts;
  std::thread m_heart;
  std::atomic<bool> m_stop{ false };
  std::atomic<int> m_requests{ 0 };
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
