#ifndef PISTACHIOSHIFT_TEST_PROCESS_HOSTILEPLATFORMSUPPORT_H
#define PISTACHIOSHIFT_TEST_PROCESS_HOSTILEPLATFORMSUPPORT_H

#include <array>
#include <atomic>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "test/process/HostileServerSupport.h"
#include "test/process/HttpSupport.h"
#include "test/process/PortSupport.h"
#include "test/process/ProcessSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

constexpr int kDeadlineMs = 1000;
constexpr size_t kLargeBytes = size_t{ 300 } * 1024;

inline const std::string kIdFields = "Pistachioshift-Attempt-Id: {id}\r\n"
                                     "Pistachioshift-Response-Signature: s\r\n";
inline const std::string kStatus = "HTTP/1.1 200 OK\r\n";
inline const std::string kGood = kStatus + kIdFields;

inline std::string
Whole(size_t aBytes)
{
  return fmt::format(
    "{}Content-Length: {}\r\n\r\n{}", kGood, aBytes, std::string(aBytes, 'x'));
}

/** Hosts whose backend servers belong to the test. */
class HostilePlatformTest : public ::testing::Test
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

  HostilePlatformTest()
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

  ~HostilePlatformTest() override
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
        "targetLatency":"600ms","priority":1,"service":"orders","attempts":2},
      "put":{"hostname":"a.example","pathPrefix":"/u/","routeType":"upload",
        "timeout":"3000ms","targetLatency":"2000ms","priority":1,
        "service":"orders","attempts":1}},
      "services":{"orders":{"sharded":false}},
      "limits":{"maxHeaderBytes":16384,"maxBodyBytes":64000000,
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
      "{}/hostile-{}-{}.toml", PISTACHIOSHIFT_BUILD, getpid(), m_hosts.size());
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

}

#endif
