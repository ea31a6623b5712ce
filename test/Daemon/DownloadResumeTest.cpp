#include "src/Daemon/DownloadResume.h"

#include <gtest/gtest.h>

namespace pistachioshift {
namespace {

class DownloadResumeTest : public ::testing::Test
{
protected:
  DownloadResumeTest()
  {
    m_request.method = "GET";
    m_answer.contentLength = 1000;
    m_answer.headers.Set("ETag", "\"v1\"");
    m_remainder.status = 206;
    m_remainder.headers.Set("ETag", "\"v1\"");
    m_remainder.headers.Set("Content-Range", "bytes 400-999/1000");
  }

  void Begin()
  {
    m_resume.OnHead(m_request, m_answer);
    m_resume.OnBytes(400);
  }

  RequestHead m_request;
  ResponseHead m_answer;
  ResponseHead m_remainder;
  DownloadResume m_resume;
};

TEST_F(DownloadResumeTest, CanResume_StrongTagAndLength_RequestsRemainder)
{
  Begin();
  ASSERT_TRUE(m_resume.CanResume());
  m_resume.RequestRemainder(m_request);
  EXPECT_EQ(*m_request.headers.Find("Range"), "bytes=400-");
  EXPECT_EQ(*m_request.headers.Find("If-Range"), "\"v1\"");
  EXPECT_TRUE(m_resume.IsRemainder(m_remainder));
}

TEST_F(DownloadResumeTest, CanResume_WeakTag_IsFalse)
{
  m_answer.headers.Set("ETag", "W/\"v1\"");
  Begin();
  EXPECT_FALSE(m_resume.CanResume());
}

TEST_F(DownloadResumeTest, CanResume_CallerAskedForRange_IsFalse)
{
  m_request.headers.Set("Range", "bytes=1-");
  Begin();
  EXPECT_FALSE(m_resume.CanResume());
}

TEST_F(DownloadResumeTest, CanResume_NotGet_IsFalse)
{
  m_request.method = "POST";
  Begin();
  EXPECT_FALSE(m_resume.CanResume());
}

TEST_F(DownloadResumeTest, IsRemainder_OtherContent_IsFalse)
{
  Begin();
  m_remainder.headers.Set("ETag", "\"v2\"");
  EXPECT_FALSE(m_resume.IsRemainder(m_remainder));
}

TEST_F(DownloadResumeTest, IsRemainder_OtherStart_IsFalse)
{
  Begin();
  m_remainder.headers.Set("Content-Range", "bytes 399-999/1000");
  EXPECT_FALSE(m_resume.IsRemainder(m_remainder));
}

TEST_F(DownloadResumeTest, IsRemainder_WholeBodyAgain_IsFalse)
{
  Begin();
  m_remainder.status = 200;
  EXPECT_FALSE(m_resume.IsRemainder(m_remainder));
}

// Guards against bytes that the caller's answer has no room for.
TEST_F(DownloadResumeTest, Expects_MoreThanTheLength_IsFalse)
{
  Begin();
  EXPECT_TRUE(m_resume.Expects(600));
  EXPECT_FALSE(m_resume.Expects(601));
  m_resume.OnBytes(600);
  EXPECT_FALSE(m_resume.Expects(1));
}

}
}
