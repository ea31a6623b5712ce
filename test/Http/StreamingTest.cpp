#include <string>
#include <utility>

#include "test/Http/LoopbackSupport.h"

namespace pistachioshift::test {
namespace {

using ExchangePtr = std::shared_ptr<ServerExchange>;

constexpr size_t kPart = 16 * internal::kKiB;
constexpr size_t kTotal = 64 * internal::kKiB * internal::kKiB;
// Send and receive buffer of a loopback socket, each at most 6 MiB by default.
constexpr size_t kSocketBytes = 12 * internal::kKiB * internal::kKiB;

char
ByteAt(size_t aPosition)
{
  return static_cast<char>(aPosition / 7 + aPosition / kPart);
}

std::string
PartAt(size_t aPosition)
{
  std::string part(std::min(kPart, kTotal - aPosition), '\0');
  for (size_t i = 0; i < part.size(); ++i) {
    part[i] = ByteAt(aPosition + i);
  }
  return part;
}

/** Sends kTotal bytes as fast as the exchange takes them. */
template<class Exchange>
struct Source
{
  void Pump(Exchange& aExchange)
  {
    while (sent < kTotal) {
      std::string part = PartAt(sent);
      sent += part.size();
      bool goOn = aExchange.SendBody(part);
      mostBuffered = std::max(mostBuffered, aExchange.BufferedBytes());
      if (!goOn) {
        return;
      }
    }
    aExchange.Finish();
  }

  size_t sent = 0;
  size_t mostBuffered = 0;
};

/** Counts and compares what arrives. */
struct Sink
{
  void Take(std::string_view aData)
  {
    for (char byte : aData) {
      intact = intact && byte == ByteAt(received);
      ++received;
    }
  }

  size_t received = 0;
  bool intact = true;
};

class DownloadServer : public RequestRecorder
{
public:
  void OnDrained() override { source.Pump(*exchange); }

  ExchangePtr exchange;
  Source<ServerExchange> source;
};

class Download : public AnswerRecorder
{
public:
  void OnBody(std::string_view aData) override { sink.Take(aData); }

  Sink sink;
};

class Upload : public AnswerRecorder
{
public:
  void OnDrained() override { source.Pump(*exchange); }

  std::shared_ptr<ClientExchange> exchange;
  Source<ClientExchange> source;
};

class UploadServer : public RequestRecorder
{
public:
  void OnBody(std::string_view aData) override { sink.Take(aData); }
  void OnBodyEnd() override { Answer(*exchange, "taken"); }

