#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <future>
#include <memory>
#include <thread>

#include <fmt/format.h>
#include <netinet/tcp.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include "src/Inner/SocketAddress.h"
#include "test/process/HttpSupport.h"
#include "test/process/PortSupport.h"
#include "test/process/ProcessSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/** Three hosts on the platform's stand-ins, all as separate processes. */
class PlatformTest : public ::testing::Test
{
protected:
  struct Host
  {
    std::vector<uint16_t>
      ports; ///< callers, ready, control, app, inner, metrics
    uint16_t inner = 0;
    std::string settings;
    std::unique_ptr<ChildProcess> server;
    std::unique_ptr<ChildProcess> daemon;
  };

  static constexpr size_t kHosts = 3;

  explicit PlatformTest(std::string aGrace = "6s",
                        milliseconds aWork = milliseconds(20))
    : m_grace(std::move(aGrace))
    , m_work(aWork)
  {
    PickPorts();
    m_store = std::make_unique<ChildProcess>(
      "standin_store",
      std::vector<std::string>{ fmt::format("--port={}", m_storePort) });
    m_store->WaitForPort();
    WriteConfig();
    for (size_t index = 0; index < kHosts; ++index) {
      StartServer(index);
      StartDaemon(m_hosts[index]);
    }
  }

  ~PlatformTest() override
  {
    for (const auto& host : m_hosts) {
      std::remove(host.settings.c_str());
    }
  }

