#include "src/Daemon/Predecessor.h"

#include <gtest/gtest.h>

namespace pistachioshift {
namespace {

class PredecessorTest : public ::testing::Test
{
protected:
  PredecessorTest()
  {
    m_old.boot = BootId(1);
    m_old.inner = { "10.0.0.1", 7100 };
    m_old.host = HostName("host-1");
    m_old.kernelBoot = "run-1";
    m_new = m_old;
    m_new.boot = BootId(2);
  }

  std::optional<DaemonId> Find()
  {
    m_view.Apply(Offset(1), m_old);
    return FindPredecessor(m_view, m_new);
  }

  OwnershipView m_view;
  JoinRecord m_old;
  JoinRecord m_new;
};

TEST_F(PredecessorTest, Find_SameEndpointUnderTheSameKernel_IsFound)
{
  EXPECT_EQ(Find(), DaemonId(1));
}

TEST_F(PredecessorTest, Find_OtherKernelBoot_IsNone)
{
  m_new.kernelBoot = "run-2";
  EXPECT_EQ(Find(), std::nullopt);
}

TEST_F(PredecessorTest, Find_KernelBootUnknown_IsNone)
{
  m_old.kernelBoot.clear();
  m_new.kernelBoot.clear();
  EXPECT_EQ(Find(), std::nullopt);
}

TEST_F(PredecessorTest, Find_OtherPort_IsNone)
{
  m_new.inner.port = 7101;
  EXPECT_EQ(Find(), std::nullopt);
}

TEST_F(PredecessorTest, Find_OwnEarlierJoin_IsNone)
{
  m_new.boot = m_old.boot;
  EXPECT_EQ(Find(), std::nullopt);
}

TEST_F(PredecessorTest, Join_NamingThePredecessor_RemovesIt)
{
  m_new.previous = Find();
  m_view.Apply(Offset(2), m_new);
  EXPECT_EQ(m_view.FindMember(DaemonId(1)), nullptr);
  EXPECT_NE(m_view.FindGone(DaemonId(1)), nullptr);
}

}
}
