#include <chrono>
#include <map>
#include <memory>
#include <string>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "test/process/HostileServerSupport.h"
#include "test/process/MeshSupport.h"

namespace pistachioshift {
namespace {

using test::HostileAnswer;

/** More than the sockets on the way hold. */
constexpr size_t kUploadBytes = size_t{ 16 } * 1024 * 1024;
constexpr int kRounds = 5;
/** Time for the answer to reach the caller before its connection is reset. */
constexpr std::chrono::milliseconds kBeforeReset(100);

const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kBody = "Content-Length: 2\r\n\r\nok";

/** Names of heads that stand for no answer, and the heads. */
std::map<std::string, std::string>
BrokenHeads()
{
  return {
    { "zeros", "HTTP/1.1 000 Status\r\n" },
    { "small", "HTTP/1.1 099 Status\r\n" },
    { "four-digits", "HTTP/1.1 0200 Status\r\n" },
    { "blank-within", kOk + "X Shop: 1\r\n" },
    { "blank-after", kOk + "X-Shop : 1\r\n" },
    { "blank-before", kOk + "Server: s\r\n X-Shop: 1\r\n" },
    { "tab-before", kOk + "Server: s\r\n\tX-Shop: 1\r\n" },
    { "cr-before", kOk + "Server: s\r\n\rX-Shop: 1\r\n" },
    { "lf-before", kOk + "Server: s\r\n\nX-Shop: 1\r\n" },
    { "control-within", kOk + "X\x01Shop: 1\r\n" },
  };
}

/** A mesh of pistachiod in which the test is the server of the first host. */
class BrokenMeshAnswerTest : public ::testing::Test
{
protected:
  BrokenMeshAnswerTest()
    : m_mesh({ .hosts = 2, .zones = 2, .deadline = std::chrono::seconds(3) })
    , m_key(m_mesh.KeyOf(0))
  {
  }

  std::string Path(const std::string& aName) const
  {
    return fmt::format("/orders/{}/{}", m_key, aName);
  }

  /** Takes the server's place; the answers are to the paths of the key. */
  void ReplaceServer(const std::map<std::string, HostileAnswer>& aAnswers)
  {
    std::map<std::string, HostileAnswer> answers{
      { "/health", { kOk + kBody, "" } }, { "/load", { kOk + kBody, "" } }
    };
    for (const auto& [name, answer] : aAnswers) {
      answers[Path(name)] = answer;
    }
    answers[Path("ready")] = { kOk + kBody, "" };
    auto& host = m_mesh.Host(0);
    host.serverProcess->Kill();
    m_server =
      std::make_unique<test::HostileServer>(host.server, std::move(answers));
    for (size_t index = 0; index < m_mesh.Size(); ++index) {
      ASSERT_TRUE(
        test::WaitUntil([&] { return Get(index, "ready").Status() == 200; }));
    }
  }

  test::WholeCaller Get(size_t aHost, const std::string& aName)
  {
    return { m_mesh.Host(aHost).callers,
             fmt::format("GET {} HTTP/1.1\r\nHost: a\r\n"
                         "Connection: close\r\n\r\n",
                         Path(aName)) };
  }

  test::WholeCaller Upload(size_t aHost, const std::string& aName)
  {
    auto text = fmt::format("POST {} HTTP/1.1\r\nHost: a\r\n"
                            "Connection: close\r\nContent-Length: {}\r\n\r\n",
                            Path(aName),
                            kUploadBytes);
    text.append(kUploadBytes, 'u');
    return { m_mesh.Host(aHost).callers, std::move(text) };
  }

  test::Mesh m_mesh;
  std::string m_key; ///< Held by the first host.
  std::unique_ptr<test::HostileServer> m_server;
};

// Guards against a part of a body that a caller gets as a whole answer.
TEST_F(BrokenMeshAnswerTest, Upload_AnswerWithoutLengthIsReset_IsNotWhole)
{
  ReplaceServer(
    { { "cut", { kOk + "\r\npart of", "", kBeforeReset, false, true } } });
  for (size_t host = 0; host < m_mesh.Size(); ++host) {
    for (int round = 0; round < kRounds; ++round) {
      const auto caller = Upload(host, "cut");
      EXPECT_FALSE(caller.Status() == 200 && caller.IsWhole())
        << "at " << host << ": " << caller.Answer();
    }
  }
  EXPECT_EQ(m_server->Requests(Path("cut")), 2 * kRounds);
}

// Guards against an answer that a caller gets although its head is malformed.
TEST_F(BrokenMeshAnswerTest, Head_Malformed_OutcomeIsUnknown)
{
  std::map<std::string, HostileAnswer> answers;
  for (const auto& [name, head] : BrokenHeads()) {
    answers[name] = { head + kBody, "", {}, true };
  }
  ReplaceServer(answers);
  for (size_t host = 0; host < m_mesh.Size(); ++host) {
    for (const auto& [name, answer] : answers) {
      const auto caller = Get(host, name);
      const auto& text = caller.Answer();
      EXPECT_EQ(caller.Status(), 504) << name << " at " << host;
      EXPECT_NE(text.find("Pistachio-Outcome: unknown"), std::string::npos)
        << name << " at " << host << ": " << testing::PrintToString(text);
      EXPECT_GT(m_server->Requests(Path(name)), 0) << name;
    }
  }
}

}
}
