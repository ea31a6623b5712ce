#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Log"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;

class AppenderTest : public ::testing::Test
{
protected:
  static constexpr MonoTime kStart{ std::chrono::hours(1) };

  static AppenderOptions Options()
  {
    AppenderOptions options;
    options.writer = BootId(7);
    options.minInterval = 100ms;
    options.minBackoff = 50ms;
    options.maxBackoff = 1s;
    return options;
  }

  RecordId Submit(MonoTime aDeadline = MonoTime::max())
  {
    return m_appender.Submit("body", aDeadline);
  }

  Appender m_appender{ Options() };
  RandomEngine m_random{ 1 };
};

TEST_F(AppenderTest, StartAppend_SeveralSubmitted_SendsThemTogether)
{
  Submit();
  Submit();
  EXPECT_EQ(m_appender.StartAppend(kStart)->size(), 2U);
  Submit();
  EXPECT_FALSE(m_appender.StartAppend(kStart + 1s));
}

TEST_F(AppenderTest, StartAppend_WithinMinInterval_Waits)
{
  Submit();
  ASSERT_TRUE(m_appender.StartAppend(kStart));
  m_appender.OnResult(Appended{ { Offset(1) } }, kStart, m_random);
  Submit();
  EXPECT_FALSE(m_appender.StartAppend(kStart + 99ms));
  EXPECT_EQ(m_appender.NextWake(), kStart + 100ms);
  EXPECT_EQ(m_appender.StartAppend(kStart + 100ms)->size(), 1U);
}

TEST_F(AppenderTest, OnResult_Appended_StaysPendingUntilReadBack)
{
  const RecordId id = Submit();
  m_appender.StartAppend(kStart);
  m_appender.OnResult(Appended{ { Offset(1) } }, kStart, m_random);
  EXPECT_EQ(m_appender.Pending(), 1U);
  EXPECT_TRUE(m_appender.OnRecord(id, Offset(1)));
  EXPECT_EQ(m_appender.Pending(), 0U);
  EXPECT_FALSE(m_appender.OnRecord(id, Offset(2)));
}

TEST_F(AppenderTest, OnResult_RefusedRepeatedly_BacksOffWithinBounds)
{
  Submit();
  MonoTime now = kStart;
  Duration longest{};
  for (int attempt = 0; attempt < 12; ++attempt) {
    ASSERT_TRUE(m_appender.StartAppend(now));
    m_appender.OnResult(AppendRefused{ "down" }, now, m_random);
    longest = std::max(longest, m_appender.NextWake() - now);
    now = m_appender.NextWake();
  }
  EXPECT_GE(longest, 500ms);
  EXPECT_LE(longest, 1s);
}

TEST_F(AppenderTest, FailExpired_NeverAmbiguous_IsNotWritten)
{
  const RecordId id = Submit(kStart + 1s);
  m_appender.StartAppend(kStart);
  m_appender.OnResult(AppendRefused{ "down" }, kStart, m_random);
  EXPECT_TRUE(m_appender.FailExpired(kStart + 999ms).empty());
  const auto completions = m_appender.FailExpired(kStart + 1s);
  ASSERT_EQ(completions.size(), 1U);
  EXPECT_EQ(completions[0].id, id);
  EXPECT_TRUE(std::holds_alternative<SubmitNotWritten>(completions[0].result));
}

TEST_F(AppenderTest, FailExpired_OnceAmbiguous_IsRetried)
{
  const RecordId id = Submit(kStart + 1s);
  m_appender.StartAppend(kStart);
  m_appender.OnResult(AppendAmbiguous{ "lost" }, kStart, m_random);
  m_appender.OnEndOffset(Offset(4));
  m_appender.OnReadThrough(Offset(3));
  EXPECT_FALSE(m_appender.StartAppend(kStart + 2s));
  m_appender.OnReadThrough(Offset(4));
  EXPECT_TRUE(m_appender.FailExpired(kStart + 2s).empty());
  EXPECT_FALSE(m_appender.Cancel(id));
  EXPECT_TRUE(m_appender.StartAppend(kStart + 2s));
  EXPECT_EQ(m_appender.ResentRecords(), 1U);
}

TEST_F(AppenderTest, OnCheckpoint_MarkContainsRecord_CompletesIt)
{
  const RecordId id = Submit();
  Submit();
  m_appender.StartAppend(kStart);
  m_appender.OnResult(AppendAmbiguous{ "lost" }, kStart, m_random);
  WriterMarks marks;
  marks.Load({ WriterMark{ id.writer, id.sequence, Offset(3) } });
  const auto completions = m_appender.OnCheckpoint(marks);
  ASSERT_EQ(completions.size(), 1U);
  EXPECT_EQ(completions[0].id, id);
  EXPECT_FALSE(std::get<SubmitWritten>(completions[0].result).offset);
}

RC_GTEST_FIXTURE_PROP(AppenderTest,
                      StartAppend_AnySizes_StaysWithinBoundsAndOrder,
                      ())
{
  const auto count = *rc::gen::inRange(1, 600);
  const auto largest = *rc::gen::element<size_t>(1, 5000, 100000);
  for (int sent = 0; sent < count; ++sent) {
    const auto size = *rc::gen::inRange<size_t>(0, largest);
    m_appender.Submit(std::string(size, 'x'), MonoTime::max());
  }
  uint64_t next = 1;
  MonoTime now = kStart;
  while (const auto payloads = m_appender.StartAppend(now)) {
    size_t bytes = 0;
    for (const auto& payload : *payloads) {
      bytes += payload.size();
      RC_ASSERT(DecodeEnvelope(payload).id.sequence == next++);
    }
    RC_ASSERT(bytes <= kMaxBatchBytes);
    RC_ASSERT(payloads->size() <= kMaxAppendRecords);
    m_appender.OnResult(Appended{}, now, m_random);
    now += 1s;
  }
  RC_ASSERT(next == static_cast<uint64_t>(count) + 1);
}

}
}
