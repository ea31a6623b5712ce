#include <gtest/gtest.h>

#include "src/Daemon/Fingerprint.h"

namespace pistachioshift {
namespace {

class FingerprintTest : public ::testing::Test
{
protected:
  static RequestHead Head()
  {
    RequestHead head;
    head.method = "POST";
    head.target = "/orders/1?size=2";
    head.headers.Set("Host", "a.example");
    head.contentLength = 3;
    return head;
  }

  static RequestFingerprint Whole()
  {
    return FingerprintOf(Head(), "7", "abc");
  }
};

/** Attempts differ in their ids and deadlines, not in what they ask for. */
TEST_F(FingerprintTest, Of_OtherHeaders_IsTheSame)
{
  auto head = Head();
  head.headers.Set("X-Attempt", "2");
  EXPECT_EQ(FingerprintOf(head, "7", "abc"), Whole());
}

TEST_F(FingerprintTest, Of_OtherRequest_Differs)
{
  auto method = Head();
  method.method = "PUT";
  auto target = Head();
  target.target = "/orders/1?size=3";
  auto host = Head();
  host.headers.Set("Host", "b.example");
  auto length = Head();
  length.contentLength = 4;
  for (const auto& head : { method, target, host, length }) {
    EXPECT_NE(FingerprintOf(head, "7", "abc"), Whole());
  }
  EXPECT_NE(FingerprintOf(Head(), "8", "abc"), Whole());
  EXPECT_NE(FingerprintOf(Head(), "7", "abd"), Whole());
  EXPECT_NE(FingerprintOf(Head(), "", "abc"), Whole());
}

}
}
