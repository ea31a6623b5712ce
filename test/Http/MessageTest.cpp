#include <gtest/gtest.h>

#include "src/Http/Message.h"

namespace pistachioshift::test {
namespace {

class HeadersTest : public ::testing::Test
{
protected:
  Headers m_headers{ { "Host", "a" }, { "X-One", "1" }, { "x-one", "2" } };
};

TEST_F(HeadersTest, Find_OtherCase_GivesTheFirst)
{
  ASSERT_NE(m_headers.Find("X-ONE"), nullptr);
  EXPECT_EQ(*m_headers.Find("X-ONE"), "1");
  EXPECT_EQ(m_headers.Find("X-On"), nullptr);
}

TEST_F(HeadersTest, Set_SeveralFields_LeavesOne)
{
  m_headers.Set("X-ONE", "3");
  EXPECT_EQ(m_headers, (Headers{ { "Host", "a" }, { "X-ONE", "3" } }));
}

TEST_F(HeadersTest, HasToken_List_ComparesWholeElements)
{
  m_headers.Add("Connection", "keep-alive , Upgrade");
  EXPECT_TRUE(m_headers.HasToken("connection", "upgrade"));
  EXPECT_FALSE(m_headers.HasToken("connection", "keep"));
}

TEST_F(HeadersTest, StripHopByHop_NamedAndFixedFields_OnlyEndToEndStay)
{
  m_headers.Add("Connection", "close, X-One");
  m_headers.Add("Transfer-Encoding", "chunked");
  m_headers.Add("TE", "trailers");
  m_headers.Add("Connection", "X-Two");
  m_headers.Add("X-Two", "2");
  m_headers.Add("X-Three", "3");
  StripHopByHop(m_headers);
  EXPECT_EQ(m_headers, (Headers{ { "Host", "a" }, { "X-Three", "3" } }));
}

}
}
