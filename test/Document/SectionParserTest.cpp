#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Document/DocumentSupport.h"

namespace pistachioshift {
namespace {

using test::DefaultTeams;
using test::ServiceText;
using test::TeamsText;

class SectionParserTest : public ::testing::Test
{
protected:
  static ServicePolicy ParseOne(const std::string& aText)
  {
    const auto section = ParseSection(SectionName("s"), aText);
    return std::get<ServicesSection>(section).services.at(0).policy;
  }

  /** \brief What the refusal of a text says; empty if it is valid. */
  static std::string RefusalOf(const std::string& aText,
                               const std::string& aSection = "s")
  {
    try {
      ParseSection(SectionName(aSection), aText);
      return "";
    } catch (const ParseError& error) {
      return error.what();
    }
  }

  static std::string WithClass(const std::string& aFields)
  {
    return ServiceText("a") + "[[service.class]]\nname = \"c\"\n" + aFields;
  }
};

TEST_F(SectionParserTest, Service_AllFields_AreRead)
{
  const auto policy = ParseOne("[[service]]\n"
                               "name = \"registry\"\n"
                               "division = \"keyed\"\n"
                               "fencing = \"checked\"\n"
                               "ranges = 256\n"
                               "slots = 9\n"
                               "max_moves_per_hour = 30\n"
                               "retry_share = 0.25\n"
                               "hedge_quantile = 1\n"
                               "[[service.class]]\n"
                               "name = \"order\"\n"
                               "methods = [\"POST\"]\n"
                               "path_prefix = \"/orders\"\n"
                               "weight = 4\n"
                               "deadline_ms = 400\n"
                               "queue_bound = 32\n");
  EXPECT_EQ(policy.fencing, Fencing::kChecked);
  EXPECT_EQ(policy.ranges, 256U);
  EXPECT_EQ(policy.maxMovesPerHour, 30U);
  EXPECT_DOUBLE_EQ(policy.retryShare, 0.25);
  const auto& order = policy.classes.at(0);
  EXPECT_FALSE(order.idempotent);
  EXPECT_DOUBLE_EQ(order.weight, 4.0);
  EXPECT_EQ(order.deadline, std::chrono::milliseconds(400));
  EXPECT_EQ(order.queueBound, 32U);
}

TEST_F(SectionParserTest,
       Service_NoClassForAll_GetsDefaultsNonIdempotentIfUnsafe)
{
  const auto policy = ParseOne(ServiceText("a"));
  EXPECT_TRUE(FindClass(policy, "GET", "/x")->idempotent);
  EXPECT_FALSE(FindClass(policy, "PUT", "/x")->idempotent);
  EXPECT_FALSE(FindClass(policy, "POST", "/x")->idempotent);
  EXPECT_EQ(policy.fencing, Fencing::kUnchecked);
}

TEST_F(SectionParserTest, Class_WithoutIdempotent_IsSoOnlyForSafeMethods)
{
  const auto idempotent = [](const std::string& aFields) {
    return ParseOne(WithClass(aFields)).classes.at(0).idempotent;
  };
  EXPECT_TRUE(idempotent("methods = [\"GET\", \"HEAD\"]\n"));
  EXPECT_FALSE(idempotent("methods = [\"GET\", \"POST\"]\n"));
  EXPECT_FALSE(idempotent(""));
  EXPECT_TRUE(idempotent("methods = [\"PUT\"]\nidempotent = true\n"));
}

TEST_F(SectionParserTest, Text_NoToml_NamesLineAndColumn)
{
  EXPECT_TRUE(RefusalOf("a = 1\nb = = 2\n").starts_with("line 2, column 5: "));
}

TEST_F(SectionParserTest, Field_UnknownMissingOrOutOfBounds_IsNamed)
{
  EXPECT_EQ(RefusalOf(ServiceText("a") + "slotz = 3\n"),
            "line 6, column 1: service[0].slotz: is no field of this table");
  EXPECT_EQ(RefusalOf("services = 1\n"),
            "line 1, column 1: services: is no field of this table");
  EXPECT_EQ(RefusalOf(ServiceText("a", 0)),
            "line 4, column 10: service[0].ranges: must be a whole number from "
            "1 to 65536");
  EXPECT_EQ(RefusalOf(WithClass("weight = nan\n")),
            "line 8, column 10: service[0].class[0].weight: must be a number "
            "from 0.001 to 1000");
  EXPECT_EQ(RefusalOf(WithClass("methods = [\"get\"]\n")),
            "line 8, column 11: service[0].class[0].methods: 'get' is no "
            "method in capital letters");
}

TEST_F(SectionParserTest, Field_WrongType_IsRefused)
{
  EXPECT_NE(RefusalOf(WithClass("idempotent = 1\n")), "");
  EXPECT_NE(RefusalOf(WithClass("deadline_ms = 1.5\n")), "");
  EXPECT_NE(RefusalOf(WithClass("methods = \"GET\"\n")), "");
  EXPECT_NE(RefusalOf(WithClass("methods = [1]\n")), "");
  EXPECT_NE(RefusalOf(WithClass("path_prefix = \"orders\"\n")), "");
  EXPECT_NE(RefusalOf("service = [1]\n"), "");
  EXPECT_NE(RefusalOf("[service]\nname = \"a\"\n"), "");
}

TEST_F(SectionParserTest, Declarations_TwiceOrUnreachable_AreRefused)
{
  EXPECT_NE(RefusalOf(ServiceText("a") + ServiceText("a")), "");
  EXPECT_NE(RefusalOf(WithClass("[[service.class]]\nname = \"d\"\n")), "");
  const auto twice = "methods = [\"GET\"]\n[[service.class]]\nname = \"c\"\n";
  EXPECT_NE(RefusalOf(WithClass(twice)), "");
}

TEST_F(SectionParserTest, Ranges_OfAnyInstanceService_AreRefused)
{
  const std::string head = "[[service]]\nname = \"a\"\nslots = 1\n"
                           "division = \"any-instance\"\n";
  EXPECT_EQ(RefusalOf(head), "");
  EXPECT_NE(RefusalOf(head + "ranges = 4\n"), "");
}

TEST_F(SectionParserTest, Teams_SectionTwiceBadKeyOrNoOwnerOfTeams_AreRefused)
{
  auto teams = DefaultTeams();
  EXPECT_EQ(RefusalOf(TeamsText(teams), "teams"), "");
  teams[2].sections.emplace_back("alpha");
  EXPECT_NE(RefusalOf(TeamsText(teams), "teams"), "");
  EXPECT_NE(RefusalOf("", "teams"), "");
  EXPECT_NE(RefusalOf("[[team]]\nname = \"ops\"\nsections = [\"teams\"]\n"
                      "keys = [\"ed25519:00\"]\n",
                      "teams"),
            "");
}

RC_GTEST_FIXTURE_PROP(SectionParserTest,
                      Text_AnyBytesInsertedAnywhere_IsReadOrRefusedWithLine,
                      (const std::string& aInserted))
{
  auto text = WithClass("weight = 2.5\n");
  text.insert(*rc::gen::inRange<size_t>(0, text.size() + 1), aInserted);
  try {
    ParseSection(SectionName("s"), text);
  } catch (const ParseError& error) {
    RC_ASSERT(error.Position().line >= 1U);
  }
}

}
}
