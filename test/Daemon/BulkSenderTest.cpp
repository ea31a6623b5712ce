#include <string>
#include <utility>

#include <event2/event.h>
#include <gtest/gtest.h>

#include "src/Daemon/BulkSender.h"

namespace pistachioshift {

using std::chrono::milliseconds;

class SinkDouble : public BulkSink
{
public:
  void SendNow(std::string_view aData) override { received.append(aData); }
  void FinishNow() override { ++finished; }

  std::string received;
  int finished = 0;
};

/** Always has more to send. */
class EndlessSource : public BulkSource
{
public:
  size_t SendPiece(size_t aMaxBytes) override
  {
    sent += aMaxBytes;
    return aMaxBytes;
  }
  size_t PendingBytes() const override { return 1; }

  size_t sent = 0;
};

/** The link is shared by answers to own callers and to other daemons. */
class BulkSenderTest : public ::testing::Test
{
protected:
  static constexpr double kRate = 1e6; // bytes per second
  static constexpr size_t kLarge = size_t{ 200 } * 1024;

  ~BulkSenderTest() override { event_base_free(m_base); }

  void RunFor(Duration aTime)
  {
    const auto until = m_clock.Now() + aTime;
    while (m_clock.Now() < until) {
      event_base_loop(m_base, EVLOOP_NONBLOCK);
    }
  }

  std::shared_ptr<BulkSender> MakeSender()
  {
    return std::make_shared<BulkSender>(m_queue, m_sink);
  }

