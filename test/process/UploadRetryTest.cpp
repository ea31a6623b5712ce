#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <thread>

#include <gtest/gtest.h>

#include <fmt/format.h>

#include "test/process/HttpSupport.h"
#include "test/process/MeshSupport.h"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;

constexpr size_t kBodyBytes = size_t{ 1 } << 20U;
/** One more than an ingress keeps before its first attempt. */
constexpr size_t kFirstBytes = size_t{ 64 } * 1024 + 1;
/** Shorter than the wait before a shed request is sent again. */
constexpr auto kWithinRetryWait = 20ms;

/** \brief Plain connection that sends a request in pieces. */
class SlowUpload
{
public:
  explicit SlowUpload(uint16_t aPort)
    : m_socket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_connected = connect(m_socket,
                          reinterpret_cast<const sockaddr*>(&address),
                          sizeof(address)) == 0;
  }

  ~SlowUpload() { close(m_socket); }
  SlowUpload(const SlowUpload&) = delete;
  SlowUpload& operator=(const SlowUpload&) = delete;

  bool Send(const std::string& aData) const
  {
    size_t sent = 0;
    while (m_connected && sent < aData.size()) {
      const auto count =
        send(m_socket, aData.data() + sent, aData.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
    }
    return m_connected;
  }

  std::string ReadAll() const
  {
    std::string answer;
    std::array<char, 4096> buffer{};
    for (;;) {
      const auto count = recv(m_socket, buffer.data(), buffer.size(), 0);
      if (count <= 0) {
        return answer;
      }
      answer.append(buffer.data(), static_cast<size_t>(count));
    }
  }

private:
  int m_socket;
  bool m_connected = false;
};

/** \brief Uploads whose first attempts are refused as not run. */
class UploadRetryTest : public ::testing::Test
{
protected:
  UploadRetryTest()
    : m_mesh({ .deadline = 5s })
  {
  }

  void SetShed(const std::string& aShare)
  {
    for (size_t index = 0; index < m_mesh.Size(); ++index) {
      test::HttpPost(m_mesh.Host(index).server, "/control?shed=" + aShare);
    }
  }

  test::Mesh m_mesh;
};

TEST_F(UploadRetryTest, Upload_BytesComeWhileARetryWaits_AreKept)
{
  SetShed("1");
  const SlowUpload upload(m_mesh.Host(0).callers);
  ASSERT_TRUE(upload.Send(fmt::format("POST /orders/upload/sink HTTP/1.1\r\n"
                                      "Host: a\r\nConnection: close\r\n"
                                      "Content-Length: {}\r\n\r\n",
                                      kBodyBytes)));
  ASSERT_TRUE(upload.Send(std::string(kFirstBytes, 'u')));
  std::this_thread::sleep_for(kWithinRetryWait);
  ASSERT_TRUE(upload.Send(std::string(kBodyBytes - kFirstBytes, 'u')));
  SetShed("0");
  const auto answer = upload.ReadAll();
  EXPECT_NE(answer.find(std::to_string(kBodyBytes) + "\n"), std::string::npos)
    << answer;
}

}
}
