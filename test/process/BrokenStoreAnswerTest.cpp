#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <event2/event.h>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "Pistachioshift/Log"
#include "platform/LogStore.h"
#include "src/Log/LogBodies.h"
#include "test/process/HostileServerSupport.h"
#include "test/process/PortSupport.h"
#include "test/process/ProcessSupport.h"

namespace pistachioshift::test {

namespace {

using std::chrono::milliseconds;

constexpr int kRounds = 5;
constexpr milliseconds kBeforeReset(50);
/** More than the sockets hold. */
constexpr size_t kRecords = 64;
constexpr size_t kRecordBytes = size_t{ 256 } * 1024;

const std::string kAppend = "/api/log-append?topic=keyed.a&part=0&at=0";
const std::string kRead = "/api/log-read?topic=keyed.a&part=0&from=0&waitMs=0";
const std::string kStreamAppend = "/streams/document/records";
const std::string kStreamRead = kStreamAppend + "?from=1&max=10&wait_ms=0";

/** The part of a head that is broken, in front of a body. */
std::string
StatusLine(const std::string& aStatus)
{
  return "HTTP/1.1 " + aStatus + " Status\r\n";
}

/** Starts of an answer that stand for no answer. */
std::vector<std::string>
BrokenHeads()
{
  std::vector<std::string> heads;
  for (const auto* status : { "000", "099", "0200", "00200" }) {
    heads.push_back(StatusLine(status) + "Server: s\r\n");
  }
  for (const std::string line : { "X Shop",
                                  "X-Shop ",
                                  " X-Shop",
                                  "\tX-Shop",
                                  "\rX-Shop",
                                  "X\x01Shop",
                                  "X-Shop\x7f" }) {
    heads.push_back(StatusLine("200") + "Server: s\r\n" + line + ": 1\r\n");
  }
  return heads;
}

std::string
WithBody(const std::string& aHead, const std::string& aBody)
{
  return fmt::format("{}Connection: close\r\nContent-Length: {}\r\n\r\n{}",
                     aHead,
                     aBody.size(),
                     aBody);
}

/** Is sent before the body of the call is read, and then the connection is
 * reset. */
HostileAnswer
Early(const std::string& aBytes)
{
  return { aBytes, "", kBeforeReset, false, true };
}

std::string
AppendBody()
{
  return R"({"offset":0,"endOffset":1})";
}

std::string
StreamAppendBody()
{
  return internal::EncodeAppended(Appended{ { Offset(1) } });
}

std::string
StreamReadBody()
{
  return internal::EncodeReadAnswer(ReadAnswer{ {}, Offset(1), Offset(1) });
}

}

/** Answers of a store that stand for no answer: whatever their body says, a
 * write may have been done or not, and a read has failed. */
class BrokenStoreAnswerTest : public ::testing::Test
{
protected:
  BrokenStoreAnswerTest()
    : m_base(event_base_new())
    , m_port(PortPicker().Pick())
  {
  }
  ~BrokenStoreAnswerTest() override
  {
    m_store.reset();
    m_log.reset();
    event_base_free(m_base);
  }

  void Start(std::map<std::string, HostileAnswer> aAnswers)
  {
    m_store.reset();
    m_log.reset();
    m_server.reset();
    m_server = std::make_unique<HostileServer>(m_port, std::move(aAnswers));
    const Endpoint endpoint{ "127.0.0.1", m_port };
    m_store = std::make_unique<platform::LogStore>(m_base, endpoint, m_logger);
    m_log = std::make_unique<HttpLogService>(
      m_base, HttpLogOptions{ .endpoint = endpoint });
  }

  template<class Result>
  Result Await(const std::function<void(std::function<void(Result)>)>& aCall)
  {
    std::optional<Result> result;
    aCall([&](Result aResult) { result = std::move(aResult); });
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!result && std::chrono::steady_clock::now() < end) {
      const timeval step{ 0, 10000 };
      event_base_loopexit(m_base, &step);
      event_base_dispatch(m_base);
    }
    EXPECT_TRUE(result.has_value()) << "no result";
    return result ? *std::move(result) : Result{};
  }

  AppendVerdict Append(size_t aRecords = 1)
  {
    std::vector<StoreEntry> entries;
    entries.reserve(aRecords);
    for (size_t index = 0; index < aRecords; ++index) {
      entries.push_back(
        { fmt::format("k{}", index), std::string(kRecordBytes, 'v') });
    }
    return Await<AppendReply>([&](auto aDone) {
             m_store->Append(
               "keyed.a", entries, ExpectedEnd{ 0 }, std::move(aDone));
           })
      .verdict;
  }

