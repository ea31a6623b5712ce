#include <csignal>
#include <functional>
#include <memory>

#include <event2/event.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "Pistachioshift/Log"
#include "test/process/HttpSupport.h"
#include "test/process/ProcessSupport.h"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;

/** \brief A follower and writer of one stream, with what it learnt. */
struct Client
{
  std::vector<LogRecord> records;
  std::vector<SubmitResult> results;
  std::unique_ptr<LogTask> task;
};

/** \brief A running stand-in and the clients of its stream. */
class LogServiceTest : public ::testing::Test
{
protected:
  LogServiceTest()
    : m_base(event_base_new())
  {
    std::signal(SIGPIPE, SIG_IGN);
  }

  ~LogServiceTest() override
  {
    m_clients.clear();
    m_service.reset();
    event_base_free(m_base);
  }

  void StartServer(const std::vector<std::string>& aFlags = {},
                   Duration aTimeout = 1s)
  {
    m_server = std::make_unique<test::ChildProcess>("standin_log", aFlags);
    m_port = m_server->WaitForPort();
    HttpLogOptions options;
    options.endpoint = Endpoint{ "127.0.0.1", m_port };
    options.timeout = aTimeout;
    m_service = std::make_unique<HttpLogService>(m_base, options);
  }

  Client& StartClient(uint64_t aWriter, bool aWritesCheckpoints = false)
  {
    auto& client = *m_clients.emplace_back(std::make_unique<Client>());
    LogTaskOptions options;
    options.stream = StreamName("document");
    options.writer = BootId(aWriter);
    options.writesCheckpoints = aWritesCheckpoints;
    options.checkpointRecords = 10;
    LogTaskHandlers handlers;
    handlers.record = [&client](const LogRecord& aRecord) {
      client.records.push_back(aRecord);
    };
    handlers.saveState = [] { return std::string("state"); };
    handlers.loadState = [](const std::string&) {};
    handlers.caughtUp = [] {};
    client.task = std::make_unique<LogTask>(m_base,
                                            *m_service,
                                            m_clock,
                                            RandomEngine(aWriter),
                                            options,
                                            std::move(handlers));
    client.task->Start();
    return client;
  }

  static void Submit(Client& aClient, const std::string& aBody)
  {
    aClient.task->Submit(aBody,
                         [&aClient](const RecordId&, const SubmitResult& aOne) {
                           aClient.results.push_back(aOne);
                         });
  }

  void SetFault(const std::string& aQuery) const
  {
    ASSERT_EQ(test::HttpPost(m_port, "/faults?" + aQuery).status, 200);
  }

  nlohmann::json Stats() const
  {
    return nlohmann::json::parse(test::HttpGet(m_port, "/stats").body);
  }

  bool RunUntil(const std::function<bool()>& aDone)
  {
    const auto until = m_clock.Now() + test::kPatience;
    while (!aDone() && m_clock.Now() < until) {
      const timeval slice{ 0, 10000 };
      event_base_loopexit(m_base, &slice);
      event_base_dispatch(m_base);
    }
    return aDone();
  }

  bool RunUntilWritten(const Client& aClient, size_t aCount)
  {
    return RunUntil([&] { return aClient.results.size() == aCount; });
  }

  SystemClock m_clock;
  event_base* m_base;
  std::unique_ptr<test::ChildProcess> m_server;
  uint16_t m_port = 0;
  std::unique_ptr<HttpLogService> m_service;
  std::vector<std::unique_ptr<Client>> m_clients;
};

std::vector<std::string>
Bodies(const Client& aClient)
{
  std::vector<std::string> bodies;
  bodies.reserve(aClient.records.size());
  for (const auto& record : aClient.records) {
    bodies.push_back(record.body);
  }
  return bodies;
}

TEST_F(LogServiceTest, Submit_LogUp_ReachesEveryFollower)
{
  StartServer();
  Client& writer = StartClient(1);
  Client& reader = StartClient(2);
  Submit(writer, "one");
  Submit(writer, "two");
  ASSERT_TRUE(RunUntilWritten(writer, 2));
  ASSERT_TRUE(RunUntil([&] { return reader.records.size() == 2; }));
  EXPECT_EQ(Bodies(reader), (std::vector<std::string>{ "one", "two" }));
  EXPECT_EQ(writer.records, reader.records);
  EXPECT_EQ(writer.task->Counters().appends, 1U);
  EXPECT_EQ(m_server->Stop(), 0);
}

TEST_F(LogServiceTest, Submit_AnswerLost_IsFoundAndNotWrittenAgain)
{
  StartServer();
  Client& writer = StartClient(1);
  SetFault("mode=lose-answer&count=1");
  Submit(writer, "one");
  ASSERT_TRUE(RunUntilWritten(writer, 1));
  EXPECT_TRUE(std::holds_alternative<SubmitWritten>(writer.results[0]));
  Submit(writer, "two");
  ASSERT_TRUE(RunUntilWritten(writer, 2));
  EXPECT_EQ(writer.task->Counters().appendsAmbiguous, 1U);
  EXPECT_EQ(writer.task->Counters().recordsResent, 0U);
  EXPECT_EQ(Stats()["records"], 2);
}