  void WriteConfig() const
  {
    const std::string value =
      R"({"version":"00000001","routes":{
      "read":{"hostname":"a.example","pathPrefix":"/r/",
        "routeType":"idempotent","timeout":"3000ms","targetLatency":"600ms",
        "priority":2,"service":"orders","attempts":2},
      "write":{"hostname":"a.example","pathPrefix":"/w/",
        "routeType":"non_idempotent","timeout":"3000ms",
        "targetLatency":"600ms","priority":1,"service":"orders","attempts":2}},
      "services":{"orders":{"sharded":true}},
      "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,
        "headerTimeout":"3000ms","idleTimeout":"15000ms"}})";
    const std::string record = std::string("\x06"
                                           "config") +
                               value;
    std::string body;
    for (int shift = 24; shift >= 0; shift -= 8) {
      body.push_back(static_cast<char>((record.size() >> shift) & 0xFFU));
    }
    const auto reply = HttpPost(
      m_storePort, "/api/log-append?topic=keyed.op&part=0", body + record);
    ASSERT_EQ(reply.status, 200);
  }

  void PickPorts()
  {
    PortPicker picker;
    m_storePort = picker.Pick();
    for (size_t index = 0; index < kHosts; ++index) {
      Host host;
      for (int count = 0; count < 4; ++count) {
        host.ports.push_back(picker.Pick());
      }
      // Two neighbouring ports between daemons.
      host.inner = picker.PickRow(2);
      m_hosts.push_back(std::move(host));
    }
  }

  void StartServer(size_t aIndex)
  {
    auto& host = m_hosts[aIndex];
    const auto inner = host.inner;
    host.settings = fmt::format(
      "{}/platform-{}-{}.toml", PISTACHIOSHIFT_BUILD, getpid(), aIndex);
    std::ofstream file(host.settings);
    file << fmt::format("nodeName = \"host-{}\"\n"
                        "ip = \"127.0.0.1\"\nzone = \"z\"\n"
                        "internalPortRange = [{},{}]\n"
                        "bounds = [\"grace={}\",\"drain=2000ms\"]\n"
                        "appAddr = \"127.0.0.1:{}\"\nservice = \"orders\"\n"
                        "[listen]\noutbound = \"127.0.0.1:{}\"\n"
                        "ready = \"127.0.0.1:{}\"\n"
                        "control = \"127.0.0.1:{}\"\n"
                        "[platform]\naddress = \"127.0.0.1:{}\"\n",
                        aIndex,
                        inner,
                        inner + 1,
                        m_grace,
                        host.ports[3],
                        host.ports[0],
                        host.ports[1],
                        host.ports[2],
                        m_storePort);
    file.close();
    host.server = std::make_unique<ChildProcess>(
      "standin_instance",
      std::vector<std::string>{ fmt::format("--port={}", host.ports[3]),
                                fmt::format("--control={}", host.ports[2]),
                                fmt::format("--id=i-{}", aIndex),
                                fmt::format("--work-ms={}", m_work.count()),
                                "--service=orders" });
  }

  static void StartDaemon(Host& aHost)
  {
    aHost.daemon = std::make_unique<ChildProcess>(
      "pistachiod_platform",
      std::vector<std::string>{ "--settings=" + aHost.settings });
  }

  HttpReply Ask(size_t aHost, const char* aPath, int aKey)
  {
    const auto id = fmt::format("request-{}", ++m_requests);
    HttpCall call;
    call.port = m_hosts[aHost].ports[0];
    call.path = aPath;
    call.headers = { { "Host", "a.example" },
                     { "Pistachioshift-Attempt-Id", id },
                     { "Pistachioshift-Deadline-Ms", "3000" },
                     { "Pistachioshift-Shard-Key", std::to_string(aKey) } };
    return HttpSend(call);
  }

  /** Whether every part of the key space is served before the limit. */
  bool WaitServed(size_t aHost, seconds aLimit)
  {
    const auto end = steady_clock::now() + aLimit;
    while (steady_clock::now() < end) {
      int served = 0;
      for (int key = 0; key < 65536; key += 8192) {
        served += Ask(aHost, "/r/x", key).status == 200 ? 1 : 0;
      }
      if (served == 8) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }

  void SetFault(const std::string& aMode) const
  {
    HttpGet(m_storePort, "/fault?mode=" + aMode);
  }

  /** How often the request that ran most often ran, over all servers. */
  int MostRuns() const
  {
    std::map<std::string, int> runs;
    for (const auto& host : m_hosts) {
      const auto reply = HttpGet(host.ports[3], "/runs");
      const auto json = nlohmann::json::parse(reply.body);
      for (const auto& [id, count] : json.items()) {
        runs[id] += count.get<int>();
      }
    }
    int most = 0;
    for (const auto& [id, count] : runs) {
      most = std::max(most, count);
    }
    return most;
  }

  /** Sends one request for each part of the key space at the same time. */
  std::vector<HttpReply> AskAllKeys(size_t aHost, const char* aPath)
  {
    std::vector<std::future<HttpReply>> pending;
    for (int key = 0; key < 65536; key += 4096) {
      pending.push_back(std::async(
        std::launch::async, [=, this] { return Ask(aHost, aPath, key); }));
    }
    std::vector<HttpReply> replies;
    replies.reserve(pending.size());
    for (auto& reply : pending) {
      replies.push_back(reply.get());
    }
    return replies;
  }

  /** Like WaitServed, for requests that take long. */
  bool WaitAllServed(size_t aHost, seconds aLimit)
  {
    const auto end = steady_clock::now() + aLimit;
    while (steady_clock::now() < end) {
      const auto replies = AskAllKeys(aHost, "/r/x");
      if (std::all_of(replies.begin(), replies.end(), [](const auto& aReply) {
            return aReply.status == 200;
          })) {
        return true;
      }
    }
    return false;
  }

  std::string m_grace;
  milliseconds m_work; ///< Execution time of each request.
  uint16_t m_storePort = 0;
  std::unique_ptr<ChildProcess> m_store;
  std::vector<Host> m_hosts;
  std::atomic<int> m_requests{ 0 };
};

TEST_F(PlatformTest, Start_ThreeHosts_AllKeysAreServedFromEach)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  EXPECT_TRUE(WaitServed(1, seconds(5)));
  EXPECT_TRUE(WaitServed(2, seconds(5)));
  EXPECT_EQ(Ask(0, "/unknown/", 1).status, 404);
  EXPECT_EQ(HttpGet(m_hosts[0].ports[1], "/api/ready").status, 200);
}

TEST_F(PlatformTest, StoreIsDown_RequestsGoOn)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  SetFault("down");
  const auto end = steady_clock::now() + seconds(4);
  while (steady_clock::now() < end) {
    for (int key = 0; key < 65536; key += 8192) {
      ASSERT_EQ(Ask(1, "/r/x", key).status, 200);
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
  SetFault("ok");
  EXPECT_TRUE(WaitServed(1, seconds(5)));
}

TEST_F(PlatformTest, AllDaemonsKilled_ServedAgainWithinRecovery)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  for (auto& host : m_hosts) {
    host.daemon->Kill();
  }
  for (auto& host : m_hosts) {
    StartDaemon(host);
  }
  EXPECT_TRUE(WaitServed(0, seconds(15)));
}

