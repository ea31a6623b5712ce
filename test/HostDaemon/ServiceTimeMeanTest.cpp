#include <gtest/gtest.h>

#include "src/HostDaemon/ServiceTimeMean.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

/** Load pattern: a daemon has just started beside a server that is four times
 * as fast as the typical value. Guards against a capacity that stays wrong for
 * the first seconds, in which keys are assigned. */
TEST(ServiceTimeMeanTest, Add_FirstSecondOfAFastServer_IsNearTheMeasuredTime)
{
  ServiceTimeMean mean;
  for (int answer = 0; answer < 30; ++answer) {
    mean.Add(milliseconds(50));
  }
  EXPECT_NEAR(mean.Seconds(), 0.05, 0.025);
}

/** Load pattern: the slowest 3% of the requests take seven times the mean. */
TEST(ServiceTimeMeanTest, Add_FirstAnswerIsSlow_MeanIsLessThanDoubled)
{
  ServiceTimeMean mean;
  mean.Add(milliseconds(7 * 200));
  EXPECT_LT(mean.Seconds(), 0.41);
}

/** Failure case: no answer has arrived yet. */
TEST(ServiceTimeMeanTest, Seconds_NoAnswer_IsTheTypicalTime)
{
  EXPECT_DOUBLE_EQ(ServiceTimeMean().Seconds(), 0.2);
}

/** Load pattern: a server that has run for long becomes half as fast. */
TEST(ServiceTimeMeanTest, Add_ServerBecomesSlower_FollowsWithinHundredAnswers)
{
  ServiceTimeMean mean;
  for (int answer = 0; answer < 1000; ++answer) {
    mean.Add(milliseconds(100));
  }
  for (int answer = 0; answer < 100; ++answer) {
    mean.Add(milliseconds(200));
  }
  EXPECT_NEAR(mean.Seconds(), 0.2, 0.02);
}

}
