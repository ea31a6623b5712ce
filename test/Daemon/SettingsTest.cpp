#include "src/Daemon/Settings.h"

#include <gtest/gtest.h>

#include "src/Base/Error.h"

namespace pistachioshift {
namespace {

class SettingsTest : public ::testing::Test
{
protected:
  /** Returns the valid settings with one part replaced. */
  std::string Replace(const std::string& aOld, const std::string& aNew) const
  {
    auto text = m_validText;
    text.replace(text.find(aOld), aOld.size(), aNew);
    return text;
  }

  /** Message of the ConfigError; "none" if the text is valid. */
  std::string ErrorOf(const std::string& aText) const
  {
    try {
      ParseSettings(aText, "d.toml");
    } catch (const ConfigError& error) {
      return error.what();
    }
    return "none";
  }

  std::string m_validText = R"([daemon]
host = "host-1"
zone = "zone-1"
region = "region-1"
address = "127.0.0.1"
inner_port = 7100
callers_port = 7200
operators_port = 7300
[server]
address = "127.0.0.1"
port = 7400
services = ["registry"]
slots = 9
[log]
address = "127.0.0.1"
port = 7500
)";
};

TEST_F(SettingsTest, Parse_ValidText_ReadsAllFields)
{
  const auto settings = ParseSettings(m_validText, "d.toml");
  EXPECT_EQ(settings.place.zone, ZoneName("zone-1"));
  EXPECT_EQ(settings.place.operators.port, 7300);
  EXPECT_EQ(settings.server.slots, 9U);
  EXPECT_TRUE(settings.server.checksFences);
}

TEST_F(SettingsTest, Parse_UnknownField_NamesFileLineAndField)
{
  const auto error = ErrorOf(Replace("slots = 9", "slots = 9\nslotz = 3"));
  EXPECT_NE(error.find("d.toml:14:"), std::string::npos) << error;
  EXPECT_NE(error.find("server.slotz"), std::string::npos) << error;
}

TEST_F(SettingsTest, Parse_MissingField_NamesField)
{
  const auto error = ErrorOf(Replace("zone = \"zone-1\"\n", ""));
  EXPECT_NE(error.find("daemon.zone"), std::string::npos) << error;
}

TEST_F(SettingsTest, Parse_PortOutOfBounds_NamesLine)
{
  const auto error = ErrorOf(Replace("port = 7400", "port = 74000"));
  EXPECT_NE(error.find("d.toml:11:"), std::string::npos) << error;
}

TEST_F(SettingsTest, Parse_HostNameForAddress_NamesField)
{
  const auto error =
    ErrorOf(Replace("address = \"127.0.0.1\"", "address = \"localhost\""));
  EXPECT_NE(error.find("daemon.address"), std::string::npos) << error;
}

TEST_F(SettingsTest, Parse_InvalidToml_NamesLine)
{
  EXPECT_NE(ErrorOf("[daemon\n").find("d.toml:1:"), std::string::npos);
}

}
}