  StoreReadResult Read()
  {
    return Await<StoreReadResult>([&](auto aDone) {
      m_store->Read("keyed.a", 0, Duration{}, std::move(aDone));
    });
  }

  AppendResult StreamAppend(std::vector<std::string> aPayloads)
  {
    return Await<AppendResult>([&](auto aDone) {
      m_log->Append(StreamName("document"), aPayloads, std::move(aDone));
    });
  }

  ReadResult StreamRead()
  {
    return Await<ReadResult>([&](auto aDone) {
      m_log->Read(
        StreamName("document"), Offset(1), 10, Duration{}, std::move(aDone));
    });
  }

  event_base* m_base;
  uint16_t m_port;
  Logger m_logger{ "test", LogLevel::kError };
  std::unique_ptr<HostileServer> m_server;
  std::unique_ptr<platform::LogStore> m_store;
  std::unique_ptr<HttpLogService> m_log;
};

// Shows that nothing but the heads of the other tests is broken.
TEST_F(BrokenStoreAnswerTest, Calls_HeadIsWellFormed_HaveTheirAnswer)
{
  const auto head = StatusLine("200") + "X-Shop: 1\r\n";
  Start({ { kAppend, Early(WithBody(head, AppendBody())) },
          { kRead, Early(WithBody(head, std::string(16, '\0'))) },
          { kStreamAppend, Early(WithBody(head, StreamAppendBody())) },
          { kStreamRead, Early(WithBody(head, StreamReadBody())) } });
  EXPECT_EQ(Append(), AppendVerdict::kAccepted);
  EXPECT_TRUE(std::holds_alternative<StoreRecords>(Read()));
  EXPECT_TRUE(std::holds_alternative<Appended>(StreamAppend({ "p" })));
  EXPECT_TRUE(std::holds_alternative<ReadAnswer>(StreamRead()));
}

// Guards against a write that is taken for done, or for not done, because the
// answer of the call was cut while the call was still being written.
TEST_F(BrokenStoreAnswerTest, Append_AnswerWithoutLengthIsReset_IsUnknown)
{
  const auto start = StatusLine("200") + "\r\n" + AppendBody().substr(0, 12);
  Start({ { kAppend, Early(start) } });
  for (int round = 0; round < kRounds; ++round) {
    EXPECT_EQ(Append(kRecords), AppendVerdict::kUnknown) << "round " << round;
  }
  EXPECT_EQ(m_server->Requests(kAppend), kRounds);
}

// As above, for a body that could be taken for a whole one.
TEST_F(BrokenStoreAnswerTest, StreamAppend_AnswerWithoutLengthIsReset_IsUnknown)
{
  const auto start = StatusLine("200") + "\r\n" + StreamAppendBody();
  Start({ { kStreamAppend, Early(start) } });
  const std::vector<std::string> payloads(kMaxBatchBytes / kRecordBytes - 1,
                                          std::string(kRecordBytes, 'p'));
  for (int round = 0; round < kRounds; ++round) {
    EXPECT_TRUE(std::holds_alternative<AppendAmbiguous>(StreamAppend(payloads)))
      << "round " << round;
  }
}

// Guards against a status or a field that is read as another one.
TEST_F(BrokenStoreAnswerTest, Calls_HeadIsMalformed_HaveNoAnswer)
{
  for (const auto& head : BrokenHeads()) {
    SCOPED_TRACE(testing::PrintToString(head));
    Start({ { kAppend, Early(WithBody(head, AppendBody())) },
            { kRead, Early(WithBody(head, std::string(16, '\0'))) } });
    EXPECT_EQ(Append(), AppendVerdict::kUnknown);
    const auto read = Read();
    const auto* failure = std::get_if<StoreFailure>(&read);
    EXPECT_TRUE(failure && *failure == StoreFailure::kUnavailable);
  }
}

TEST_F(BrokenStoreAnswerTest, StreamCalls_HeadIsMalformed_HaveNoAnswer)
{
  for (const auto& head : BrokenHeads()) {
    SCOPED_TRACE(testing::PrintToString(head));
    Start({ { kStreamAppend, Early(WithBody(head, StreamAppendBody())) },
            { kStreamRead, Early(WithBody(head, StreamReadBody())) } });
    EXPECT_TRUE(std::holds_alternative<AppendAmbiguous>(StreamAppend({ "p" })));
    EXPECT_TRUE(std::holds_alternative<ReadFailed>(StreamRead()));
  }
}

}
