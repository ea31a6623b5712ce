#include <memory>

#include <gtest/gtest.h>

#include "test/process/MeshSupport.h"

namespace pistachioshift {
namespace {

using test::ChildProcess;
using test::WaitUntil;

constexpr int kAccepted = 0;
constexpr int kRefused = 1;
constexpr int kBase = 2; ///< Version of section "demo" after the start.

/** \brief Edits by pistachioctl while daemons follow the log. */
class OperatorRaceTest : public ::testing::Test
{
protected:
  OperatorRaceTest()
    : m_mesh({ .hosts = 3 })
  {
  }

  /** \brief Starts an edit of section "demo" written against kBase. */
  std::unique_ptr<ChildProcess> StartEdit(const std::string& aName)
  {
    m_mesh.Write(aName, m_mesh.Document() + "# " + aName + "\n");
    const auto base = std::to_string(kBase);
    return std::make_unique<ChildProcess>(
      "pistachioctl", m_mesh.EditWords("demo", aName, base));
  }

  int DemoVersion(size_t aIndex)
  {
    return m_mesh.Host(aIndex).Status()["document"]["sections"]["demo"];
  }

  void ExpectInForce(int aVersion)
  {
    for (size_t index = 0; index < m_mesh.Size(); ++index) {
      EXPECT_TRUE(WaitUntil([&] { return DemoVersion(index) >= aVersion; }));
      EXPECT_EQ(DemoVersion(index), aVersion);
    }
  }

  test::Mesh m_mesh;
};

TEST_F(OperatorRaceTest, Edits_SameBase_OneIsAcceptedAndInForceEverywhere)
{
  // Slow answers let both read the same version before either writes.
  m_mesh.SetLogFault("mode=slow&ms=200");
  const auto first = StartEdit("first.toml");
  const auto second = StartEdit("second.toml");
  const auto firstLine = first->WaitForLine("").value_or("");
  const auto secondLine = second->WaitForLine("").value_or("");
  const int firstCode = first->Wait();
  const int secondCode = second->Wait();
  m_mesh.SetLogFault("mode=none");

  EXPECT_EQ(std::min(firstCode, secondCode), kAccepted);
  EXPECT_EQ(std::max(firstCode, secondCode), kRefused);
  const auto& refusal = firstCode == kRefused ? firstLine : secondLine;
  const int accepted = kBase + 1;
  EXPECT_NE(refusal.find("but version " + std::to_string(accepted)),
            std::string::npos)
    << refusal;
  ExpectInForce(accepted);
}

TEST_F(OperatorRaceTest, Edit_AnswerLost_IsAcceptedOnceAndInForceEverywhere)
{
  m_mesh.SetLogFault("mode=lose-answer&count=1");
  const auto edit = StartEdit("lost.toml");
  const auto line = edit->WaitForLine("").value_or("");
  EXPECT_EQ(edit->Wait(), kAccepted) << line;
  ExpectInForce(kBase + 1);
}

}
}
