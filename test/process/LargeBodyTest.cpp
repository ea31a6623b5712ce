#include "test/process/LargeBodySupport.h"

namespace pistachioshift {

TEST_F(LargeBodyTest, Bodies_ManyAtOnce_AreWholeAndMemoryIsBounded)
{
  const std::string body(kBodyBytes, 'u');
  std::string echo(kEchoBytes, '\0');
  std::generate(echo.begin(), echo.end(), [next = 0U]() mutable {
    return static_cast<char>(next++ % kPeriod);
  });
  std::vector<Pending> pending;
  pending.push_back(StartDownload(0, kReadPause));
  for (size_t number = 1; number < kEachWay; ++number) {
    pending.push_back(StartDownload(number, 0ms));
  }
  for (size_t number = 0; number < kEachWay; ++number) {
    pending.push_back(StartUpload(number, body));
  }
  for (size_t number = 0; number < kThrough; ++number) {
    pending.push_back(StartEcho(number, echo));
  }
  ExpectWhole(pending);
  for (size_t index = 0; index < m_mesh.Size(); ++index) {
    const auto peak = PeakResidentKiB(m_mesh.Host(index).daemonProcess->Pid());
    std::cout << "daemon " << index + 1 << ": peak " << peak << " KiB" << '\n';
    EXPECT_GT(peak, 0U);
    EXPECT_LT(peak, kMaxResidentKiB);
  }
}

}
