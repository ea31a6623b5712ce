#include <atomic>
#include <fstream>
#include <thread>

#include <gtest/gtest.h>

#include "test/process/PlatformSupport.h"

namespace pistachioshift::test {

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
