#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <thread>

#include <unistd.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "test/process/HttpSupport.h"
#include "test/process/ProcessSupport.h"

namespace pistachioshift {
namespace {

using test::ChildProcess;

constexpr int kAccepted = 0;
constexpr int kRefused = 1;
constexpr int kBadInput = 2;
constexpr int kUnreachable = 3;

/** \brief pistachioctl as an operator uses it, with the stand-in log. */
class DocumentEditTest : public ::testing::Test
{
protected:
  using Words = std::vector<std::string>;

  explicit DocumentEditTest(const Words& aLogFlags = {})
    : m_folder(std::filesystem::path(::testing::TempDir()) /
               ("document-edit-" + std::to_string(getpid())))
    , m_log("standin_log", aLogFlags)
    , m_port(m_log.WaitForPort())
  {
    std::filesystem::create_directories(m_folder);
    Write("demo.toml", Service("orders", 64));
  }

  ~DocumentEditTest() override { std::filesystem::remove_all(m_folder); }

  static std::string Service(const std::string& aName, int aRanges)
  {
    return "[[service]]\nname = \"" + aName + "\"\ndivision = \"keyed\"\n" +
           "ranges = " + std::to_string(aRanges) + "\nslots = 9\n";
  }

  std::string Path(const std::string& aName) const
  {
    return (m_folder / aName).string();
  }

  void Write(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(Path(aName)) << aText;
  }

  /** \brief A key for the team and the file `teams.toml` that names it. */
  void MakeTeam()
  {
    ChildProcess keygen("pistachioctl",
                        { "document",
                          "keygen",
                          "--team=ops",
                          "--sections=teams,demo",
                          "--out=" + Path("ops.key") });
    std::string teams;
    for (const auto* prefix : { "[[team]]", "name", "keys", "sections" }) {
      teams += keygen.WaitForLine(prefix).value_or("") + "\n";
    }
    ASSERT_EQ(keygen.Wait(), 0);
    Write("teams.toml", teams);
  }

  Words EditWords(const std::string& aSection, const Words& aMore) const
  {
    Words words{ "document",
                 "edit",
                 "--team=ops",
                 "--log=127.0.0.1:" + std::to_string(m_port),
                 "--section=" + aSection,
                 "--file=" + Path(aSection + ".toml"),
                 "--key=" + Path("ops.key") };
    words.insert(words.end(), aMore.begin(), aMore.end());
    return words;
  }

  /** \brief Edits; keeps the verdict's line in m_line. */
  int Edit(const std::string& aSection, const Words& aMore = {})
  {
    ChildProcess edit("pistachioctl", EditWords(aSection, aMore));
    m_line = edit.WaitForLine("").value_or("");
    return edit.Wait();
  }

  void Found()
  {
    MakeTeam();
    ASSERT_EQ(Edit("teams"), kAccepted);
  }

  void SetFault(const std::string& aQuery) const
  {
    ASSERT_EQ(test::HttpPost(m_port, "/faults?" + aQuery).status, 200);
  }

  int WrittenRecords() const
  {
    const auto stats = test::HttpGet(m_port, "/stats").body;
    return nlohmann::json::parse(stats)["records"].get<int>();
  }

  /** \brief A daemon without a backend server; it only follows the log. */
  std::unique_ptr<ChildProcess> StartDaemon(int aNumber) const
  {
    const auto name = "h" + std::to_string(aNumber);
    Write(name + ".toml",
          "[daemon]\nhost = \"" + name +
            "\"\nzone = \"z1\"\nregion = \"r1\"\naddress = \"" +
            AddressOf(aNumber) +
            "\"\ninner_port = 26001\ncallers_port = 26002\n"
            "operators_port = 26003\n[server]\naddress = \"" +
            AddressOf(aNumber) +
            "\"\nport = 26004\nservices = [\"orders\"]\nslots = 9\n"
            "[log]\naddress = \"127.0.0.1\"\nport = " +
            std::to_string(m_port) + "\ncheckpoint_interval_s = 1\n");
    return std::make_unique<ChildProcess>(
      "pistachiod", Words{ "--settings=" + Path(name + ".toml") });
  }

  // Loopback addresses of this process, so that ports can be fixed.
  static std::string AddressOf(int aNumber)
  {
    const int process = getpid();
    return "127." + std::to_string(1 + process % 200) + "." +
           std::to_string(process / 200 % 250) + "." + std::to_string(aNumber);
  }

  /** \brief Reads the document until its list has this line. */
  bool WaitForLine(const std::string& aLine) const
  {
    const auto log = "--log=127.0.0.1:" + std::to_string(m_port);
    const auto until = std::chrono::steady_clock::now() + test::kPatience;
    while (std::chrono::steady_clock::now() < until) {
      ChildProcess show("pistachioctl", { "document", "show", log });
      if (show.WaitForLine(aLine)) {
        return true;
      }
    }
    return false;
  }

  /** \brief Whether the log still has the record at offset 1. */
  bool HasFirstRecord() const
  {
    const auto log = "--log=127.0.0.1:" + std::to_string(m_port);
    ChildProcess tail("pistachioctl", { "log", "tail", "document", log });
    return tail.WaitForLine("1 ").has_value();
  }

