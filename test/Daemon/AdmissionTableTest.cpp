#include "src/Daemon/AdmissionTable.h"

#include <event2/event.h>
#include <gtest/gtest.h>

namespace pistachioshift {
namespace {

class AdmissionTableTest : public ::testing::Test
{
protected:
  AdmissionTableTest()
    : m_base(event_base_new(), &event_base_free)
    , m_table(m_base.get(),
              m_clock,
              9,
              [this](const AdmissionActions& aActions) {
                for (const auto& id : aActions.starts) {
                  m_started.push_back(id);
                }
                for (const auto& refusal : aActions.refusals) {
                  m_refused.push_back(refusal.id);
                }
              })
  {
    m_policy.name = ServiceName("registry");
    m_policy.slots = 2;
    AddClass();
    m_table.SetPolicy(m_policy);
  }

  void AddClass()
  {
    RequestClass added;
    added.deadline = std::chrono::seconds(10);
    added.queueBound = 8;
    m_policy.classes.push_back(added);
  }

  void Admit(uint64_t aId, uint32_t aClass = 0)
  {
    const auto deadline = m_clock.Now() + std::chrono::seconds(10);
    m_table.Admit(m_policy.name,
                  AdmissionRequest{ { 0, aId }, ClassIndex(aClass), deadline });
  }

  void End(uint64_t aId)
  {
    m_table.End(m_policy.name, { 0, aId }, ServiceResult::kDone);
  }

  ManualClock m_clock;
  std::unique_ptr<event_base, decltype(&event_base_free)> m_base;
  std::vector<RequestId> m_started;
  std::vector<RequestId> m_refused;
  AdmissionTable m_table;
  ServicePolicy m_policy;
};

TEST_F(AdmissionTableTest,
       SetPolicy_ClassAddedWhileBusy_AdmitsItsRequestsAtOnce)
{
  Admit(1);
  AddClass();
  m_table.SetPolicy(m_policy);
  Admit(2, 1);
  EXPECT_EQ(m_started.size(), 2U);
  EXPECT_EQ(m_table.Running(), 2U);
}

TEST_F(AdmissionTableTest, SetPolicy_RequestsQueued_RefusesThemOnce)
{
  Admit(1);
  Admit(2);
  Admit(3);
  ASSERT_EQ(m_table.Queued(), 1U);
  m_policy.classes[0].weight = 2.0;
  m_table.SetPolicy(m_policy);
  EXPECT_EQ(m_refused, std::vector{ (RequestId{ 0, 3 }) });
  End(3);
  EXPECT_EQ(m_refused.size(), 1U);
}

TEST_F(AdmissionTableTest, SetPolicy_EarlierRequestsRunning_KeepTheirSlots)
{
  Admit(1);
  m_policy.classes[0].weight = 2.0;
  m_table.SetPolicy(m_policy);
  Admit(2);
  Admit(3);
  EXPECT_EQ(m_table.Running(), 2U);
  EXPECT_EQ(m_table.Queued(), 1U);
  End(1);
  EXPECT_EQ(m_table.Running(), 2U);
  EXPECT_EQ(m_table.Queued(), 0U);
}

TEST_F(AdmissionTableTest, SetPolicy_Unchanged_KeepsTheController)
{
  Admit(1);
  Admit(2);
  Admit(3);
  m_table.SetPolicy(m_policy);
  EXPECT_TRUE(m_refused.empty());
  EXPECT_EQ(m_table.Queued(), 1U);
}

}
}
