#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "test/Document/DocumentSupport.h"

namespace pistachioshift {
namespace {

using test::MakeEdit;
using test::Signed;
using test::TeamsText;

std::string
ReadExample(const std::string& aName)
{
  std::ifstream file(std::string(PISTACHIOSHIFT_SOURCE) + "/examples/" + aName);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

class DeploymentsTest : public ::testing::Test
{
protected:
  /** \brief Policies after all three examples went in as signed edits. */
  void SetUp() override
  {
    const auto teams = TeamsText({ { "ops", { "teams", "demo" } },
                                   { "agency", { "sofia" } },
                                   { "telar", { "valparaiso" } } });
    Accept("teams", "ops", teams);
    Accept("sofia", "agency", ReadExample("sofia.toml"));
    Accept("valparaiso", "telar", ReadExample("valparaiso.toml"));
    Accept("demo", "ops", ReadExample("demo.toml"));
  }

  void Accept(const std::string& aSection,
              const std::string& aTeam,
              const std::string& aText)
  {
    const Offset offset(m_document.Applied().Value() + 1);
    auto edit = MakeEdit(
      static_cast<uint64_t>(offset.Value()), aSection, Offset(0), aTeam, aText);
    edit.readThrough = m_document.Applied();
    const auto verdict = m_document.Apply(offset, Signed(edit));
    ASSERT_TRUE(verdict.IsAccepted()) << verdict.message;
  }

  const ServicePolicy& Policy(const std::string& aService) const
  {
    return m_document.Policies().at(ServiceName(aService));
  }

  const RequestClass& ClassOf(const std::string& aService,
                              const std::string& aMethod,
                              const std::string& aPath) const
  {
    return *FindClass(Policy(aService), aMethod, aPath);
  }

  DocumentState m_document;
};

TEST_F(DeploymentsTest, Sofia_Registry_IsKeyedWithNineSlots)
{
  EXPECT_EQ(Policy("registry").division, Division::kKeyed);
  EXPECT_EQ(Policy("registry").slots, 9U);
  EXPECT_EQ(Policy("archive").division, Division::kAnyInstance);
  EXPECT_EQ(Policy("archive").slots, 9U);
}

TEST_F(DeploymentsTest, Sofia_OrdersAndStamps_AreNonIdempotentAndWeighMore)
{
  const auto& order = ClassOf("registry", "POST", "/orders/17");
  const auto& stamp = ClassOf("registry", "POST", "/stamps");
  const auto& lookup = ClassOf("registry", "GET", "/rails");
  EXPECT_FALSE(order.idempotent);
  EXPECT_FALSE(stamp.idempotent);
  EXPECT_TRUE(lookup.idempotent);
  EXPECT_GT(order.weight, lookup.weight);
  EXPECT_GT(stamp.weight, lookup.weight);
}

TEST_F(DeploymentsTest, Valparaiso_Taller_IsKeyedWithSixteenSlots)
{
  EXPECT_EQ(Policy("taller").division, Division::kKeyed);
  EXPECT_EQ(Policy("taller").slots, 16U);
  EXPECT_EQ(Policy("patrones").division, Division::kAnyInstance);
  EXPECT_EQ(Policy("patrones").slots, 16U);
}

TEST_F(DeploymentsTest, Valparaiso_CutOrders_AreNonIdempotent)
{
  EXPECT_FALSE(ClassOf("taller", "POST", "/cuts/4").idempotent);
  EXPECT_TRUE(ClassOf("patrones", "GET", "/files/4").idempotent);
}

TEST_F(DeploymentsTest, Valparaiso_ChurnBudget_IsBelowSofias)
{
  EXPECT_LT(Policy("taller").maxMovesPerHour,
            Policy("registry").maxMovesPerHour);
}

TEST_F(DeploymentsTest, Examples_UndeclaredMethod_IsNonIdempotent)
{
  for (const auto& [name, policy] : m_document.Policies()) {
    EXPECT_FALSE(FindClass(policy, "DELETE", "/any")->idempotent)
      << name.Value();
  }
}

}
}