  /** \brief Asks daemons 1 to 3 until their report starts like this. */
  bool WaitForReport(const std::string& aStart)
  {
    std::string daemons;
    for (int number = 1; number <= 3; ++number) {
      daemons += (number > 1 ? "," : "") + AddressOf(number) + ":26003";
    }
    const auto until = std::chrono::steady_clock::now() + test::kPatience;
    while (std::chrono::steady_clock::now() < until) {
      ChildProcess status(
        "pistachioctl",
        { "document", "status", "--daemon=" + daemons, "--timeout=1" });
      m_line = status.WaitForLine("").value_or("");
      m_code = status.Wait();
      if (m_line.starts_with(aStart)) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  }

  int m_code = 0;
  std::filesystem::path m_folder;
  ChildProcess m_log;
  uint16_t m_port;
  std::string m_line;
};

TEST_F(DocumentEditTest, Edit_Valid_IsAcceptedWithItsVersion)
{
  Found();
  EXPECT_EQ(Edit("demo"), kAccepted);
  EXPECT_EQ(m_line, "accepted: section 'demo': version 2 is in force");
}

TEST_F(DocumentEditTest, Edit_StaleBase_IsRefusedWithTheNewerVersion)
{
  Found();
  ASSERT_EQ(Edit("demo"), kAccepted);
  Write("demo.toml", Service("orders", 64) + "# late\n");
  EXPECT_EQ(Edit("demo", { "--base=0" }), kRefused);
  EXPECT_EQ(m_line,
            "refused: stale-base: section 'demo': the edit was written against "
            "version 0, but version 2 by team 'ops' is in force, which differs "
            "from this text from line 6 on");
}

TEST_F(DocumentEditTest, Edit_WithoutBaseOfAKnownSection_IsBadInput)
{
  Found();
  ASSERT_EQ(Edit("demo"), kAccepted);
  EXPECT_EQ(Edit("demo"), kBadInput);
}

TEST_F(DocumentEditTest, Edit_InvalidText_IsBadInputAndNotWritten)
{
  Found();
  Write("demo.toml", Service("orders", 0));
  EXPECT_EQ(Edit("demo"), kBadInput);
  EXPECT_EQ(WrittenRecords(), 1);
}

TEST_F(DocumentEditTest, Edit_ForeignKey_IsRefused)
{
  Found();
  std::filesystem::remove(Path("ops.key"));
  MakeTeam();
  EXPECT_EQ(Edit("demo"), kRefused);
  EXPECT_EQ(m_line,
            "refused: bad-signature: section 'demo': the signature is missing "
            "or not by a key of team 'ops'");
}

TEST_F(DocumentEditTest, Edit_AnswerLostAfterTheWrite_IsAcceptedOnce)
{
  Found();
  SetFault("mode=lose-answer&count=1");
  EXPECT_EQ(Edit("demo"), kAccepted);
  EXPECT_EQ(m_line, "accepted: section 'demo': version 2 is in force");
}

TEST_F(DocumentEditTest, Edit_LogDown_IsUnreachable)
{
  Found();
  SetFault("mode=down");
  EXPECT_EQ(Edit("demo", { "--timeout=1" }), kUnreachable);
}

TEST_F(DocumentEditTest, Edits_RacingProcesses_ExactlyOneIsAccepted)
{
  Found();
  // Slow reads and writes make most of them read the same version first; the
  // explicit base makes the others lose as well, whenever they start.
  SetFault("mode=slow&ms=200");
  std::vector<std::unique_ptr<ChildProcess>> racing;
  for (int index = 0; index < 6; ++index) {
    Write("demo.toml", Service("orders-" + std::to_string(index), 64));
    racing.push_back(std::make_unique<ChildProcess>(
      "pistachioctl", EditWords("demo", { "--base=0" })));
    // The file is read before the log is asked.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  int accepted = 0;
  for (auto& edit : racing) {
    const int code = edit->Wait();
    accepted += code == kAccepted ? 1 : 0;
    EXPECT_TRUE(code == kAccepted || code == kRefused) << code;
  }
  EXPECT_EQ(accepted, 1);
  RecordProperty("written", WrittenRecords());
}

TEST_F(DocumentEditTest, Status_DaemonFrozen_IsCountedAsSilentThenCatchesUp)
{
  const auto first = StartDaemon(1);
  const auto second = StartDaemon(2);
  const auto third = StartDaemon(3);
  Found();
  EXPECT_TRUE(WaitForReport("version 1: 3 of 3 daemons")) << m_line;
  EXPECT_EQ(m_code, kAccepted);
  third->Signal(SIGSTOP);
  ASSERT_EQ(Edit("demo"), kAccepted);
  EXPECT_TRUE(WaitForReport("version 2: 2 of 3 daemons")) << m_line;
  EXPECT_EQ(m_code, kRefused);
  third->Signal(SIGCONT);
  EXPECT_TRUE(WaitForReport("version 2: 3 of 3 daemons")) << m_line;
}

/** \brief A log service that keeps four records. */
class DocumentRetentionTest : public DocumentEditTest
{
protected:
  DocumentRetentionTest()
    : DocumentEditTest({ "--retention-records=4" })
  {
  }
};

TEST_F(DocumentRetentionTest, Document_RecordsExpired_LivesOnInCheckpoints)
{
  const auto daemon = StartDaemon(1);
  Found();
  ASSERT_EQ(Edit("demo"), kAccepted);
  for (int slots = 10; slots < 14; ++slots) {
    Write("demo.toml",
          Service("orders", 64) + "# slots " + std::to_string(slots) + "\n");
    ASSERT_EQ(Edit("demo", { "--base=current" }), kAccepted) << m_line;
  }
  const auto version = m_line.substr(m_line.find("version"));
  const auto number = version.substr(8, version.find(" is") - 8);
  EXPECT_TRUE(WaitForLine("section demo version " + number));
  EXPECT_TRUE(WaitForLine("section teams version 1 "));
  EXPECT_FALSE(HasFirstRecord());
  EXPECT_EQ(Edit("demo", { "--base=2" }), kRefused);
  EXPECT_NE(m_line.find("but version " + number), std::string::npos) << m_line;
}

}
}
