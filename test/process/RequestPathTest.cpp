#include <array>
#include <memory>
#include <optional>

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "Pistachioshift/Inner"
#include "src/Inner/SocketAddress.h"
#include "src/Log/LogBodies.h"
#include "test/process/MeshSupport.h"

namespace pistachioshift {
namespace {

using test::WaitUntil;

/** \brief One plain TCP connection to 127.0.0.1, blocking. */
class RawConnection
{
public:
  explicit RawConnection(uint16_t aPort)
    : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    const timeval limit{ test::kPatience.count(), 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    const auto address = internal::ToSocketAddress({ "127.0.0.1", aPort });
    EXPECT_EQ(connect(m_socket, address.Get(), address.Length()), 0);
  }
  ~RawConnection() { close(m_socket); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  void Send(const std::string& aBytes) const
  {
    send(m_socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
  }

  void EndOutput() const { shutdown(m_socket, SHUT_WR); }

  /** \brief What comes until the peer closes; nothing if it doesn't. */
  std::optional<std::string> ReadToEnd() const
  {
    std::string text;
    std::array<char, 4096> part{};
    for (;;) {
      const auto count = recv(m_socket, part.data(), part.size(), 0);
      if (count < 0 && errno != ECONNRESET) {
        return std::nullopt;
      }
      if (count <= 0) {
        return text;
      }
      text.append(part.data(), static_cast<size_t>(count));
    }
  }

private:
  int m_socket;
};

/** \brief One mesh for all tests of this file; each leaves it whole. */
class RequestPathTest : public ::testing::Test
{
protected:
  static void SetUpTestSuite()
  {
    s_mesh = std::make_unique<test::Mesh>(test::MeshOptions{});
  }
  static void TearDownTestSuite() { s_mesh.reset(); }

  ~RequestPathTest() override { ExpectServed(); }

  /** \brief A request through each daemon still reaches a server. */
  static void ExpectServed()
  {
    for (const auto port : s_mesh->CallerPorts()) {
      EXPECT_EQ(test::HttpGet(port, "/orders/any/echo").status, 200);
    }
  }

  static test::MeshHost& Host() { return s_mesh->Host(0); }

  static test::HttpReply Post(uint16_t aPort,
                              const std::string& aPath,
                              const std::string& aBody)
  {
    return test::HttpPost(aPort, aPath, aBody);
  }

  /** \brief Sends bytes as a caller and waits for refusal and counter. */
  static void ExpectHttpRefusal(const std::string& aBytes,
                                const std::string& aStatus,
                                const std::string& aReason)
  {
    const auto counter =
      "pistachio_http_refusals_total{reason=\"" + aReason + "\"}";
    const auto before = Host().Metric(counter);
    const RawConnection connection(Host().callers);
    connection.Send(aBytes);
    const auto answer = connection.ReadToEnd();
    ASSERT_TRUE(answer);
    EXPECT_TRUE(answer->starts_with("HTTP/1.1 " + aStatus)) << *answer;
    EXPECT_EQ(Host().Metric(counter), before + 1);
  }

  static std::unique_ptr<test::Mesh> s_mesh;
};

std::unique_ptr<test::Mesh> RequestPathTest::s_mesh;

TEST_F(RequestPathTest, Request_ThroughEveryDaemon_ReachesTheOneOwnerWhole)
{
  const std::string body(200'000, 'b');
  for (size_t owner = 0; owner < s_mesh->Size(); ++owner) {
    const auto key = s_mesh->KeyOf(owner);
    const auto first = s_mesh->Record().size();
    for (const auto port : s_mesh->CallerPorts()) {
      const auto reply = Post(port, "/orders/" + key + "/echo", body);
      EXPECT_EQ(reply.status, 200);
      EXPECT_EQ(reply.outcome, "done");
      EXPECT_TRUE(reply.body == body) << reply.body.size();
    }
    size_t runs = 0;
    for (const auto& run : s_mesh->Record()) {
      if (run.key == key && run.method == "POST") {
        EXPECT_EQ(run.host, owner);
        ++runs;
      }
    }
    EXPECT_EQ(runs, s_mesh->Size());
    EXPECT_EQ(s_mesh->Record().size(), first + s_mesh->Size());
  }
}

TEST_F(RequestPathTest, Request_UnknownService_IsRefusedWithReason)
{
  const std::string counter = "pistachio_refusals_total{reason=\"no-service\"}";
  const auto before = Host().Metric(counter);
  const auto reply = test::HttpGet(Host().callers, "/no-such/key/echo");
  EXPECT_EQ(reply.status, 503);
  EXPECT_EQ(reply.outcome, "not-run");
  EXPECT_EQ(reply.reason, "no-service");
  EXPECT_EQ(Host().Metric(counter), before + 1);
}

TEST_F(RequestPathTest, Request_WithoutKey_IsRefusedWithReason)
{
  const std::string counter = "pistachio_refusals_total{reason=\"no-key\"}";
  const auto before = Host().Metric(counter);
  const auto reply = test::HttpGet(Host().callers, "/orders");
  EXPECT_EQ(reply.status, 503);
  EXPECT_EQ(reply.outcome, "not-run");
  EXPECT_EQ(reply.reason, "no-key");
  EXPECT_EQ(Host().Metric(counter), before + 1);
}

TEST_F(RequestPathTest, Request_MalformedHttp_IsRefusedAndCounted)
{
  ExpectHttpRefusal(
    "GET /orders/key/echo HTTP/1.1\r\nno colon\r\n\r\n", "400", "malformed");
  ExpectHttpRefusal("GET nonsense HTTP/1.1\r\n\r\n", "400", "bad-target");
}

TEST_F(RequestPathTest, Request_TwoLengths_IsRefusedAndCounted)
{
  ExpectHttpRefusal("POST /orders/key/orders HTTP/1.1\r\nHost: a\r\n"
                    "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                    "400",
                    "ambiguous-length");
}

TEST_F(RequestPathTest, Request_OversizeHeader_IsRefusedAndCounted)
{
  const std::string value(100'000, 'h');
  ExpectHttpRefusal(
    "GET /orders/key/echo HTTP/1.1\r\nHost: a\r\nX-Long: " + value + "\r\n\r\n",
    "431",
    "head-too-large");
}

TEST_F(RequestPathTest, InnerFrame_Garbage_ClosesItsConnectionAndIsCounted)
{
  const std::string counter =
    "pistachio_inner_connection_ends_total{reason=\"malformed\"}";
  const auto before = Host().Metric(counter);
  const RawConnection garbage(Host().inner);
  garbage.Send(std::string("\0\0\0\x08", 4) + "garbage!");
  EXPECT_TRUE(garbage.ReadToEnd());
  const RawConnection tooLong(Host().inner);
  tooLong.Send("\xff\xff\xff\xff");
  EXPECT_TRUE(tooLong.ReadToEnd());
  EXPECT_EQ(Host().Metric(counter), before + 2);
}

TEST_F(RequestPathTest, InnerFrame_Truncated_ClosesItsConnection)
{
  const auto sessions = Host().Metric("pistachio_inner_sessions");
  const auto frame = EncodeFrame(Ping{ 1 });
  const RawConnection connection(Host().inner);
  connection.Send(frame.substr(0, frame.size() - 1));
  connection.EndOutput();
  EXPECT_TRUE(connection.ReadToEnd());
  EXPECT_EQ(Host().Metric("pistachio_inner_sessions"), sessions);
}

TEST_F(RequestPathTest, Datagram_Garbage_IsCounted)
{
  const std::string counter = "pistachio_control_malformed";
  const auto before = Host().Metric(counter);
  const int one = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const auto address = internal::ToSocketAddress({ "127.0.0.1", Host().inner });
  for (const std::string text : { "garbage", "", "\xff\xff\xff\xff" }) {
    sendto(one, text.data(), text.size(), 0, address.Get(), address.Length());
  }
  close(one);
  EXPECT_TRUE(WaitUntil([&] { return Host().Metric(counter) == before + 3; }));
}

TEST_F(RequestPathTest, LogRecord_Garbage_IsCountedAndPassedOver)
{
  for (const std::string stream : { "ownership", "document" }) {
    const auto counter = "pistachio_" + stream + "_malformed";
    const auto before = Host().Metric(counter);
    const auto answer = Post(s_mesh->LogPort(),
                             "/streams/" + stream + "/records",
                             internal::EncodeAppendRequest({ "garbage" }));
    ASSERT_EQ(answer.status, 200);
    for (size_t index = 0; index < s_mesh->Size(); ++index) {
      EXPECT_TRUE(WaitUntil(
        [&] { return s_mesh->Host(index).Metric(counter) == before + 1; }))
        << stream;
    }
  }
  // An edit after the garbage still comes into force everywhere.
  s_mesh->Write("demo.toml", s_mesh->Document() + "# edited\n");
  ASSERT_EQ(s_mesh->Ctl(s_mesh->EditWords("demo", "demo.toml", "current")), 0);
  constexpr int kVersion = 4; // Teams, demo and the garbage go before it.
  for (size_t index = 0; index < s_mesh->Size(); ++index) {
    EXPECT_TRUE(WaitUntil([&] {
      const auto sections =
        s_mesh->Host(index).Status()["document"]["sections"];
      return sections["demo"] == kVersion;
    }));
  }
}

}
}
