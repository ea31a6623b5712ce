#include <csignal>
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

constexpr size_t kFrozen = 1; ///< Index of the host whose daemon stops.
constexpr auto kFreeze = 3s;
constexpr auto kCalm = 1s;

/** \brief A daemon that stops under load and goes on as if nothing was. */
class FreezeTest : public ::testing::TestWithParam<Fencing>
{
protected:
  FreezeTest()
    : m_mesh({ .fencing = GetParam() })
  {
  }

  test::MeshHost& Frozen() { return m_mesh.Host(kFrozen); }

  std::vector<uint16_t> OtherPorts() const
  {
    auto ports = m_mesh.CallerPorts();
    ports.erase(ports.begin() + kFrozen);
    return ports;
  }

  test::Mesh m_mesh;
};

TEST_P(FreezeTest, Freeze_OwnerUnderLoad_NothingRunsUnderItsOldTokens)
{
  const auto before = Frozen().Status()["daemon"];
  const auto probes = test::MakeProbeKeys(32);
  // Callers of the frozen daemon wait for it, the others go on.
  test::CallerLoad load(OtherPorts(), probes);
  test::CallerLoad waiting({ Frozen().callers }, probes, 6, "waiting");
  ASSERT_TRUE(load.WaitServed(test::kPatience));
  std::this_thread::sleep_for(kCalm);

  Frozen().daemonProcess->Signal(SIGSTOP);
  EXPECT_TRUE(load.WaitServed(test::kPatience));
  std::this_thread::sleep_for(kFreeze);
  Frozen().daemonProcess->Signal(SIGCONT);

  EXPECT_TRUE(WaitUntil([&] {
    const auto status = Frozen().Status();
    return status.is_object() && status["daemon"] > before;
  }))
    << "the frozen daemon did not rejoin";
  std::this_thread::sleep_for(kCalm);
  EXPECT_TRUE(waiting.WaitServed(test::kPatience));
  const auto reports = { load.Stop(), waiting.Stop() };
  const auto runs = m_mesh.Record();
  for (const auto& report : reports) {
    std::cout << report.Text() << '\n';
    EXPECT_EQ(test::FindBrokenPromises(report, runs),
              std::vector<std::string>());
  }
  EXPECT_EQ(test::FindStaleRuns(runs), std::vector<std::string>());
  if (GetParam() == Fencing::kUnchecked) {
    // The heir waits until what the old holder passed on has ended.
    EXPECT_EQ(test::FindStaleRuns(runs, &test::RecordedRun::endMs),
              std::vector<std::string>());
  }
}

INSTANTIATE_TEST_SUITE_P(Fencing,
                         FreezeTest,
                         ::testing::Values(Fencing::kChecked,
                                           Fencing::kUnchecked),
                         [](const auto& aInfo) {
                           return aInfo.param == Fencing::kChecked
                                    ? "Checked"
                                    : "Unchecked";
                         });

}
}
