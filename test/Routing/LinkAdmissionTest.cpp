#include <algorithm>
#include <deque>

#include <gtest/gtest.h>

#include "src/Routing/LinkAdmission.h"

namespace pistachioshift {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kDirectBytes = 8192;
constexpr size_t kLargeBytes = 90000;
constexpr size_t kSmallBytes = 500;

class LinkAdmissionTest : public ::testing::Test
{
protected:
  LinkAdmissionTest()
  {
    m_admission.RecordSize("/patterns/17", kLargeBytes);
    m_admission.RecordSize("/probes/17", kSmallBytes);
  }

  LinkAdmission m_admission{ kDirectBytes };
};

TEST_F(LinkAdmissionTest, Admits_LongLinkWait_OnlySmallAnswers)
{
  EXPECT_FALSE(m_admission.Admits("/patterns/4", seconds(2), seconds(1)));
  EXPECT_TRUE(m_admission.Admits("/probes/4?x=1", seconds(2), seconds(1)));
}

TEST_F(LinkAdmissionTest, Admits_ShortLinkWait_AllAnswers)
{
  EXPECT_TRUE(m_admission.Admits("/patterns/4", milliseconds(400), seconds(1)));
}

TEST_F(LinkAdmissionTest, Admits_UnknownSizeOrNoTargetLatency_AllAnswers)
{
  EXPECT_TRUE(m_admission.Admits("/new", seconds(2), seconds(1)));
  EXPECT_TRUE(m_admission.Admits("/patterns/4", seconds(2), Duration::zero()));
}

TEST_F(LinkAdmissionTest, RecordSize_AnswersBecomeSmall_AreAdmitted)
{
  for (int answer = 0; answer < 100; ++answer) {
    m_admission.RecordSize("/patterns/17", kSmallBytes);
  }
  EXPECT_TRUE(m_admission.Admits("/patterns/4", seconds(2), seconds(1)));
}

/**
 * Offered downloads exceed the capacity of the link by a tenth. With early
 * refusals, nearly as many answers as the link can carry arrive in time; with
 * an unbounded queue, almost none do.
 */
TEST_F(LinkAdmissionTest, Admits_SaturatedLink_AnswersStayInTime)
{
  constexpr double kServedPerSecond = 20.0;
  constexpr double kOfferedPerSecond = 22.0;
  constexpr int kRequests = 2000;
  const auto inTime = [&](bool aUsesAdmission) {
    double linkFreeAt = 0.0; // Time at which the link queue is empty, in s.
    int served = 0;
    for (int request = 0; request < kRequests; ++request) {
      const double now = request / kOfferedPerSecond;
      const double wait = std::max(0.0, linkFreeAt - now);
      const auto duration = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(wait));
      if (aUsesAdmission &&
          !m_admission.Admits("/patterns/4", duration, seconds(1))) {
        continue;
      }
      linkFreeAt = now + wait + 1.0 / kServedPerSecond;
      served += linkFreeAt - now <= 1.0 ? 1 : 0;
    }
    return static_cast<double>(served) / kRequests;
  };
  EXPECT_GT(inTime(true), 0.85);
  EXPECT_LT(inTime(false), 0.25);
}

TEST_F(LinkAdmissionTest, ExpectedWait_AnswersInPreparation_AreCounted)
{
  LinkAdmission admission{ kDirectBytes, 1e6 };
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
 * Sixteen answers are prepared at once before they need the link. Answers in
 * preparation must be counted: otherwise the link seems idle on admission, and
 * then all of them queue for it.
 */
TEST_F(LinkAdmissionTest, Admits_ManyAnswersInPreparation_StayInTime)
{
  constexpr double kRate = 1.8e6;
  constexpr double kService = 0.3;
  constexpr size_t kSlots = 16;
  constexpr double kOfferedPerSecond = 40.0; // The link can carry half of them.
  constexpr int kRequests = 4000;
  const auto inTime = [&](double aKnownRate) {
    LinkAdmission admission{ kDirectBytes, aKnownRate };
    admission.RecordSize("/patterns/17", kLargeBytes);
    double linkFreeAt = 0.0;          // Time at which the link queue is empty.
    std::deque<double> inPreparation; // Start time of each answer.
    int served = 0;
    for (int request = 0; request < kRequests; ++request) {
      const double now = request / kOfferedPerSecond;
      while (!inPreparation.empty() &&
             inPreparation.front() + kService <= now) {
        const double ready = inPreparation.front() + kService;
        linkFreeAt = std::max(linkFreeAt, ready) +
                     static_cast<double>(kLargeBytes) / kRate;
        served += linkFreeAt - inPreparation.front() <= 1.0 ? 1 : 0;
        inPreparation.pop_front();
        admission.Release(kLargeBytes);
      }
      const auto backlog = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::max(0.0, linkFreeAt - now)));
      const auto wait = admission.ExpectedWait(backlog, milliseconds(300));
      if (inPreparation.size() < kSlots &&
          admission.Admits("/patterns/4", wait, seconds(1))) {
        inPreparation.push_back(now);
        admission.Reserve(kLargeBytes);
      }
    }
    return static_cast<double>(served) / kRequests;
  };
  EXPECT_GT(inTime(kRate), 0.47);
  EXPECT_LT(inTime(0.0), 0.40);
}

}
