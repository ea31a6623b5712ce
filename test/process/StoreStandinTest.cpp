#include <string>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "test/process/HttpSupport.h"
#include "test/process/PortSupport.h"
#include "test/process/ProcessSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** The stand-in for the platform's store, as a process. */
class StoreStandinTest : public ::testing::Test
{
protected:
  StoreStandinTest()
    : m_port(PortPicker().Pick())
    , m_store("standin_store", { fmt::format("--port={}", m_port) })
  {
    m_store.WaitForPort();
  }

  struct Answer
  {
    int status = 0;
    nlohmann::json body;
  };

  Answer Append(const std::string& aCondition,
                const std::string& aValue = "value",
                std::chrono::seconds aTimeout = std::chrono::seconds(10)) const
  {
    std::string records;
    if (!aValue.empty()) {
      const auto record = std::string("\x01k", 2) + aValue;
      records = std::string("\0\0\0", 3);
      records.push_back(static_cast<char>(record.size()));
      records += record;
    }
    HttpCall call;
    call.port = m_port;
    call.path = "/api/log-append?topic=keyed.t&part=0" + aCondition;
    call.isPost = true;
    call.body = records;
    call.timeout = aTimeout;
    const auto reply = HttpSend(call);
    return { reply.status, nlohmann::json::parse(reply.body, nullptr, false) };
  }

  Answer AppendAs(int64_t aEpoch,
                  int64_t aSequence,
                  const std::string& aValue = "value") const
  {
    return Append(fmt::format("&producer=p&epoch={}&seq={}", aEpoch, aSequence),
                  aValue);
  }

  int64_t End() const
  {
    const auto reply =
      HttpGet(m_port, "/api/log-newest?topic=keyed.t&part=0").body;
    return nlohmann::json::parse(reply)["endOffset"].get<int64_t>();
  }

  void SetFault(const std::string& aFault) const
  {
    HttpGet(m_port, "/fault?mode=" + aFault);
  }

  uint16_t m_port;
  ChildProcess m_store;
};

TEST_F(StoreStandinTest, Append_RepeatOfRecentAppend_ReceivesFirstResponse)
{
  const auto first = AppendAs(1, 0, "a");
  EXPECT_EQ(first.status, 200);
  for (int sequence = 1; sequence < 5; ++sequence) {
    EXPECT_EQ(AppendAs(1, sequence).status, 200);
  }
  // The store does not compare the records.
  const auto repeat = AppendAs(1, 0, "b");
  EXPECT_EQ(repeat.status, 200);
  EXPECT_EQ(repeat.body, first.body);
  EXPECT_EQ(End(), 5);
}

TEST_F(StoreStandinTest, Append_RepeatOfOlderAppend_IsRefusedWithNextNumber)
{
  for (int sequence = 0; sequence < 6; ++sequence) {
    EXPECT_EQ(AppendAs(1, sequence).status, 200);
  }
  const auto repeat = AppendAs(1, 0);
  EXPECT_EQ(repeat.status, 409);
  EXPECT_EQ(repeat.body["why"], "seq");
  EXPECT_EQ(repeat.body["seq"], 6);
}

TEST_F(StoreStandinTest, Append_GapInNumbers_IsRefused)
{
  EXPECT_EQ(AppendAs(1, 7).status, 200); // A new epoch starts at any number.
  EXPECT_EQ(AppendAs(1, 9).body["seq"], 8);
  EXPECT_EQ(AppendAs(2, 3).status, 200);
  EXPECT_EQ(AppendAs(2, 7).body["seq"], 4); // Numbers are those of an epoch.
}

TEST_F(StoreStandinTest, Append_LowerEpoch_IsFenced)
{
  EXPECT_EQ(AppendAs(2, 0).status, 200);
  const auto earlier = AppendAs(1, 0);
  EXPECT_EQ(earlier.status, 409);
  EXPECT_EQ(earlier.body["why"], "fenced");
}

TEST_F(StoreStandinTest, Append_EmptyBody_SetsTheEpochOnly)
{
  EXPECT_EQ(AppendAs(1, 0).status, 200);
  EXPECT_EQ(AppendAs(3, 0, "").status, 200);
  EXPECT_EQ(End(), 1);
  EXPECT_EQ(AppendAs(2, 0).body["why"], "fenced");
  EXPECT_EQ(AppendAs(3, 5).status, 200);
}

TEST_F(StoreStandinTest, Append_AnotherEndOffset_IsRefusedWithTheEnd)
{
  EXPECT_EQ(Append("&at=0").status, 200);
  const auto second = Append("&at=0");
  EXPECT_EQ(second.status, 412);
  EXPECT_EQ(second.body["endOffset"], 1);
}

TEST_F(StoreStandinTest, Append_AnswerLost_IsDone)
{
  SetFault("lost&count=1");
  EXPECT_EQ(Append("", "a", std::chrono::seconds(1)).status, 0);
  EXPECT_EQ(End(), 1);
  EXPECT_EQ(Append("").status, 200);
}

TEST_F(StoreStandinTest, Append_DoneLate_ConditionIsCheckedThen)
{
  SetFault("late&delayMs=1500&count=2");
  EXPECT_EQ(Append("&at=0", "a", std::chrono::seconds(1)).status, 0);
  EXPECT_EQ(End(), 0);
  EXPECT_EQ(
    Append("&producer=p&epoch=1&seq=0", "b", std::chrono::seconds(1)).status,
    0);
  EXPECT_EQ(AppendAs(2, 0).status, 200);
  std::this_thread::sleep_for(milliseconds(2000));
  EXPECT_EQ(End(), 2); // The first late append, and the one of epoch 2.
}

TEST_F(StoreStandinTest, Return_RecordsSinceTheCopy_AreLostWithTheirOffsets)
{
  EXPECT_EQ(AppendAs(1, 0, "a").status, 200);
  HttpGet(m_port, "/copy");
  EXPECT_EQ(AppendAs(1, 1, "b").body["offset"], 1);
  EXPECT_EQ(AppendAs(1, 2, "c").body["offset"], 2);
  HttpGet(m_port, "/return");
  EXPECT_EQ(End(), 1);
  const auto read = [this](int aFrom) {
    return HttpGet(m_port,
                   fmt::format("/api/log-read?topic=keyed.t&part=0&from={}"
                               "&waitMs=0",
                               aFrom))
      .status;
  };
  EXPECT_EQ(read(1), 200);
  EXPECT_EQ(read(3), 410);
  // Producers are those of the copy.
  EXPECT_EQ(AppendAs(1, 3).body["seq"], 1);
  EXPECT_EQ(AppendAs(1, 1, "d").body["offset"], 1);
}

TEST_F(StoreStandinTest, Return_Twice_EraRisesByOneInAllAnswers)
{
  const auto era = [this](const char* aPath) {
    return HttpGet(m_port, aPath).storeEra;
  };
  constexpr const char* kRead =
    "/api/log-read?topic=keyed.t&part=0&from=9&waitMs=0";
  EXPECT_EQ(era("/api/log-newest?topic=keyed.t&part=0"), "1");
  HttpGet(m_port, "/copy");
  HttpGet(m_port, "/return");
  EXPECT_EQ(era(kRead), "2");
  HttpGet(m_port, "/return");
  EXPECT_EQ(era(kRead), "3");
  SetFault("down");
  EXPECT_EQ(era(kRead), "3");
}

}