TEST_F(LogServiceTest, Submit_ConnectionsClosedUnserved_IsWrittenOnceAfterwards)
{
  StartServer();
  Client& writer = StartClient(1);
  SetFault("mode=close");
  Submit(writer, "one");
  ASSERT_TRUE(
    RunUntil([&] { return writer.task->Counters().readsFailed > 2; }));
  EXPECT_TRUE(writer.results.empty());
  SetFault("mode=none");
  ASSERT_TRUE(RunUntilWritten(writer, 1));
  EXPECT_EQ(writer.task->Counters().recordsResent, 1U);
  EXPECT_EQ(Stats()["records"], 1);
}

TEST_F(LogServiceTest, Submit_LogDownThenUp_IsWrittenOnceUp)
{
  StartServer();
  Client& writer = StartClient(1);
  SetFault("mode=down");
  Submit(writer, "one");
  ASSERT_TRUE(RunUntil([&] {
    return writer.task->Counters().appendsRefused > 2 &&
           !writer.task->Connected();
  }));
  EXPECT_TRUE(writer.results.empty());
  SetFault("mode=none");
  ASSERT_TRUE(RunUntilWritten(writer, 1));
  EXPECT_TRUE(writer.task->Connected());
  EXPECT_EQ(Stats()["records"], 1);
}

TEST_F(LogServiceTest, Submit_LogDownPastGiveUp_IsNotWritten)
{
  StartServer();
  Client& writer = StartClient(1);
  SetFault("mode=down");
  writer.task->Submit(
    "one",
    [&writer](const RecordId&, const SubmitResult& aResult) {
      writer.results.push_back(aResult);
    },
    m_clock.Now() + 300ms);
  ASSERT_TRUE(RunUntilWritten(writer, 1));
  EXPECT_TRUE(std::holds_alternative<SubmitNotWritten>(writer.results[0]));
  SetFault("mode=none");
  ASSERT_TRUE(RunUntil([&] { return writer.task->Connected(); }));
  EXPECT_EQ(Stats()["records"], 0);
}

TEST_F(LogServiceTest, Submit_NothingListens_IsRefusedForCertain)
{
  StartServer();
  m_server->Kill();
  Client& writer = StartClient(1);
  Submit(writer, "one");
  ASSERT_TRUE(
    RunUntil([&] { return writer.task->Counters().appendsRefused > 1; }));
  EXPECT_EQ(writer.task->Counters().appendsAmbiguous, 0U);
}

TEST_F(LogServiceTest, Submit_WriteSlowerThanTimeout_TakesEffectOnce)
{
  StartServer({}, 200ms);
  Client& writer = StartClient(1);
  Client& reader = StartClient(2);
  ASSERT_TRUE(RunUntil([&] { return writer.task->CaughtUp(); }));
  SetFault("mode=slow&ms=1000");
  Submit(writer, "one");
  ASSERT_TRUE(
    RunUntil([&] { return writer.task->Counters().appendsAmbiguous > 0; }));
  SetFault("mode=none");
  ASSERT_TRUE(RunUntilWritten(writer, 1));
  // The late write takes effect after the record was sent again, unless the
  // machine is so slow that it was found before.
  const uint64_t again = writer.task->Counters().recordsResent;
  ASSERT_TRUE(RunUntil([&] { return Stats()["records"] == 1 + again; }));
  Submit(writer, "two");
  ASSERT_TRUE(RunUntilWritten(writer, 2));
  ASSERT_TRUE(RunUntil([&] { return reader.records.size() == 2; }));
  EXPECT_EQ(Bodies(reader), (std::vector<std::string>{ "one", "two" }));
  EXPECT_EQ(reader.task->Counters().duplicates, again);
}

TEST_F(LogServiceTest, Submit_LogSlowerThanTimeoutForLong_IsWrittenMeanwhile)
{
  StartServer({}, 100ms);
  Client& writer = StartClient(1);
  SetFault("mode=slow&ms=400");
  Submit(writer, "one");
  ASSERT_TRUE(RunUntilWritten(writer, 1));
  EXPECT_TRUE(std::holds_alternative<SubmitWritten>(writer.results[0]));
}

TEST_F(LogServiceTest, Submit_AboveAppendLimit_IsWrittenLater)
{
  StartServer({ "--appends-per-second", "5" });
  Client& one = StartClient(1);
  Client& two = StartClient(2);
  for (int round = 0; round < 3; ++round) {
    Submit(one, "one");
    Submit(two, "two");
  }
  ASSERT_TRUE(RunUntilWritten(one, 3));
  ASSERT_TRUE(RunUntilWritten(two, 3));
  EXPECT_EQ(Stats()["records"], 6);
}

TEST_F(LogServiceTest, Start_FirstRecordsExpired_StartsFromCheckpoint)
{
  StartServer({ "--retention-records", "20" });
  Client& writer = StartClient(1, true);
  for (size_t count = 1; count <= 30; ++count) {
    Submit(writer, "edit");
    ASSERT_TRUE(RunUntilWritten(writer, count));
  }
  Client& late = StartClient(2);
  ASSERT_TRUE(RunUntil([&] { return late.task->CaughtUp(); }));
  EXPECT_EQ(late.task->Counters().checkpointsLoaded, 1U);
  EXPECT_GE(late.task->Applied(), Offset(30));
}

TEST_F(LogServiceTest, Server_UnknownFlag_ExitsWithConfigError)
{
  test::ChildProcess server("standin_log", { "--no-such-flag" });
  EXPECT_EQ(server.Wait(), 2);
}

}
}
