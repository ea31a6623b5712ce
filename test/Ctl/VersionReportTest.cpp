#include <gtest/gtest.h>

#include "src/Ctl/CtlError.h"
#include "src/Ctl/VersionReport.h"

namespace pistachioshift {
namespace {

class VersionReportTest : public ::testing::Test
{
protected:
  /** \brief Status of a daemon in a mesh of daemons 1 to 4. */
  static DaemonStatus Status(int64_t aDaemon,
                             int64_t aVersion,
                             int64_t aSectionVersion = 0)
  {
    DaemonStatus status;
    status.daemon = DaemonId(aDaemon);
    status.boot = std::to_string(aDaemon);
    status.documentVersion = Offset(aVersion);
    if (aSectionVersion > 0) {
      status.sections[SectionName("demo")] = Offset(aSectionVersion);
    }
    for (int64_t member = 1; member <= 4; ++member) {
      MemberStatus other{ DaemonId(member) };
      other.address = "10.0.0." + std::to_string(member);
      other.operatorsPort = 70;
      status.members.push_back(other);
    }
    return status;
  }

  static VersionReport Count(std::vector<DaemonStatus> aAnswers,
                             std::vector<Endpoint> aSilent = {})
  {
    return CountVersions(MeshAnswers{ std::move(aAnswers), std::move(aSilent) },
                         std::nullopt);
  }
};

TEST_F(VersionReportTest, AllDaemons_SameVersion_AreUniform)
{
  const auto report =
    Count({ Status(1, 9), Status(2, 9), Status(3, 9), Status(4, 9) });
  EXPECT_TRUE(report.IsUniform());
  EXPECT_EQ(FormatReport(report), "version 9: 4 of 4 daemons\n");
}

TEST_F(VersionReportTest, SomeDaemons_BehindOrSilent_AreNamed)
{
  const auto report = Count({ Status(1, 9), Status(2, 7), Status(3, 9) });
  EXPECT_FALSE(report.IsUniform());
  EXPECT_EQ(FormatReport(report),
            "version 9: 2 of 4 daemons\n"
            "version 7: 1 of 4 daemons, behind: 2\n"
            "no answer: 1 of 4 daemons: 4\n");
}

TEST_F(VersionReportTest, SilentEndpoint_OfAMember_CountsOnce)
{
  const auto report = Count({ Status(1, 9), Status(2, 9), Status(3, 9) },
                            { { "10.0.0.4", 70 }, { "10.0.0.9", 70 } });
  EXPECT_EQ(report.silent, (std::vector<std::string>{ "4", "10.0.0.9:70" }));
}

TEST_F(VersionReportTest, Daemon_AskedTwice_CountsOnce)
{
  const auto report = Count({ Status(1, 9), Status(1, 9) });
  EXPECT_EQ(report.daemons.at(Offset(9)).size(), 1U);
}

TEST_F(VersionReportTest, DaemonsBeforeTheyJoin_CountEachByHost)
{
  DaemonStatus first;
  first.boot = "a";
  first.host = HostName("h1");
  auto second = first;
  second.boot = "b";
  const auto report = Count({ first, second });
  EXPECT_EQ(report.daemons.at(Offset(0)).size(), 2U);
  EXPECT_EQ(report.daemons.at(Offset(0)).front(), "host h1");
}

TEST_F(VersionReportTest, Section_NotInForce_CountsAsVersionZero)
{
  const MeshAnswers answers{ { Status(1, 9, 5), Status(2, 4) }, {} };
  const auto report = CountVersions(answers, SectionName("demo"));
  EXPECT_EQ(report.daemons.at(Offset(5)).size(), 1U);
  EXPECT_EQ(report.daemons.at(Offset(0)).size(), 1U);
}

TEST_F(VersionReportTest, StatusPage_OfADaemon_IsRead)
{
  const auto status = ParseDaemonStatus(R"({
    "daemon": 3, "host": "h3", "zone": "z1", "planner": 1,
    "log": {"document": {"connected": true}},
    "document": {"version": 12, "sections": {"demo": 12, "teams": 1}},
    "members": [{"daemon": 3, "host": "h3", "zone": "z1",
                 "address": "127.0.0.3", "leaving": true}],
    "entries": [{"service": "orders", "range": 5, "pinned": "", "entry": 8,
                 "owner": 3, "heirs": [4, 5], "rank": 1, "holder": 4}]})");
  EXPECT_EQ(status.daemon, DaemonId(3));
  EXPECT_TRUE(status.logConnected);
  EXPECT_EQ(status.sections.at(SectionName("demo")), Offset(12));
  EXPECT_TRUE(status.members.at(0).leaving);
  EXPECT_EQ(status.entries.at(0).holder, DaemonId(4));
  EXPECT_EQ(status.entries.at(0).heirs.size(), 2U);
}

TEST_F(VersionReportTest, StatusPage_NotJsonOrWrongTypes_IsUnreachable)
{
  EXPECT_THROW(ParseDaemonStatus("<html>"), UnreachableError);
  EXPECT_THROW(ParseDaemonStatus("[]"), UnreachableError);
  EXPECT_THROW(ParseDaemonStatus(R"({"daemon": "x"})"), UnreachableError);
}

}
}
