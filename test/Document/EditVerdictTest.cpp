#include <gtest/gtest.h>

#include "test/Document/DocumentSupport.h"

namespace pistachioshift {
namespace {

using test::DefaultTeams;
using test::FoundedDocument;
using test::MakeEdit;
using test::ServiceText;
using test::Signed;
using test::TeamsText;

class EditVerdictTest : public ::testing::Test
{
protected:
  /** \brief Judges a proper edit of the owner at the next offset. */
  EditVerdict Edit(const std::string& aSection, const std::string& aText)
  {
    const auto author = aSection == "teams" ? "ops" : aSection;
    return Judge(Signed(Compose(aSection, author, aText)));
  }

  DocumentEdit Compose(const std::string& aSection,
                       const std::string& aAuthor,
                       const std::string& aText)
  {
    auto edit = MakeEdit(m_nextId++,
                         aSection,
                         m_state.VersionOf(SectionName(aSection)),
                         aAuthor,
                         aText);
    edit.readThrough = m_state.Applied();
    return edit;
  }

  EditVerdict Judge(const DocumentEdit& aEdit)
  {
    return m_state.Apply(Offset(m_state.Applied().Value() + 1), aEdit);
  }

  DocumentState m_state = FoundedDocument();
  uint64_t m_nextId = 1;
};

TEST_F(EditVerdictTest, Founding_KeyOfItsOwnText_IsAccepted)
{
  EXPECT_EQ(m_state.VersionOf(kTeamsSection), Offset(1));
  EXPECT_NE(m_state.Teams().Find(TeamName("alpha")), nullptr);
}

TEST_F(EditVerdictTest, Founding_WrongKeyOrOtherSection_IsRefused)
{
  DocumentState empty;
  const auto text = TeamsText(DefaultTeams());
  const auto forged = Signed(MakeEdit(1, "teams", Offset(0), "ops", text), 1);
  EXPECT_EQ(empty.Apply(Offset(1), forged).result, EditResult::kBadSignature);
  const auto foreign = Signed(MakeEdit(2, "teams", Offset(0), "alpha", text));
  EXPECT_EQ(empty.Apply(Offset(2), foreign).result, EditResult::kNotOwner);
  const auto other = Signed(MakeEdit(3, "alpha", Offset(0), "alpha", ""));
  EXPECT_EQ(empty.Apply(Offset(3), other).result, EditResult::kNotFounded);
}

TEST_F(EditVerdictTest, Founding_SecondOne_IsRefusedAsStale)
{
  const auto text = TeamsText({ { "ops", { "teams" } } });
  const auto second = Signed(MakeEdit(9, "teams", Offset(0), "ops", text));
  EXPECT_EQ(Judge(second).result, EditResult::kStaleBase);
}

TEST_F(EditVerdictTest, StaleEdit_OtherEditCameFirst_NamesSectionVersionAndLine)
{
  const auto late =
    Signed(Compose("alpha", "alpha", ServiceText("alpha-own") + "# late\n"));
  ASSERT_TRUE(Edit("alpha", ServiceText("alpha-own")).IsAccepted());
  const auto verdict = Judge(late);
  EXPECT_EQ(verdict.result, EditResult::kStaleBase);
  EXPECT_EQ(verdict.inForce, Offset(2));
  EXPECT_EQ(verdict.position.line, 6U);
  EXPECT_EQ(verdict.message,
            "section 'alpha': the edit was written against version 0, but "
            "version 2 by team 'alpha' is in force, which differs from this "
            "text from line 6 on");
}

TEST_F(EditVerdictTest, Edit_InvalidText_NamesSectionLineAndField)
{
  const auto verdict = Edit("alpha", "\n[[service]]\nname = \"a\"\nslot = 9\n");
  EXPECT_EQ(verdict.result, EditResult::kInvalidText);
  EXPECT_EQ(verdict.position.line, 2U);
  EXPECT_EQ(
    verdict.message,
    "section 'alpha', line 2, column 1: service[0].division: is required");
}

TEST_F(EditVerdictTest, Edit_UnknownTeamForeignOrUnsigned_IsRefused)
{
  EXPECT_EQ(Judge(Signed(Compose("alpha", "gamma", ""))).result,
            EditResult::kUnknownTeam);
  EXPECT_EQ(Judge(Signed(Compose("alpha", "beta", ""))).result,
            EditResult::kNotOwner);
  EXPECT_EQ(Judge(Compose("alpha", "alpha", "")).result,
            EditResult::kBadSignature);
}

TEST_F(EditVerdictTest, Edit_OffsetsThatCantPrecedeIt_IsMalformed)
{
  auto edit = Compose("alpha", "alpha", "");
  edit.readThrough = Offset(2);
  EXPECT_EQ(Judge(Signed(edit)).result, EditResult::kMalformed);
}

TEST_F(EditVerdictTest, Edit_ServiceOfOtherSection_NamesBothLines)
{
  ASSERT_TRUE(Edit("alpha", "\n" + ServiceText("shared")).IsAccepted());
  const auto verdict = Edit("beta", ServiceText("shared"));
  EXPECT_EQ(verdict.result, EditResult::kConflict);
  EXPECT_EQ(verdict.message,
            "section 'beta', line 1: service 'shared' is declared by section "
            "'alpha', line 2");
}

TEST_F(EditVerdictTest, Edit_RangesChanged_IsRefusedEvenAfterRemoval)
{
  ASSERT_TRUE(Edit("alpha", ServiceText("moving", 16)).IsAccepted());
  EXPECT_EQ(Edit("alpha", ServiceText("moving", 32)).result,
            EditResult::kRangesChanged);
  ASSERT_TRUE(Edit("alpha", "").IsAccepted());
  EXPECT_EQ(Edit("beta", ServiceText("moving", 32)).result,
            EditResult::kRangesChanged);
  EXPECT_TRUE(Edit("beta", ServiceText("moving", 16)).IsAccepted());
}

TEST_F(EditVerdictTest, TeamsEdit_SectionWithServicesWithoutOwner_IsRefused)
{
  ASSERT_TRUE(Edit("beta", ServiceText("beta-own")).IsAccepted());
  auto teams = DefaultTeams();
  teams.pop_back();
  EXPECT_EQ(Edit("teams", TeamsText(teams)).result, EditResult::kConflict);
  ASSERT_TRUE(Edit("beta", "").IsAccepted());
  EXPECT_TRUE(Edit("teams", TeamsText(teams)).IsAccepted());
}

TEST_F(EditVerdictTest, TeamsEdit_NewKey_OldOneNoLongerSigns)
{
  auto teams = DefaultTeams();
  teams[1].generation = 1;
  ASSERT_TRUE(Edit("teams", TeamsText(teams)).IsAccepted());
  const auto edit = Compose("alpha", "alpha", "");
  EXPECT_EQ(Judge(Signed(edit, 0)).result, EditResult::kBadSignature);
  auto again = edit;
  again.id.sequence = 77;
  EXPECT_TRUE(Judge(Signed(again, 1)).IsAccepted());
}

}
}
