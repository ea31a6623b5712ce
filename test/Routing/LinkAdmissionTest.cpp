#include <algorithm>

#include <gtest/gtest.h>

#include "src/Routing/LinkAdmission.h"

namespace pistachioshift {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kDirect = 8192;
constexpr size_t kLarge = 90000;
constexpr size_t kSmall = 500;

class LinkAdmissionTest : public ::testing::Test
{
protected:
  LinkAdmissionTest()
  {
    m_admission.Learn("/patterns/17", kLarge);
    m_admission.Learn("/probes/17", kSmall);
  }

  LinkAdmission m_admission{ kDirect };
};

TEST_F(LinkAdmissionTest, Admits_LargeAnswersWaitTooLong_OnlySmallOnes)
{
  EXPECT_FALSE(m_admission.Admits("/patterns/4", seconds(2), seconds(1)));
  EXPECT_TRUE(m_admission.Admits("/probes/4?x=1", seconds(2), seconds(1)));
}

TEST_F(LinkAdmissionTest, Admits_ShortWait_AllOfThem)
{
  EXPECT_TRUE(m_admission.Admits("/patterns/4", milliseconds(400), seconds(1)));
}

TEST_F(LinkAdmissionTest, Admits_NothingKnownOrNoGoal_AllOfThem)
{
  EXPECT_TRUE(m_admission.Admits("/new", seconds(2), seconds(1)));
  EXPECT_TRUE(m_admission.Admits("/patterns/4", seconds(2), Duration::zero()));
}

TEST_F(LinkAdmissionTest, Learn_AnswersBecomeSmall_AreAdmitted)
{
  for (int answer = 0; answer < 100; ++answer) {
    m_admission.Learn("/patterns/17", kSmall);
  }
  EXPECT_TRUE(m_admission.Admits("/patterns/4", seconds(2), seconds(1)));
}

/**
 * Downloads ask for a tenth more than the link carries: refusing early serves
 * nearly as many as fit in time, while a queue without end serves none.
 */
TEST_F(LinkAdmissionTest, Pattern_FullLink_AnswersStayInTime)
{
  constexpr double kServedPerSecond = 20.0;
  constexpr double kAskedPerSecond = 22.0;
  constexpr int kRequests = 2000;
  const auto inTime = [&](bool aRefuses) {
    double free = 0.0; // When the link has sent all that waits, in seconds.
    int served = 0;
    for (int request = 0; request < kRequests; ++request) {
      const double now = request / kAskedPerSecond;
      const double wait = std::max(0.0, free - now);
      const auto duration = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(wait));
      if (aRefuses &&
          !m_admission.Admits("/patterns/4", duration, seconds(1))) {
        continue;
      }
      free = now + wait + 1.0 / kServedPerSecond;
      served += free - now <= 1.0 ? 1 : 0;
    }
    return static_cast<double>(served) / kRequests;
  };
  EXPECT_GT(inTime(true), 0.85);
  EXPECT_LT(inTime(false), 0.25);
}

}
