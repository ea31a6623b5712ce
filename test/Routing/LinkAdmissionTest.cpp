#include <algorithm>
#include <deque>

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
    m_admission.RecordSize("/patterns/17", kLarge);
    m_admission.RecordSize("/probes/17", kSmall);
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
    m_admission.RecordSize("/patterns/17", kSmall);
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

TEST_F(LinkAdmissionTest, Wait_AnswersBeingMade_CountAsFarAsTheyAreAhead)
{
  LinkAdmission admission{ kDirect, 1e6 };
  admission.Reserve(900000);
  EXPECT_EQ(admission.ExpectedWait(milliseconds(200), milliseconds(300)),
            milliseconds(800));
  EXPECT_EQ(admission.ExpectedWait(milliseconds(200), seconds(2)),
            Duration::zero());
  admission.Release(900000);
  EXPECT_EQ(admission.ExpectedWait(milliseconds(200), milliseconds(50)),
            milliseconds(150));
}

/**
 * Downloads are made by sixteen at a time before they need the link: what is
 * being made counts, else it all arrives at a link that looked free.
 */
TEST_F(LinkAdmissionTest, Pattern_ManyAnswersBeingMade_StayInTime)
{
  constexpr double kRate = 1.8e6;
  constexpr double kService = 0.3;
  constexpr size_t kSlots = 16;
  constexpr double kAskedPerSecond = 40.0; // The link carries half of them.
  constexpr int kRequests = 4000;
  const auto inTime = [&](double aKnownRate) {
    LinkAdmission admission{ kDirect, aKnownRate };
    admission.RecordSize("/patterns/17", kLarge);
    double free = 0.0;         // When the link has sent all that waits.
    std::deque<double> making; // When each answer was begun.
    int served = 0;
    for (int request = 0; request < kRequests; ++request) {
      const double now = request / kAskedPerSecond;
      while (!making.empty() && making.front() + kService <= now) {
        const double ready = making.front() + kService;
        free = std::max(free, ready) + static_cast<double>(kLarge) / kRate;
        served += free - making.front() <= 1.0 ? 1 : 0;
        making.pop_front();
        admission.Release(kLarge);
      }
      const auto backlog = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::max(0.0, free - now)));
      const auto wait = admission.ExpectedWait(backlog, milliseconds(300));
      if (making.size() < kSlots &&
          admission.Admits("/patterns/4", wait, seconds(1))) {
        making.push_back(now);
        admission.Reserve(kLarge);
      }
    }
    return static_cast<double>(served) / kRequests;
  };
  EXPECT_GT(inTime(kRate), 0.47);
  EXPECT_LT(inTime(0.0), 0.40);
}

}
