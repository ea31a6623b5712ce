#include <iostream>
#include <memory>
#include <thread>

#include <gtest/gtest.h>

#include "test/process/LoadSupport.h"
#include "test/process/MeshSupport.h"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;
using test::WaitUntil;

constexpr size_t kLost = 1; ///< Index of the host whose daemon is killed.
constexpr auto kCalm = 1s;  ///< Load before and after a fault.

/** \brief A mesh under load, one of whose daemons is killed. */
class TakeoverTest : public ::testing::Test
{
protected:
  void Start(size_t aHosts)
  {
    m_mesh = std::make_unique<test::Mesh>(test::MeshOptions{ .hosts = aHosts });
    m_lost = m_mesh->Host(kLost).Status()["daemon"];
    m_load = std::make_unique<test::CallerLoad>(m_mesh->CallerPorts(),
                                                test::MakeProbeKeys(32));
    ASSERT_TRUE(m_load->WaitServed(test::kPatience));
    std::this_thread::sleep_for(kCalm);
  }

  /** \brief kill -9; returns when every probe key was served again. */
  void KillDaemon()
  {
    m_mesh->Host(kLost).daemonProcess->Kill();
    EXPECT_TRUE(m_load->WaitServed(test::kPatience));
  }

  /** \brief Whether each live daemon read the takeovers from the log. */
  bool TakeoversRecorded() const
  {
    for (size_t index = 0; index < m_mesh->Size(); ++index) {
      if (index != kLost && !m_mesh->AllHeld(index, m_lost)) {
        return false;
      }
    }
    return true;
  }

  void StopAndJudge()
  {
    std::this_thread::sleep_for(kCalm);
    const auto report = m_load->Stop();
    std::cout << report.Text() << '\n';
    const auto runs = m_mesh->Record();
    EXPECT_GT(report.OrdersWith("done"), 0);
    EXPECT_EQ(test::FindBrokenPromises(report, runs),
              std::vector<std::string>());
    EXPECT_EQ(test::FindStaleRuns(runs), std::vector<std::string>());
  }

  std::unique_ptr<test::Mesh> m_mesh;
  std::unique_ptr<test::CallerLoad> m_load;
  int64_t m_lost = 0;
};

TEST_F(TakeoverTest, Kill_OwnerUnderLoad_KeysAreServedAgainAndOrdersRunOnce)
{
  Start(4);
  KillDaemon();
  EXPECT_TRUE(WaitUntil([this] { return TakeoversRecorded(); }));
  StopAndJudge();
}

TEST_F(TakeoverTest, Kill_OwnerWhileLogIsDown_TakeoversAreRecordedLater)
{
  Start(5);
  m_mesh->SetLogFault("mode=down");
  KillDaemon();
  EXPECT_FALSE(TakeoversRecorded());
  m_mesh->SetLogFault("mode=none");
  EXPECT_TRUE(WaitUntil([this] { return TakeoversRecorded(); }));
  // Served by the takers still, by the same tokens or later ones.
  EXPECT_TRUE(m_load->WaitServed(test::kPatience));
  StopAndJudge();
}

TEST_F(TakeoverTest, Kill_OwnerWhileLogLosesAnswers_TakeoversAndEditAreKept)
{
  Start(4);
  m_mesh->SetLogFault("mode=lose-answer&count=5");
  KillDaemon();
  m_mesh->Write("demo.toml", m_mesh->Document() + "# edited\n");
  EXPECT_EQ(m_mesh->Ctl(m_mesh->EditWords("demo", "demo.toml", "current")), 0);
  EXPECT_TRUE(WaitUntil([this] { return TakeoversRecorded(); }));
  EXPECT_TRUE(WaitUntil([this] {
    return m_mesh->Host(0).Status()["document"]["sections"]["demo"] == 3;
  }));
  StopAndJudge();
}

}
}
