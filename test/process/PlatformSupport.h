#ifndef PISTACHIOSHIFT_TEST_PROCESS_PLATFORMSUPPORT_H
#define PISTACHIOSHIFT_TEST_PROCESS_PLATFORMSUPPORT_H

#include <algorithm>
#include <atomic>
#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

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
      std::vector<std::string>{
        fmt::format("--port={}", m_storePort),
        fmt::format("--second-port={}", m_secondStorePort) });
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

  /** Writes a version of the configuration, with a route to each further path
   * prefix. */
  void WriteConfig(int aVersion = 1,
                   const std::vector<std::string>& aPrefixes = {}) const
  {
    std::string routes = R"("read":{"hostname":"a.example","pathPrefix":"/r/",
        "routeType":"idempotent","timeout":"3000ms","targetLatency":"600ms",
        "priority":2,"service":"orders","attempts":2},
      "write":{"hostname":"a.example","pathPrefix":"/w/",
        "routeType":"non_idempotent","timeout":"3000ms",
        "targetLatency":"600ms","priority":1,"service":"orders","attempts":2},
      "put":{"hostname":"a.example","pathPrefix":"/u/","routeType":"upload",
        "timeout":"3000ms","targetLatency":"2000ms","priority":1,
        "service":"orders","attempts":1})";
    for (const auto& prefix : aPrefixes) {
      routes += fmt::format(R"(,"{0}":{{"hostname":"a.example",
        "pathPrefix":"{0}","routeType":"idempotent","timeout":"3000ms",
        "targetLatency":"600ms","priority":2,"service":"orders",
        "attempts":2}})",
                            prefix);
    }
    const std::string value =
      fmt::format(R"({{"version":"{:08x}","routes":{{{}}},
      "services":{{"orders":{{"sharded":true}}}},
      "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":1000000,
        "headerTimeout":"3000ms","idleTimeout":"15000ms"}}}})",
                  aVersion,
                  routes);
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
    m_secondStorePort = picker.Pick();
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
                        aIndex + 1 < kHosts ? m_storePort : m_secondStorePort);
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
    return Ask(aHost, aPath, aKey, fmt::format("request-{}", ++m_requests));
  }

  HttpReply Ask(size_t aHost,
                const char* aPath,
                int aKey,
                const std::string& aId,
                std::string_view aBody = {})
  {
    HttpCall call;
    call.isPost = !aBody.empty();
    call.body = aBody;
    call.port = m_hosts[aHost].ports[0];
    call.path = aPath;
    call.headers = { { "Host", "a.example" },
                     { "Pistachioshift-Attempt-Id", aId },
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

  /** Sets the fault that only the last host sees. */
  void SetFaultOfLastHost(const std::string& aMode) const
  {
    HttpGet(m_storePort, "/fault?second=1&mode=" + aMode);
  }

  /** How often each request ran, over all servers, by its id. */
  std::map<std::string, int> Runs() const
  {
    std::map<std::string, int> runs;
    for (const auto& host : m_hosts) {
      const auto reply = HttpGet(host.ports[3], "/runs");
      const auto json = nlohmann::json::parse(reply.body);
      for (const auto& [id, count] : json.items()) {
        runs[id] += count.get<int>();
      }
    }
    return runs;
  }

  /** How often the request that ran most often ran, over all servers. */
  int MostRuns() const
  {
    int most = 0;
    for (const auto& [id, count] : Runs()) {
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
  uint16_t m_secondStorePort = 0; ///< Port of the same store for the last host.
  std::unique_ptr<ChildProcess> m_store;
  std::vector<Host> m_hosts;
  std::atomic<int> m_requests{ 0 };
};

}

#endif
