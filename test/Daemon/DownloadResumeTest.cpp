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
    m_rest.status = 206;
    m_rest.headers.Set("ETag", "\"v1\"");
    m_rest.headers.Set("Content-Range", "bytes 400-999/1000");
  }

  void Begin()
  {
    m_resume.OnHead(m_request, m_answer);
    m_resume.OnBytes(400);
  }

  RequestHead m_request;
  ResponseHead m_answer;
  ResponseHead m_rest;
  DownloadResume m_resume;
};

TEST_F(DownloadResumeTest, Possible_StrongTagAndLength_AsksForTheRest)
{
  Begin();
  ASSERT_TRUE(m_resume.Possible());
  m_resume.AskForRest(m_request);
  EXPECT_EQ(*m_request.headers.Find("Range"), "bytes=400-");
  EXPECT_EQ(*m_request.headers.Find("If-Range"), "\"v1\"");
  EXPECT_TRUE(m_resume.IsRest(m_rest));
}

TEST_F(DownloadResumeTest, Possible_WeakTag_IsFalse)
{
  m_answer.headers.Set("ETag", "W/\"v1\"");
  Begin();
  EXPECT_FALSE(m_resume.Possible());
}

TEST_F(DownloadResumeTest, Possible_CallerAskedForRange_IsFalse)
{
  m_request.headers.Set("Range", "bytes=1-");
  Begin();
  EXPECT_FALSE(m_resume.Possible());
}

TEST_F(DownloadResumeTest, Possible_NotGet_IsFalse)
{
  m_request.method = "POST";
  Begin();
  EXPECT_FALSE(m_resume.Possible());
}

TEST_F(DownloadResumeTest, IsRest_OtherContent_IsFalse)
{
  Begin();
  m_rest.headers.Set("ETag", "\"v2\"");
  EXPECT_FALSE(m_resume.IsRest(m_rest));
}

TEST_F(DownloadResumeTest, IsRest_OtherStart_IsFalse)
{
  Begin();
  m_rest.headers.Set("Content-Range", "bytes 399-999/1000");
  EXPECT_FALSE(m_resume.IsRest(m_rest));
}

TEST_F(DownloadResumeTest, IsRest_WholeBodyAgain_IsFalse)
{
  Begin();
  m_rest.status = 200;
  EXPECT_FALSE(m_resume.IsRest(m_rest));
}

}
}
