#include <csignal>
#include <future>
#include <iostream>
#include <thread>

#include <gtest/gtest.h>

#include <fmt/format.h>

#include "test/process/LoadSupport.h"
#include "test/process/MeshSupport.h"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;

constexpr size_t kLeaving = 1; ///< Index of the host whose daemon drains.
constexpr size_t kOther = 2;
constexpr size_t kDownloadBytes = size_t{ 24 } << 20U;
constexpr auto kReadPause = 1500us; ///< Of the slow reader after each part.
constexpr auto kWork = 4s;          ///< Of a slow request.
/** Stated target: no new work after a few seconds. */
constexpr int64_t kLastWorkMs = 5000;
constexpr auto kCalm = 1s;

int64_t
WallMs()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/** \brief A daemon drained by pistachioctl under load. */
class DrainTest : public ::testing::Test
{
protected:
  using Pending = std::future<test::HttpReply>;

  DrainTest()
    : m_mesh({ .deadline = 20s })
    , m_key(m_mesh.KeyOf(kLeaving))
  {
  }

  /** \brief A download of a key of the leaving daemon, read slowly. */
  Pending StartDownload(size_t aThrough)
  {
    const auto port = m_mesh.Host(aThrough).callers;
    const auto path =
      fmt::format("/orders/{}/blob?bytes={}", m_key, kDownloadBytes);
    return std::async(std::launch::async, [port, path] {
      size_t bytes = 0;
      auto reply = test::HttpSend({ .port = port,
                                    .path = path,
                                    .onBody =
                                      [&bytes](std::string_view aPart) {
                                        bytes += aPart.size();
                                        std::this_thread::sleep_for(kReadPause);
                                      },
                                    .timeout = 60s });
      reply.whole = reply.whole && bytes == kDownloadBytes;
      return reply;
    });
  }

  Pending StartSlowOrder(size_t aThrough)
  {
    const auto port = m_mesh.Host(aThrough).callers;
    const auto path = fmt::format(
      "/orders/{}/work?ms={}", m_key, std::chrono::milliseconds(kWork).count());
    return std::async(std::launch::async, [port, path] {
      return test::HttpSend(
        { .port = port, .path = path, .isPost = true, .timeout = 60s });
    });
  }

  test::Mesh m_mesh;
  std::string m_key;
};

TEST_F(DrainTest, Drain_UnderLoad_CutsNothingAndExits)
{
  test::CallerLoad load(m_mesh.CallerPorts(), test::MakeProbeKeys(32));
  ASSERT_TRUE(load.WaitServed(test::kPatience));
  std::vector<Pending> pending;
  for (const auto through : { kLeaving, kOther }) {
    pending.push_back(StartDownload(through));
    pending.push_back(StartSlowOrder(through));
  }
  std::this_thread::sleep_for(kCalm);

  const auto began = WallMs();
  auto& leaving = m_mesh.Host(kLeaving);
  ASSERT_EQ(
    m_mesh.Ctl({ "drain", fmt::format("127.0.0.1:{}", leaving.operators) }), 0);
  EXPECT_EQ(leaving.daemonProcess->Wait(), 0);
  std::cout << "the daemon exited " << WallMs() - began
            << " ms after the drain began" << '\n';

  for (auto& one : pending) {
    const auto reply = one.get();
    EXPECT_EQ(reply.status, 200) << reply.outcome << " " << reply.reason;
    EXPECT_TRUE(reply.whole);
  }
  EXPECT_TRUE(load.WaitServed(test::kPatience));
  const auto report = load.Stop();
  std::cout << report.Text() << "; key of the download: " << m_key << '\n';
  EXPECT_EQ(report.OrdersWith("lost"), 0);
  EXPECT_EQ(report.OrdersWith("unknown"), 0);
  EXPECT_FALSE(report.lookups.contains("lost"));
  EXPECT_FALSE(report.lookups.contains("unknown"));
  const auto runs = m_mesh.Record();
  EXPECT_EQ(test::FindBrokenPromises(report, runs), std::vector<std::string>());
  for (const auto& run : runs) {
    EXPECT_FALSE(run.host == kLeaving && run.startMs > began + kLastWorkMs)
      << run.path << " started " << run.startMs - began
      << " ms after the drain began";
  }
}

}
}