  event_base* m_base = event_base_new();
  SystemClock m_clock;
  BulkQueue m_queue{ m_base, m_clock, kRate };
  std::shared_ptr<SinkDouble> m_sink = std::make_shared<SinkDouble>();
};

TEST_F(BulkSenderTest, Send_SmallAnswerLinkFull_SentAtOnce)
{
  m_queue.Consume(size_t{ 10 } * 1024 * 1024);
  const auto sender = MakeSender();
  sender->Send("answer");
  sender->Finish();
  EXPECT_EQ(m_sink->received, "answer");
  EXPECT_EQ(m_sink->finished, 1);
}

TEST_F(BulkSenderTest, Send_LargeAnswerLinkFull_QueuesAfterDirectBytes)
{
  m_queue.Consume(size_t{ 10 } * 1024 * 1024);
  const auto sender = MakeSender();
  sender->Send(std::string(kDirectBytes, 'a'));
  sender->Send(std::string(kLarge, 'b'));
  sender->Finish();
  EXPECT_EQ(m_sink->received.size(), kDirectBytes);
  EXPECT_EQ(m_sink->finished, 0);
  EXPECT_EQ(sender->PendingBytes(), kLarge);
  EXPECT_GE(m_queue.Backlog(), milliseconds(200));
}

TEST_F(BulkSenderTest, Send_LargeAnswerLinkFree_SentInOrderAtTheRate)
{
  const auto began = m_clock.Now();
  const auto sender = MakeSender();
  std::string sent;
  for (char piece = 'a'; piece < 'k'; ++piece) {
    sent.append(kLarge / 10, piece);
    sender->Send(std::string(kLarge / 10, piece));
  }
  sender->Finish();
  EXPECT_EQ(m_sink->finished, 0);
  while (m_sink->finished == 0 && m_clock.Now() - began < milliseconds(5000)) {
    RunFor(milliseconds(5));
  }
  EXPECT_EQ(m_sink->finished, 1);
  EXPECT_EQ(m_sink->received, sent);
  // 200 KiB less the burst of 64 KiB.
  EXPECT_GE(m_clock.Now() - began, milliseconds(120));
}

TEST_F(BulkSenderTest, Send_TwoLargeAnswers_ShareTheRate)
{
  const auto other = std::make_shared<SinkDouble>();
  const auto first = MakeSender();
  const auto second = std::make_shared<BulkSender>(m_queue, other);
  const auto began = m_clock.Now();
  first->Send(std::string(kLarge, 'a'));
  second->Send(std::string(kLarge, 'b'));
  RunFor(milliseconds(100));
  const auto sent = m_sink->received.size() + other->received.size();
  const std::chrono::duration<double> taken = m_clock.Now() - began;
  const size_t burst = size_t{ 64 } * 1024 + kDirectBytes;
  EXPECT_LE(sent, static_cast<size_t>(taken.count() * kRate) + burst);
}

TEST_F(BulkSenderTest, Flush_BytesPending_SentAtOnce)
{
  m_queue.Consume(size_t{ 10 } * 1024 * 1024);
  const auto sender = MakeSender();
  sender->Send(std::string(kLarge, 'a'));
  sender->Finish();
  sender->Flush();
  EXPECT_EQ(m_sink->received.size(), kLarge);
  EXPECT_EQ(m_sink->finished, 1);
  RunFor(milliseconds(20));
  EXPECT_EQ(m_sink->finished, 1);
}

// Guards against a forced exit that drops the answers which wait for the link,
// those to other daemons included.
TEST_F(BulkSenderTest, StopLimiting_BytesPending_AllAreSentAtOnceAndLaterOnes)
{
  m_queue.Consume(size_t{ 10 } * 1024 * 1024);
  const auto other = std::make_shared<SinkDouble>();
  const auto first = MakeSender();
  const auto second = std::make_shared<BulkSender>(m_queue, other);
  first->Send(std::string(kLarge, 'a'));
  first->Finish();
  second->Send(std::string(kLarge, 'b'));
  EXPECT_EQ(m_sink->finished, 0);
  m_queue.StopLimiting();
  EXPECT_EQ(m_sink->received.size(), kLarge);
  EXPECT_EQ(m_sink->finished, 1);
  EXPECT_EQ(other->received.size(), kLarge);
  EXPECT_EQ(m_queue.Size(), 0U);
  second->Send(std::string(kLarge, 'b'));
  second->Finish();
  EXPECT_EQ(other->received.size(), 2 * kLarge);
  EXPECT_EQ(other->finished, 1);
}

TEST_F(BulkSenderTest, Destructor_BytesPending_NextSourceIsSent)
{
  auto first = MakeSender();
  first->Send(std::string(kLarge, 'a'));
  first.reset();
  const auto other = std::make_shared<SinkDouble>();
  const auto second = std::make_shared<BulkSender>(m_queue, other);
  second->Send(std::string(kDirectBytes * 2, 'b'));
  second->Finish();
  const auto began = m_clock.Now();
  while (other->finished == 0 && m_clock.Now() - began < milliseconds(5000)) {
    RunFor(milliseconds(5));
  }
  EXPECT_EQ(other->finished, 1);
}

TEST_F(BulkSenderTest, Send_LargeAnswerUnlimitedRate_SentAtOnce)
{
  BulkQueue unlimited(m_base, m_clock, 0.0);
  const auto sender = std::make_shared<BulkSender>(unlimited, m_sink);
  sender->Send(std::string(kLarge, 'a'));
  sender->Finish();
  EXPECT_EQ(m_sink->received.size(), kLarge);
  EXPECT_EQ(m_sink->finished, 1);
}

// Guards against a body without end that keeps the link from all others.
TEST_F(BulkSenderTest, Send_AnotherAnswerWithoutEnd_TakesTurns)
{
  constexpr double kFastRate = 50e6; // bytes per second
  BulkQueue queue(m_base, m_clock, kFastRate);
  const auto endless = std::make_shared<EndlessSource>();
  queue.Add(endless);
  const auto sender = std::make_shared<BulkSender>(queue, m_sink);
  sender->Send(std::string(kLarge, 'a'));
  sender->Finish();
  // A source that has nothing left is removed when it is its turn again.
  const auto ended = [&] { return m_sink->finished > 0 && queue.Size() == 1; };
  while (!ended() && endless->sent < 100 * kLarge) {
    RunFor(milliseconds(10));
  }
  EXPECT_EQ(m_sink->finished, 1);
  EXPECT_EQ(queue.Size(), 1U);
}

/** Gets the rest of an answer as soon as there is room: like a paused call to
 * another daemon, which passes on the bytes that it has kept meanwhile. */
class ResumingSink : public SinkDouble
{
public:
  void SendNow(std::string_view aData) override
  {
    SinkDouble::SendNow(aData);
    const auto rest = std::exchange(kept, {});
    if (!rest.empty()) {
      sender->Send(rest);
    }
  }

  BulkSender* sender = nullptr;
  std::string kept;
};

// Guards against an answer whose parts change places at a forced exit.
TEST_F(BulkSenderTest, StopLimiting_MoreComesMeanwhile_StaysInOrder)
{
  const auto sink = std::make_shared<ResumingSink>();
  const auto sender = std::make_shared<BulkSender>(m_queue, sink);
  m_queue.Consume(size_t{ 10 } * 1024 * 1024);
  sender->Send(std::string(kLarge, 'a'));
  sink->sender = sender.get();
  sink->kept = std::string(kLarge, 'b');
  m_queue.StopLimiting();
  sender->Finish();
  EXPECT_EQ(sink->received.find('b'), kLarge);
  EXPECT_EQ(sink->received.size(), 2 * kLarge);
  EXPECT_EQ(sink->finished, 1);
}

}
