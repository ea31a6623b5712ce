#include <gtest/gtest.h>

#include "src/Base/Error.h"
#include "src/Ctl/Options.h"
#include "src/Ctl/Program.h"

namespace pistachioshift {
namespace {

class OptionsTest : public ::testing::Test
{
protected:
  static Options Parse(const std::vector<std::string>& aWords)
  {
    return ParseOptions("test",
                        "",
                        { Flag::kLog,
                          Flag::kDaemon,
                          Flag::kTimeout,
                          Flag::kServiceKey,
                          Flag::kTo,
                          Flag::kRange },
                        aWords);
  }
};

TEST_F(OptionsTest, Flags_BeforeAndAfterArguments_AreRead)
{
  const auto options = Parse({ "orders",
                               "--log",
                               "127.0.0.1:70",
                               "--daemon=127.0.0.1:1,[::1]:2",
                               "--to",
                               "41",
                               "more" });
  EXPECT_EQ(options.log, (Endpoint{ "127.0.0.1", 70 }));
  EXPECT_EQ(options.daemons.at(1), (Endpoint{ "::1", 2 }));
  EXPECT_EQ(options.to, DaemonId(41));
  EXPECT_EQ(options.arguments, (std::vector<std::string>{ "orders", "more" }));
}

TEST_F(OptionsTest, Flags_UnknownOrBadValues_AreBadInput)
{
  EXPECT_THROW(Parse({ "--section", "x" }), ConfigError);
  EXPECT_THROW(Parse({ "--log", "localhost:70" }), ConfigError);
  EXPECT_THROW(Parse({ "--log", "127.0.0.1" }), ConfigError);
  EXPECT_THROW(Parse({ "--timeout", "0" }), ConfigError);
  EXPECT_THROW(Parse({ "--to", "-1" }), ConfigError);
  EXPECT_THROW(Parse({ "--range", "4294967296" }), ConfigError);
  EXPECT_THROW(Parse({ "--range", "1x" }), ConfigError);
}

TEST_F(OptionsTest, Program_UnknownCommandOrMissingFlags_IsBadInput)
{
  EXPECT_EQ(RunProgram({}), ExitCode::kBadInput);
  EXPECT_EQ(RunProgram({ "document" }), ExitCode::kBadInput);
  EXPECT_EQ(RunProgram({ "document", "edit" }), ExitCode::kBadInput);
  EXPECT_EQ(RunProgram({ "document", "show" }), ExitCode::kBadInput);
  EXPECT_EQ(RunProgram({ "explain", "orders" }), ExitCode::kBadInput);
  EXPECT_EQ(RunProgram({ "move", "orders", "--to", "1" }), ExitCode::kBadInput);
}

}
}
