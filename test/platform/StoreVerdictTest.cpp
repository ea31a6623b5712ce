#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>

#include <event2/event.h>

#include "Pistachioshift/Http"
#include "platform/LogStore.h"

namespace pistachioshift::platform::test {

/** What an answer of the store says about an append. */
class StoreVerdictTest : public ::testing::Test
{
protected:
  /** Verdict on an append that the store answers like this. */
  AppendVerdict VerdictOf(int aStatus, const std::string& aBody)
  {
    const HttpServer server(
      m_base.get(),
      Endpoint{ "127.0.0.1", 0 },
      HttpLimits{},
      [&](const std::shared_ptr<ServerExchange>& aExchange) {
        aExchange->SendHead(
          { .status = aStatus, .contentLength = aBody.size() });
        aExchange->SendBody(aBody);
        aExchange->Finish();
      });
    LogStore store(m_base.get(), server.LocalEndpoint(), m_logger);
    std::optional<AppendVerdict> verdict;
    store.Append("keyed.t",
                 { StoreEntry{ "k", "v", 0 } },
                 ExpectedEnd{ 0 },
                 [&](const AppendReply& aReply) {
                   verdict = aReply.verdict;
                   event_base_loopbreak(m_base.get());
                 });
    const timeval limit{ 5, 0 };
    event_base_loopexit(m_base.get(), &limit);
    event_base_dispatch(m_base.get());
    EXPECT_TRUE(verdict) << aStatus;
    return verdict.value_or(AppendVerdict::kAccepted);
  }

  struct BaseDeleter
  {
    void operator()(event_base* aBase) const { event_base_free(aBase); }
  };

  const std::unique_ptr<event_base, BaseDeleter> m_base{ event_base_new() };
  const Logger m_logger{ "test", LogLevel::kError };
};

// Guards against an append that is taken for not written because the store, or
// something in front of it, failed to answer it. The store tells a repeated
// append by its position only, so the next record at that position would be
// answered as stored, and lost.
TEST_F(StoreVerdictTest, Append_ServerError_MayHaveBeenWritten)
{
  for (const int status : { 500, 502, 504 }) {
    EXPECT_EQ(VerdictOf(status, "{}"), AppendVerdict::kUnknown) << status;
  }
}

// Guards against refusals that are taken for possible writes.
TEST_F(StoreVerdictTest, Append_Refused_WasNotWritten)
{
  for (const int status : { 400, 404, 413, 429, 503 }) {
    EXPECT_EQ(VerdictOf(status, "{}"), AppendVerdict::kRefused) << status;
  }
  EXPECT_EQ(VerdictOf(412, R"({"endOffset":3})"), AppendVerdict::kConflict);
  EXPECT_EQ(VerdictOf(409, R"({"why":"epoch"})"), AppendVerdict::kFenced);
  EXPECT_EQ(VerdictOf(409, R"({"why":"seq","seq":3})"),
            AppendVerdict::kSequenceMismatch);
}

}
