#include <array>
#include <atomic>
#include <csignal>
#include <future>
#include <mutex>
#include <thread>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include "src/Inner/SocketAddress.h"
#include "test/process/PlatformSupport.h"

namespace pistachioshift::test {

/** Planned stops of one daemon of three. */
class PlannedStopTest : public PlatformTest
{};

TEST_F(PlannedStopTest, Terminate_RequestsInProgress_AreAnswered)
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
TEST_F(PlannedStopTest, Terminate_WritesFromPeers_NoOutcomeIsUnknown)
{
  ASSERT_TRUE(WaitServed(1, seconds(15)));
  std::atomic<int> unknown{ 0 };
  std::atomic<bool> stop{ false };
  std::vector<std::thread> callers;
  callers.reserve(32);
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

/** Requests that take a sixth of the grace, sent until the daemon is gone. */
class LateInTheGraceTest : public PlatformTest
{
protected:
  LateInTheGraceTest()
    : PlatformTest("6s", milliseconds(1000))
  {
  }
};

// Guards against requests, also those that may not be repeated, that are taken
// late in the grace, passed on, and cut without an answer at its end.
TEST_F(LateInTheGraceTest, Terminate_RequestsUntilTheEnd_NoneRunsUnanswered)
{
  ASSERT_TRUE(WaitAllServed(0, seconds(20)));
  std::mutex mutex;
  std::vector<std::string> unanswered;
  std::atomic<int> number{ 0 };
  std::atomic<int> served{ 0 };
  std::atomic<bool> stop{ false };
  std::vector<std::thread> callers;
  callers.reserve(24);
  for (int caller = 0; caller < 24; ++caller) {
    callers.emplace_back([&, caller] {
      for (int turn = 0; !stop; ++turn) {
        const bool write = caller % 2 == 0;
        const auto id =
          fmt::format("{}-{}", write ? "write" : "read", ++number);
        const int key = (turn * 977 + caller * 2731) % 65536;
        // Callers of the daemon that stops, and of another one.
        const auto reply =
          Ask(caller % 3 == 0 ? 1 : 0, write ? "/w/x" : "/r/x", key, id);
        if (reply.status == 200) {
          ++served;
        } else if (reply.status != 503) {
          const std::lock_guard lock(mutex);
          unanswered.push_back(fmt::format("{} {}", id, reply.status));
        } else {
          std::this_thread::sleep_for(milliseconds(20));
        }
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(500));
  EXPECT_EQ(m_hosts[0].daemon->Stop(), 0);
  stop = true;
  for (auto& caller : callers) {
    caller.join();
  }
  EXPECT_GT(served, 24);
  const auto runs = Runs();
  for (const auto& entry : unanswered) {
    const auto id = entry.substr(0, entry.find(' '));
    EXPECT_FALSE(runs.contains(id)) << entry;
  }
  for (const auto& [id, count] : runs) {
    EXPECT_TRUE(count == 1 || !id.starts_with("write-")) << id;
  }
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

}
