#include <gtest/gtest.h>

#include "test/process/PlatformSupport.h"

namespace pistachioshift::test {

class UploadRouteTest : public PlatformTest
{
protected:
  static int Counted(const Host& aHost, const std::string& aCounter)
  {
    // The second internal port is that of the metrics.
    const auto port = static_cast<uint16_t>(aHost.inner + 1);
    const auto text = HttpGet(port, "/metrics").body;
    const auto found = text.find(aCounter);
    return found == std::string::npos
             ? 0
             : std::stoi(text.substr(found + aCounter.size()));
  }
};

// Guards against an upload that the daemons don't agree on: each host sends to
// all others and to itself, with bodies around the sizes of their buffers.
TEST_F(UploadRouteTest, Uploads_FromAllHosts_RunOnce)
{
  ASSERT_TRUE(WaitServed(0, seconds(15)));
  const std::string body(size_t{ 900 } * 1000, 'u');
  int sent = 0;
  for (const size_t bytes : { 1, 65536, 65537, 300000, 900000 }) {
    for (int key = 0; key < 65536; key += 8192) {
      const auto host = static_cast<size_t>(sent) % m_hosts.size();
      const auto id = fmt::format("upload-{}", ++sent);
      const auto whole = std::string_view(body).substr(0, bytes);
      EXPECT_EQ(Ask(host, "/u/x", key, id, whole).status, 200) << bytes;
      EXPECT_EQ(Runs()[id], 1);
    }
  }
  int received = 0;
  for (const auto& host : m_hosts) {
    received += Counted(host, R"(pistachio_uploads_total{event="received"} )");
  }
  EXPECT_EQ(received, sent);
}

}