TEST_F(PlatformTest, HostIsLost_OthersServeItsKeys)
{
  ASSERT_TRUE(WaitServed(1, seconds(15)));
  m_hosts[0].daemon->Kill(); // The first by name coordinates.
  m_hosts[0].server->Kill();
  EXPECT_TRUE(WaitServed(1, seconds(15)));
}

TEST_F(PlatformTest, DaemonKilledUnderLoad_NoWriteRunsTwice)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  std::atomic<bool> stop{ false };
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int number = 0; number < 4; ++number) {
    callers.emplace_back([&, number] {
      for (int turn = 0; !stop; ++turn) {
        Ask(1 + static_cast<size_t>(turn % 2),
            "/w/x",
            (turn * 977 + number * 16384) % 65536);
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(300));
  m_hosts[0].daemon->Kill();
  std::this_thread::sleep_for(milliseconds(300));
  StartDaemon(m_hosts[0]);
  std::this_thread::sleep_for(seconds(2));
  stop = true;
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(MostRuns(), 1);
}

TEST_F(PlatformTest, Terminate_RequestsInProgress_AreAnswered)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  std::atomic<int> cut{ 0 };
  std::atomic<bool> stop{ false };
  std::thread caller([&] {
    for (int turn = 0; !stop; ++turn) {
      const auto reply = Ask(1, "/r/x", (turn * 977) % 65536);
      cut += reply.status == 200 || reply.status == 503 ? 0 : 1;
    }
  });
  EXPECT_EQ(m_hosts[0].daemon->Stop(), 0);
  stop = true;
  caller.join();
  EXPECT_EQ(cut, 0);
}

// Guards against 502 for writes that reach a stopping daemon as it exits: they
// had not run, but nothing told their caller's daemon so.
TEST_F(PlatformTest, Terminate_WritesFromPeers_NoOutcomeIsUnknown)
{
  ASSERT_TRUE(WaitServed(1, seconds(15)));
  std::atomic<int> unknown{ 0 };
  std::atomic<bool> stop{ false };
  std::vector<std::thread> callers;
  for (int number = 0; number < 32; ++number) {
    callers.emplace_back([&, number] {
      for (int turn = 0; !stop; ++turn) {
        const int key = (turn * 977 + number * 2048) % 65536;
        const auto reply = Ask(1, "/w/x", key);
        unknown += reply.status == 200 || reply.status == 503 ? 0 : 1;
      }
    });
  }
  EXPECT_EQ(m_hosts[0].daemon->Stop(), 0);
  std::this_thread::sleep_for(milliseconds(300));
  stop = true;
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_EQ(unknown, 0);
  EXPECT_EQ(MostRuns(), 1);
}

/** Requests that run for most of their route's timeout. */
class LongRequestTest : public PlatformTest
{
protected:
  LongRequestTest()
    : PlatformTest("6s", milliseconds(2400))
  {
  }
};

// Guards against LOST: a stopping daemon accepted requests from peers that it
// could not finish before its exit, and their callers got 502.
TEST_F(LongRequestTest, Terminate_PeersRequestOutlastsTheStop_IsRefusedAsNotRun)
{
  ASSERT_TRUE(WaitAllServed(1, seconds(20)));
  m_hosts[0].daemon->Signal(SIGTERM);
  // Requests of own callers keep the process running until its forced exit.
  std::this_thread::sleep_for(milliseconds(2000));
  auto own = std::async(std::launch::async, [this] { AskAllKeys(0, "/r/x"); });
  std::this_thread::sleep_for(milliseconds(1800));
  for (const auto& reply : AskAllKeys(1, "/w/x")) {
    EXPECT_TRUE(reply.status == 200 || reply.status == 503) << reply.status;
  }
  own.get();
  EXPECT_EQ(m_hosts[0].daemon->Wait(), 0);
}

/** A caller on a slow path: its system takes few bytes that it has not read. */
class SlowCaller
{
public:
  explicit SlowCaller(uint16_t aPort)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    // Small segments also keep the sender's buffer small.
    const int segment = 536;
    const int buffer = 4096;
    const timeval patience{ 20, 0 };
    setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    auto address = internal::ToSocketAddress({ "127.0.0.1", aPort });
    EXPECT_EQ(connect(m_socket, address.Get(), address.Length()), 0);
  }

  ~SlowCaller() { close(m_socket); }
  SlowCaller(const SlowCaller&) = delete;
  SlowCaller& operator=(const SlowCaller&) = delete;

  void Send(const std::string& aText) const
  {
    EXPECT_EQ(write(m_socket, aText.data(), aText.size()),
              static_cast<ssize_t>(aText.size()));
  }

  /** What arrives until the connection ends. */
  std::string ReadAll() const
  {
    std::string text;
    std::array<char, 16384> part{};
    for (;;) {
      const auto count = read(m_socket, part.data(), part.size());
      if (count <= 0) {
        return text;
      }
      text.append(part.data(), static_cast<size_t>(count));
    }
  }

private:
  int m_socket;
};

