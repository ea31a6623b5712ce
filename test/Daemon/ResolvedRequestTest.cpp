#include "src/Daemon/ResolvedRequest.h"

#include <gtest/gtest.h>

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;

class ResolvedRequestTest : public ::testing::Test
{
protected:
  ResolvedRequestTest()
  {
    RequestClass order;
    order.name = ClassName("order");
    order.methods = { "POST" };
    order.pathPrefix = "/orders";
    order.deadline = milliseconds(800);
    RequestClass rest;
    rest.name = ClassName("rest");
    rest.deadline = milliseconds(500);
    ServicePolicy registry;
    registry.name = ServiceName("registry");
    registry.ranges = 8;
    registry.classes = { order, rest };
    ServicePolicy archive = registry;
    archive.name = ServiceName("archive");
    archive.division = Division::kAnyInstance;
    m_policies[registry.name] = registry;
    m_policies[archive.name] = archive;
    m_head.method = "GET";
    m_head.target = "/registry/outlet-1/spec";
  }

  ResolvedRequest Resolve() const
  {
    return std::get<ResolvedRequest>(ResolveRequest(m_head, m_policies, m_now));
  }

  RefusalReason Refused() const
  {
    return std::get<RefusalReason>(ResolveRequest(m_head, m_policies, m_now));
  }

  ServicePolicies m_policies;
  RequestHead m_head;
  WallTime m_now{ milliseconds(1'000'000) };
};

TEST_F(ResolvedRequestTest, ResolveRequest_KeyInPath_FindsKeyAndClass)
{
  EXPECT_EQ(Resolve().key, "outlet-1");
  EXPECT_EQ(Resolve().requestClass.name, ClassName("rest"));
  m_head.method = "POST";
  m_head.target = "/registry/outlet-1/orders?x=1";
  EXPECT_EQ(Resolve().requestClass.name, ClassName("order"));
}

TEST_F(ResolvedRequestTest, ResolveRequest_EscapedKey_IsUnescaped)
{
  m_head.target = "/registry/a%2Fb/spec";
  EXPECT_EQ(Resolve().key, "a/b");
}

TEST_F(ResolvedRequestTest, ResolveRequest_KeyInField_LeavesThePathWhole)
{
  m_head.headers.Set("Pistachio-Key", "outlet-9");
  m_head.method = "POST";
  m_head.target = "/registry/orders";
  EXPECT_EQ(Resolve().key, "outlet-9");
  EXPECT_EQ(Resolve().requestClass.name, ClassName("order"));
}

TEST_F(ResolvedRequestTest, ResolveRequest_NoKey_IsRefusedForKeyedOnly)
{
  m_head.target = "/registry";
  EXPECT_EQ(Refused(), RefusalReason::kNoKey);
  m_head.target = "/archive";
  EXPECT_EQ(Resolve().key, "");
}

TEST_F(ResolvedRequestTest, ResolveRequest_UnknownServiceOrBadEscape_IsRefused)
{
  m_head.target = "/nobody/key";
  EXPECT_EQ(Refused(), RefusalReason::kNoService);
  m_head.target = "/registry/%zz";
  EXPECT_EQ(Refused(), RefusalReason::kNoService);
  m_head.target = "/";
  EXPECT_EQ(Refused(), RefusalReason::kNoService);
}

TEST_F(ResolvedRequestTest, ResolveRequest_NestedDeadline_IsInherited)
{
  m_head.headers.Set("Pistachio-Deadline", "1000200");
  EXPECT_EQ(Resolve().timeLimit, milliseconds(200));
  m_head.headers.Set("Pistachio-Deadline", "1009999");
  EXPECT_EQ(Resolve().timeLimit, milliseconds(500));
}

TEST_F(ResolvedRequestTest, ResolveRequest_DeadlinePassed_IsRefused)
{
  m_head.headers.Set("Pistachio-Deadline", "999999");
  EXPECT_EQ(Refused(), RefusalReason::kDeadlineExpired);
  m_head.headers.Remove("Pistachio-Deadline");
  m_head.headers.Set("Pistachio-Timeout-Ms", "0");
  EXPECT_EQ(Refused(), RefusalReason::kDeadlineExpired);
}

}
}
