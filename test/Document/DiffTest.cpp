#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Document"

namespace pistachioshift {
namespace {

class DiffTest : public ::testing::Test
{
protected:
  static std::string AnyText()
  {
    const auto lines = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>("a", "b", "c", ""));
    std::string text;
    for (const auto& line : lines) {
      text += line + "\n";
    }
    return text;
  }

  /** \brief The old or the new text, put together from the comparison. */
  static std::string Side(const std::vector<DiffLine>& aLines, DiffKind aKind)
  {
    std::string text;
    for (const auto& line : aLines) {
      if (line.kind == DiffKind::kSame || line.kind == aKind) {
        text += line.text + "\n";
      }
    }
    return text;
  }
};

RC_GTEST_FIXTURE_PROP(DiffTest, Diff_AnyTexts_GivesBothBack, ())
{
  const auto before = AnyText();
  const auto after = AnyText();
  const auto lines = DiffLines(before, after);
  RC_ASSERT(Side(lines, DiffKind::kRemoved) == before);
  RC_ASSERT(Side(lines, DiffKind::kAdded) == after);
}

TEST_F(DiffTest, FormatDiff_OneLineChanged_ShowsItWithContext)
{
  const auto lines = DiffLines("a\nb\nc\nd\ne\n", "a\nb\nC\nd\ne\n");
  EXPECT_EQ(FormatDiff(lines, 1),
            "...\n    2 b\n-   3 c\n+   3 C\n    4 d\n...\n");
}

TEST_F(DiffTest, Diff_LongTextsWithoutCommonLines_GivesBothBack)
{
  std::string before;
  std::string after;
  for (int line = 0; line < 30000; ++line) {
    before += "x\n";
    after += "y\n";
  }
  const auto lines = DiffLines(before, after);
  EXPECT_EQ(Side(lines, DiffKind::kRemoved), before);
  EXPECT_EQ(Side(lines, DiffKind::kAdded), after);
}

TEST_F(DiffTest, FormatDiff_SameTexts_ShowsNoLine)
{
  EXPECT_EQ(FormatDiff(DiffLines("a\n", "a\n"), 3), "...\n");
}

}
}
