#include <gtest/gtest.h>

#include "test/Document/DocumentSupport.h"

namespace pistachioshift {
namespace {

using test::DefaultTeams;
using test::ServiceText;
using test::TeamsText;

class OfflineCheckTest : public ::testing::Test
{
protected:
  static SectionDraft Draft(const std::string& aSection, std::string aText)
  {
    return SectionDraft{ SectionName(aSection), std::move(aText) };
  }
};

TEST_F(OfflineCheckTest, Drafts_ValidTogether_HaveNoProblems)
{
  EXPECT_TRUE(CheckDrafts({ Draft("teams", TeamsText(DefaultTeams())),
                            Draft("alpha", ServiceText("a")),
                            Draft("beta", ServiceText("b")) })
                .empty());
}

TEST_F(OfflineCheckTest, Drafts_BadTexts_NameDraftAndLine)
{
  const auto problems = CheckDrafts(
    { Draft("alpha", "\nslots = 1\n"), Draft("beta", ServiceText("b", 0)) });
  ASSERT_EQ(problems.size(), 2U);
  EXPECT_EQ(problems[0].position.line, 2U);
  EXPECT_EQ(problems[1].draft, 1U);
  EXPECT_EQ(problems[1].message,
            "service[0].ranges: must be a whole number from 1 to 65536");
}

TEST_F(OfflineCheckTest, Drafts_ServiceTwice_NameTheOtherSection)
{
  const auto problems = CheckDrafts(
    { Draft("alpha", ServiceText("a")), Draft("beta", ServiceText("a")) });
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].draft, 1U);
}

TEST_F(OfflineCheckTest, Drafts_SectionWithoutOwnerInAnyOrder_IsAProblem)
{
  const auto problems =
    CheckDrafts({ Draft("gamma", ServiceText("a")),
                  Draft("teams", TeamsText(DefaultTeams())) });
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].message, "no team owns the section 'gamma'");
}

}
}
