#include <gtest/gtest.h>

#include <chrono>

#include <fcntl.h>
#include <unistd.h>

#include "src/Base/LogSink.h"

namespace pistachioshift::test {

class LogSinkTest : public ::testing::Test
{
protected:
  LogSinkTest()
  {
    EXPECT_EQ(pipe(m_pipe), 0);
    fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
  }

  ~LogSinkTest() override
  {
    close(m_pipe[0]);
    close(m_pipe[1]);
  }

  std::string ReadAll()
  {
    std::string text;
    char bytes[4096];
    ssize_t count = 0;
    while ((count = read(m_pipe[0], bytes, sizeof(bytes))) > 0) {
      text.append(bytes, static_cast<size_t>(count));
    }
    return text;
  }

  int m_pipe[2]{};
};

TEST_F(LogSinkTest, Flush_BufferedLines_AreWrittenWhole)
{
  LogSink sink(m_pipe[1]);
  sink.Add("one");
  sink.Add("two");
  EXPECT_EQ(ReadAll(), "");
  sink.Flush();
  EXPECT_EQ(ReadAll(), "one\ntwo\n");
}

TEST_F(LogSinkTest, Flush_ReaderStalls_DoesNotBlock)
{
  // Writes more than the pipe and the sink can buffer, while nothing reads.
  LogSink sink(m_pipe[1], LogSinkLimits{ size_t{ 64 } * 1024, 1000000 });
  const std::string line(1000, 'x');
  for (int count = 0; count < 1000; ++count) {
    sink.Add(line);
    sink.Flush();
  }
  EXPECT_GT(sink.DroppedLines(), 0U);
}

TEST_F(LogSinkTest, Flush_ReaderReturns_ReportsDroppedLines)
{
  LogSink sink(m_pipe[1], LogSinkLimits{ 1024, 1000000 });
  for (int count = 0; count < 200; ++count) {
    sink.Add("a line of some length");
  }
  const auto dropped = sink.DroppedLines();
  ASSERT_GT(dropped, 0U);
  sink.Flush();
  sink.Flush();
  const auto text = ReadAll();
  EXPECT_NE(text.find("log-dropped lines=" + std::to_string(dropped)),
            std::string::npos);
}

TEST_F(LogSinkTest, Add_MoreLinesThanLimit_DropsExcess)
{
  LogSink sink(m_pipe[1], LogSinkLimits{ size_t{ 1024 } * 1024, 10 });
  for (int count = 0; count < 25; ++count) {
    sink.Add("line");
  }
  EXPECT_EQ(sink.DroppedLines(), 15U);
}

}