/** Bytes of the answer: too many for a slow caller's socket, but few enough
 * that the daemon takes all of them at once from the backend server. */
constexpr size_t kSlowAnswerBytes = size_t{ 240 } * 1024;

class SlowCallerTest : public PlatformTest
{
protected:
  void Request(const SlowCaller& aCaller)
  {
    aCaller.Send(fmt::format("GET /r/x?bytes={} HTTP/1.1\r\n"
                             "Host: a.example\r\n"
                             "Pistachioshift-Attempt-Id: slow-{}\r\n"
                             "Pistachioshift-Deadline-Ms: 3000\r\n"
                             "Pistachioshift-Shard-Key: 100\r\n\r\n",
                             kSlowAnswerBytes,
                             ++m_requests));
    // Until the backend server has answered.
    std::this_thread::sleep_for(milliseconds(500));
  }
};

// Guards against an exit while an answer that is complete at the daemon still
// waits for its caller to read.
TEST_F(SlowCallerTest, Terminate_CallerReadsLate_AnswerIsWhole)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  const SlowCaller caller(m_hosts[0].ports[0]);
  Request(caller);
  m_hosts[0].daemon->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(3500));
  const auto answer = caller.ReadAll();
  const auto head = answer.find("\r\n\r\n");
  ASSERT_NE(head, std::string::npos);
  EXPECT_EQ(answer.size() - head - 4, kSlowAnswerBytes);
  EXPECT_EQ(m_hosts[0].daemon->Wait(), 0);
}

// Guards against a stop that waits for its callers without end. That it ends
// within the grace period is shown by LeaveScheduleTest.
TEST_F(SlowCallerTest, Terminate_CallerNeverReads_ExitsByItself)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  const SlowCaller caller(m_hosts[0].ports[0]);
  Request(caller);
  EXPECT_EQ(m_hosts[0].daemon->Stop(), 0);
}

/** The grace ends before the route's timeout. */
class ShortGraceTest : public PlatformTest
{
protected:
  ShortGraceTest()
    : PlatformTest("4s")
  {
  }
};

TEST_F(ShortGraceTest, Terminate_ServersHang_CallerGetsAFinalAnswer)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  for (const auto& host : m_hosts) {
    host.server->Signal(SIGSTOP);
  }
  m_hosts[0].daemon->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(1500));
  const auto reply = Ask(0, "/r/x", 100);
  EXPECT_TRUE(reply.status == 502 || reply.status == 503 || reply.status == 504)
    << reply.status;
  EXPECT_EQ(m_hosts[0].daemon->Wait(), 0);
  for (const auto& host : m_hosts) {
    host.server->Signal(SIGCONT);
  }
}

TEST(PlatformSettingsFileTest, Start_BadSettings_EndsWithTwo)
{
  const auto path =
    fmt::format("{}/bad-{}.toml", PISTACHIOSHIFT_BUILD, getpid());
  std::ofstream(path) << "nodeName = 7\n";
  ChildProcess daemon("pistachiod_platform",
                      { "--settings=" + path, "--check-settings" });
  EXPECT_EQ(daemon.Wait(), 2);
  std::remove(path.c_str());
}

}
