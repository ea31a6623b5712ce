#include <array>
#include <random>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include "test/process/PlatformSupport.h"

namespace pistachioshift::test {

/** Sends malformed bytes to every port of a daemon. */
class SpoiledInputTest : public PlatformTest
{
protected:
  static constexpr uint32_t kSeed = 20261206;
  static constexpr seconds kDuration{ 20 };

  /** Sends bytes on a connection of their own and waits briefly for an
   * answer. */
  static void SendBytes(uint16_t aPort, const std::string& aBytes)
  {
    const int one = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (connect(one, reinterpret_cast<sockaddr*>(&address), sizeof address) ==
        0) {
      send(one, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      pollfd waits{ one, POLLIN, 0 };
      constexpr int kWaitMillis = 20;
      std::array<char, 4096> answer{};
      if (poll(&waits, 1, kWaitMillis) > 0) {
        recv(one, answer.data(), answer.size(), MSG_DONTWAIT);
      }
    }
    close(one);
  }

  std::string Spoiled(std::string aBytes)
  {
    const auto draw = [this](size_t aBound) {
      return std::uniform_int_distribution<size_t>(0, aBound - 1)(m_random);
    };
    for (auto count = 1 + draw(3); count > 0; --count) {
      const auto position = draw(aBytes.size());
      const auto byte = static_cast<char>(draw(256));
      if (draw(6) == 0) {
        aBytes.insert(position, 1, byte);
      } else {
        aBytes[position] = byte;
      }
    }
    return aBytes;
  }

  /** Messages in good form, for each port of a daemon. */
  static std::vector<std::pair<uint16_t, std::string>> Messages(
    const Host& aHost)
  {
    const auto get = [](const std::string& aTarget) {
      return "GET " + aTarget +
             " HTTP/1.1\r\nHost: a.example\r\nX-Shop: one\r\n"
             "Pistachioshift-Attempt-Id: 00112233\r\n"
             "Pistachioshift-Deadline-Ms: 300\r\n"
             "Pistachioshift-Shard-Key: 77\r\n\r\n";
    };
    const std::string heartbeat =
      R"({"address":"127.0.0.1:1","born":1785414586000,"info":{"service":)"
      R"("orders","version":"v1","zone":"z","slots":9},"status":{"state":)"
      R"("ready","seq":4,"coldRemaining":"1.5s"},"holds":[[0,4095,7]]})";
    const auto put =
      fmt::format("PUT /api/instances/i-9 HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: {}\r\n\r\n{}",
                  heartbeat.size(),
                  heartbeat);
    const std::string post =
      "POST /w/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n"
      "Pistachioshift-Shard-Key: 77\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    const std::string frame = std::string("\0\0\0\x0c", 4) +
                              "\x1c\x16\x02\x15" + "\x02\x18\x01" +
                              "a\x16\x02" + std::string("\0\0", 2);
    return { { aHost.ports[0], get("/r/a?b=c") },
             { aHost.ports[0], post },
             { aHost.ports[1], get("/api/ready") },
             { aHost.ports[2], put },
             { aHost.ports[2],
               "DELETE /api/instances/i-9 HTTP/1.1\r\nHost: a\r\n\r\n" },
             { aHost.inner, frame },
             { static_cast<uint16_t>(aHost.inner + 1), get("/metrics") } };
  }

  static bool Runs(const ChildProcess& aProcess)
  {
    siginfo_t info{};
    waitid(P_PID,
           static_cast<id_t>(aProcess.Pid()),
           &info,
           WEXITED | WNOHANG | WNOWAIT);
    return info.si_pid == 0;
  }

  std::mt19937 m_random{ kSeed };
};

/** Guards against a daemon that ends after one malformed request: a target
 * with a tab, or a field value that begins with NUL. */
TEST_F(SpoiledInputTest, Callers_ControlCharacterInAHead_DaemonRuns)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  const auto port = m_hosts[0].ports[0];
  for (int byte = 0; byte < 0x20; ++byte) {
    const std::string one(1, static_cast<char>(byte));
    SendBytes(port,
              "GET /r/" + one +
                "x HTTP/1.1\r\nHost: a.example\r\n"
                "Pistachioshift-Shard-Key: 1\r\n\r\n");
    SendBytes(port,
              "GET /r/x HTTP/1.1\r\nHost: a.example\r\nX: " + one +
                "a\r\nPistachioshift-Shard-Key: 1\r\n\r\n");
  }
  EXPECT_TRUE(Runs(*m_hosts[0].daemon));
  EXPECT_EQ(Ask(0, "/r/x", 1).status, 200);
}

TEST_F(SpoiledInputTest, AllPorts_SpoiledMessages_DaemonRunsAndServes)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  const auto messages = Messages(m_hosts[0]);
  const auto end = steady_clock::now() + kDuration;
  for (size_t turn = 0; steady_clock::now() < end; ++turn) {
    const auto& [port, bytes] = messages[turn % messages.size()];
    const auto spoiled = Spoiled(bytes);
    SendBytes(port, spoiled);
    ASSERT_TRUE(Runs(*m_hosts[0].daemon))
      << "port " << port << ": " << testing::PrintToString(spoiled);
  }
  EXPECT_TRUE(WaitServed(0, seconds(15)));
  for (const auto& host : m_hosts) {
    EXPECT_TRUE(Runs(*host.daemon));
  }
}

}
