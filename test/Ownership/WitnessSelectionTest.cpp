#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/Ownership/WitnessSelection.h"
#include "test/Ownership/ViewSupport.h"

namespace pistachioshift {
namespace {

class WitnessSelectionTest : public ::testing::Test
{
protected:
  std::set<ZoneName> ZonesOf(const std::vector<DaemonId>& aDaemons) const
  {
    std::set<ZoneName> zones;
    for (const auto daemon : aDaemons) {
      zones.insert(m_stream.view.FindMember(daemon)->join.zone);
    }
    return zones;
  }

  Stream m_stream;
  RandomEngine m_random{ 1 };
};

RC_GTEST_FIXTURE_PROP(WitnessSelectionTest,
                      Select_EnoughZones_TakesThreeOnOtherHosts,
                      ())
{
  const auto zones = *rc::gen::inRange<uint64_t>(3, 8);
  const auto count = *rc::gen::inRange<uint64_t>(2 * zones, 40);
  for (uint64_t index = 0; index < count; ++index) {
    m_stream.Join(index, zones);
  }
  const DaemonId leaseholder(
    *rc::gen::inRange<int64_t>(1, m_stream.offset + 1));
  const auto witnesses =
    SelectWitnesses(m_stream.view, leaseholder, {}, {}, m_random);
  RC_ASSERT(witnesses.size() == kWitnesses);
  RC_ASSERT(ZonesOf(witnesses).size() == kWitnesses);
  for (const auto witness : witnesses) {
    RC_ASSERT(m_stream.view.FindMember(witness)->join.host !=
              m_stream.view.FindMember(leaseholder)->join.host);
  }
}

TEST_F(WitnessSelectionTest, Select_SmallMesh_SelectsAllOthers)
{
  const auto lone = m_stream.Join(0);
  EXPECT_TRUE(SelectWitnesses(m_stream.view, lone, {}, {}, m_random).empty());
  const auto second = m_stream.Join(1);
  EXPECT_EQ(SelectWitnesses(m_stream.view, lone, {}, {}, m_random),
            std::vector{ second });
}

TEST_F(WitnessSelectionTest, Select_LeavingDaemon_IsNotTaken)
{
  const auto leaseholder = m_stream.Join(0);
  const auto leaving = m_stream.Join(1);
  m_stream.Append(LeavingRecord{ leaving });
  EXPECT_TRUE(
    SelectWitnesses(m_stream.view, leaseholder, {}, {}, m_random).empty());
}

TEST_F(WitnessSelectionTest, Select_Kept_StaysAndAvoidedComesLast)
{
  const auto leaseholder = m_stream.Join(0);
  const auto kept = m_stream.Join(1);
  const auto avoided = m_stream.Join(2);
  const auto third = m_stream.Join(3);
  const auto fourth = m_stream.Join(4);
  EXPECT_EQ(SelectWitnesses(
              m_stream.view, leaseholder, { kept }, { avoided }, m_random),
            (std::vector{ kept, third, fourth }));
}

TEST_F(WitnessSelectionTest, Select_ManyLeaseholders_SpreadsThem)
{
  for (uint64_t index = 0; index < 60; ++index) {
    m_stream.Join(index, 4);
  }
  for (int64_t id = 1; id <= 60; ++id) {
    const auto chosen =
      SelectWitnesses(m_stream.view, DaemonId(id), {}, {}, m_random);
    m_stream.Append(WitnessSetRecord{ DaemonId(id), {}, chosen });
  }
  for (int64_t id = 1; id <= 60; ++id) {
    EXPECT_LE(m_stream.view.LeaseholdersOf(DaemonId(id)).size(),
              2 * kWitnesses);
  }
}

}
}
