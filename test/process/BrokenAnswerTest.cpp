#include "test/process/HostilePlatformSupport.h"

namespace pistachioshift::test {

namespace {

/** More than the sockets on the way hold. */
constexpr size_t kUploadBytes = size_t{ 16 } * 1024 * 1024;
constexpr int kRounds = 5;
constexpr size_t kHosts = 2;
/** Time for the answer to reach the caller before its connection is reset. */
constexpr milliseconds kBeforeReset(100);

const std::string kPart = "part of the body";

/** Answers to an upload, the same on each route. */
std::map<std::string, HostileAnswer>
ResetAnswers()
{
  std::map<std::string, HostileAnswer> answers;
  for (const std::string route : { "/r/", "/w/", "/u/" }) {
    for (const std::string version : { "1.1", "1.0" }) {
      const auto start =
        fmt::format("HTTP/{} 200 OK\r\n{}\r\n{}", version, kIdFields, kPart);
      answers[route + version] = { start, "", kBeforeReset, false, true };
    }
  }
  return answers;
}

bool
PromisesNotRun(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

std::string
StatusAnswer(const std::string& aStatus)
{
  return fmt::format(
    "HTTP/1.1 {} Status\r\n{}Content-Length: 2\r\n\r\nok", aStatus, kIdFields);
}

std::map<std::string, HostileAnswer>
StatusAnswers(const std::vector<std::string>& aStatus)
{
  std::map<std::string, HostileAnswer> answers;
  for (const auto& status : aStatus) {
    answers["/r/" + status] = { StatusAnswer(status), "", {}, true };
    answers["/w/" + status] = { StatusAnswer(status), "", {}, true };
  }
  return answers;
}

/** Heads in which a byte stands before, within or after the name of a field
 * that is passed on, or of one that tells the length of the body. */
std::map<std::string, HostileAnswer>
NameAnswers()
{
  std::map<std::string, HostileAnswer> answers;
  for (const int byte : { 0x00, 0x01, 0x09, 0x0a, 0x0d, 0x1f, 0x20, 0x7f }) {
    for (const std::string name : { "X-Shop", "Content-Length" }) {
      for (const size_t at : { size_t{ 0 }, size_t{ 3 }, name.size() }) {
        auto spoiled = name;
        spoiled.insert(at, 1, static_cast<char>(byte));
        const auto path = fmt::format("/r/{}-{}-{}", name, byte, at);
        answers[path] = { kGood + spoiled + ": 1\r\n\r\nok", "", {}, true };
      }
    }
  }
  return answers;
}

}

/** Answers that no caller may get, from servers next to either host. */
class BrokenAnswerTest : public HostilePlatformTest
{
protected:
  void Start(const std::map<std::string, HostileAnswer>& aAnswers)
  {
    StartStore();
    AddHost(aAnswers);
    AddHost({}); // Its server gets no request; its callers' go to the other.
    StartHeartbeats(16);
    for (size_t host = 0; host < kHosts; ++host) {
      ASSERT_TRUE(WaitUntil([&] { return Ask("/r/ok", host).status == 200; }));
    }
  }

  std::string RequestText(const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aVersion)
  {
    auto text = fmt::format("{} {} HTTP/{}\r\n", aMethod, aPath, aVersion);
    for (const auto& [name, value] : MakeCall(aPath).headers) {
      text += fmt::format("{}: {}\r\n", name, value);
    }
    return text + "Connection: close\r\n";
  }

  WholeCaller Upload(const std::string& aPath, size_t aHost)
  {
    auto text = RequestText("POST", aPath, "1.1");
    text += fmt::format("Content-Length: {}\r\n\r\n", kUploadBytes);
    text.append(kUploadBytes, 'u');
    return WholeCaller(m_hosts[aHost].ports.callers, std::move(text));
  }

  WholeCaller Get(const std::string& aPath,
                  size_t aHost,
                  const std::string& aVersion)
  {
    return WholeCaller(m_hosts[aHost].ports.callers,
                       RequestText("GET", aPath, aVersion) + "\r\n");
  }

  /** Each path is answered with 502 at each host. */
  void ExpectBadGateway(const std::map<std::string, HostileAnswer>& aAnswers)
  {
    Start(aAnswers);
    for (size_t host = 0; host < kHosts; ++host) {
      for (const auto& [path, answer] : aAnswers) {
        const auto caller = Get(path, host, "1.1");
        EXPECT_EQ(caller.Status(), 502)
          << path << " at " << host << ": "
          << testing::PrintToString(caller.Answer());
        EXPECT_GT(m_hosts[0].backend->Requests(path), 0) << path;
      }
    }
  }
};

// Guards against a part of a body that a caller gets as a whole answer.
TEST_F(BrokenAnswerTest, Upload_AnswerWithoutLengthIsReset_IsNotWhole)
{
  Start(ResetAnswers());
  auto& server = *m_hosts[0].backend;
  for (size_t host = 0; host < kHosts; ++host) {
    for (const auto& [path, answer] : ResetAnswers()) {
      SCOPED_TRACE(fmt::format("{} at {}", path, host));
      const auto first = server.Requests(path);
      for (int round = 0; round < kRounds; ++round) {
        const auto before = server.Requests(path);
        const auto caller = Upload(path, host);
        const bool received = server.Requests(path) > before;
        EXPECT_FALSE(caller.Status() == 200 && caller.IsWhole())
          << caller.Answer();
        EXPECT_FALSE(received && PromisesNotRun(caller.Status()))
          << caller.Answer();
      }
      EXPECT_GT(server.Requests(path), first);
    }
  }
}

// Guards against a cut answer that looks whole to a caller who has only the
// end of the connection to go by.
TEST_F(BrokenAnswerTest, CallerOfHttp10_AnswerIsCut_IsNotWhole)
{
  const auto chunked = kGood + "Transfer-Encoding: chunked\r\n\r\n";
  Start({ { "/r/whole", { chunked + "4\r\nfour\r\n0\r\n\r\n", "", {}, true } },
          { "/r/cut",
            { chunked + "4\r\nfour\r\n", "", kBeforeReset, false, true } } });
  for (size_t host = 0; host < kHosts; ++host) {
    const auto whole = Get("/r/whole", host, "1.0");
    EXPECT_EQ(whole.Status(), 200);
    EXPECT_TRUE(whole.IsWhole() && whole.Answer().ends_with("\r\n\r\nfour"))
      << whole.Answer();
    const auto cut = Get("/r/cut", host, "1.0");
    EXPECT_FALSE(cut.Status() == 200 && cut.IsWhole())
      << "at " << host << ": " << cut.Answer();
  }
}

// Guards against an answer whose status no caller understands.
TEST_F(BrokenAnswerTest, Status_OutOfRange_IsBadGateway)
{
  ExpectBadGateway(StatusAnswers({ "000", "001", "099", "600", "999" }));
}

// Guards against a status that is taken for another one.
TEST_F(BrokenAnswerTest, Status_NotThreeDigits_IsBadGateway)
{
  ExpectBadGateway(StatusAnswers({ "0", "20", "0000", "0200", "00200" }));
}

// Guards against a line that is passed on with such a name, and against a body
// that is read by a length that the server has not stated.
TEST_F(BrokenAnswerTest, FieldName_WithBlankOrControlByte_IsBadGateway)
{
  ExpectBadGateway(NameAnswers());
}

}