  ExchangePtr exchange;
  Sink sink;
};

class StreamingTest
  : public LoopbackTest
  , public ::testing::WithParamInterface<bool>
{
protected:
  static bool Chunked() { return GetParam(); }

  static std::optional<uint64_t> Length()
  {
    return Chunked() ? std::nullopt : std::optional<uint64_t>(kTotal);
  }
};

TEST_P(StreamingTest, Download_ReaderPaused_SenderStopsAndNothingIsLost)
{
  auto sender = std::make_shared<DownloadServer>();
  StartServer([&](const ExchangePtr& aExchange) {
    sender->exchange = aExchange;
    aExchange->SetListener(sender);
    aExchange->SendHead({ .status = 200, .contentLength = Length() });
    sender->source.Pump(*aExchange);
  });
  StartPool();
  auto reader = std::make_shared<Download>();
  auto exchange = m_pool->Start({ .method = "GET", .target = "/" }, reader);
  exchange->Finish();
  ASSERT_TRUE(RunUntil([&] { return reader->sink.received > 0; }));
  exchange->PauseBody();
  size_t atPause = reader->sink.received;
  size_t before = 0;
  do {
    before = sender->source.sent;
    RunBriefly();
  } while (sender->source.sent > before);

  EXPECT_EQ(reader->sink.received, atPause);
  size_t inUserSpace =
    m_limits.outputHighWatermark + kPart + m_clientLimits.inputHighWatermark;
  EXPECT_LE(sender->source.sent - atPause, inUserSpace + kSocketBytes);
  EXPECT_LE(sender->source.mostBuffered,
            m_limits.outputHighWatermark + 2 * kPart);

  exchange->ResumeBody();
  ASSERT_TRUE(RunUntil([&] { return reader->Done(); }));
  EXPECT_TRUE(reader->ended);
  EXPECT_TRUE(reader->sink.intact);
  EXPECT_EQ(reader->sink.received, kTotal);
  sender->exchange.reset();
}

TEST_P(StreamingTest, Upload_ReaderPaused_SenderStopsAndNothingIsLost)
{
  auto reader = std::make_shared<UploadServer>();
  StartServer([&](const ExchangePtr& aExchange) {
    reader->exchange = aExchange;
    aExchange->SetListener(reader);
  });
  StartPool();
  auto sender = std::make_shared<Upload>();
  sender->exchange = m_pool->Start({ .method = "PUT",
                                     .target = "/",
                                     .contentLength = Length(),
                                     .chunked = Chunked() },
                                   sender);
  sender->source.Pump(*sender->exchange);
  ASSERT_TRUE(RunUntil([&] { return reader->sink.received > 0; }));
  reader->exchange->PauseBody();
  size_t atPause = reader->sink.received;
  size_t before = 0;
  do {
    before = sender->source.sent;
    RunBriefly();
  } while (sender->source.sent > before);

  EXPECT_EQ(reader->sink.received, atPause);
  size_t inUserSpace =
    m_clientLimits.outputHighWatermark + kPart + m_limits.inputHighWatermark;
  EXPECT_LE(sender->source.sent - atPause, inUserSpace + kSocketBytes);
  EXPECT_LE(sender->source.mostBuffered,
            m_clientLimits.outputHighWatermark + 2 * kPart);

  reader->exchange->ResumeBody();
  ASSERT_TRUE(RunUntil([&] { return sender->Done(); }));
  EXPECT_EQ(sender->body, "taken");
  EXPECT_TRUE(reader->sink.intact);
  EXPECT_EQ(reader->sink.received, kTotal);
  sender->exchange.reset();
  reader->exchange.reset();
}

// Guards against an upload that stalls for good: a part that fits again, sent
// after SendBody has returned false, must not suppress OnDrained.
TEST_P(StreamingTest, Upload_PartSentWhileFull_SenderIsStillToldWhenDrained)
{
  auto reader = std::make_shared<UploadServer>();
  StartServer([&](const ExchangePtr& aExchange) {
    reader->exchange = aExchange;
    aExchange->SetListener(reader);
  });
  StartPool();
  auto sender = std::make_shared<AnswerRecorder>();
  auto exchange = m_pool->Start({ .method = "PUT",
                                  .target = "/",
                                  .contentLength = Length(),
                                  .chunked = Chunked() },
                                sender);
  ASSERT_TRUE(RunUntil([&] { return reader->exchange != nullptr; }));
  const size_t high = m_clientLimits.outputHighWatermark;
  EXPECT_FALSE(exchange->SendBody(std::string(high + kPart, 'x')));
  ASSERT_TRUE(
    RunUntil([&] { return exchange->BufferedBytes() + kPart < high; }));
  ASSERT_GT(exchange->BufferedBytes(), m_clientLimits.outputLowWatermark);

  EXPECT_FALSE(exchange->SendBody(std::string(kPart, 'x')));
  ASSERT_TRUE(
    RunUntil([&] { return reader->sink.received == high + 2 * kPart; }));
  EXPECT_EQ(sender->drained, 1);
  exchange->Cancel();
  reader->exchange.reset();
}

// The same for a download.
TEST_P(StreamingTest, Download_PartSentWhileFull_SenderIsStillToldWhenDrained)
{
  ExchangePtr exchange;
  auto sender = std::make_shared<RequestRecorder>();
  StartServer([&](const ExchangePtr& aExchange) {
    exchange = aExchange;
    aExchange->SetListener(sender);
    aExchange->SendHead({ .status = 200, .contentLength = Length() });
  });
  StartPool();
  auto reader = std::make_shared<Download>();
  auto request = m_pool->Start({ .method = "GET", .target = "/" }, reader);
  request->Finish();
  ASSERT_TRUE(RunUntil([&] { return reader->head.has_value(); }));
  const size_t high = m_limits.outputHighWatermark;
  EXPECT_FALSE(exchange->SendBody(std::string(high + kPart, 'x')));
  ASSERT_TRUE(
    RunUntil([&] { return exchange->BufferedBytes() + kPart < high; }));
  ASSERT_GT(exchange->BufferedBytes(), m_limits.outputLowWatermark);

  EXPECT_FALSE(exchange->SendBody(std::string(kPart, 'x')));
  ASSERT_TRUE(
    RunUntil([&] { return reader->sink.received == high + 2 * kPart; }));
  EXPECT_EQ(sender->drained, 1);
  request->Cancel();
  exchange.reset();
}

INSTANTIATE_TEST_SUITE_P(Framing,
                         StreamingTest,
                         ::testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "Chunked" : "Length";
                         });

}
}
