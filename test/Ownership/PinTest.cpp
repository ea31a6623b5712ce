#include <algorithm>
#include <optional>

#include <gtest/gtest.h>

#include "test/Ownership/ViewSupport.h"

namespace pistachioshift {
namespace {

const EntryKey kPin{ kRegistry, RangeIndex(0), "outlet-1" };

class PinTest : public testing::Test
{
protected:
  void SetUp() override
  {
    for (uint64_t index = 0; index < 5; ++index) {
      m_members.push_back(m_stream.Join(index));
    }
    for (const auto member : m_members) {
      m_stream.Append(WitnessSetRecord{ member, {}, WitnessesOf(member) });
    }
    m_stream.ClaimTerm(m_members[0]);
    m_stream.Assign(RangeKey(0), std::nullopt, { m_members[0], m_members[1] });
    m_stream.Hold(RangeKey(0), m_members[0]);
    m_node.emplace(
      m_members[0], m_stream.view, NodeSettings(), RandomEngine(1), m_now);
    m_node->OnTick(m_now);
    for (const auto witness : WitnessesOf(m_members[0])) {
      const RenewAck ack{ 1, m_stream.view.Applied(), true, false, {} };
      m_node->OnMessage(witness, ack, m_now);
    }
    m_node->TakeEffects();
  }

  std::vector<DaemonId> WitnessesOf(DaemonId aLeaseholder) const
  {
    std::vector<DaemonId> witnesses;
    for (const auto member : m_members) {
      if (member != aLeaseholder && witnesses.size() < kWitnesses) {
        witnesses.push_back(member);
      }
    }
    return witnesses;
  }

  MonoTime m_now{ std::chrono::hours(1) };
  Stream m_stream;
  std::vector<DaemonId> m_members;
  std::optional<Node> m_node;
};

TEST_F(PinTest, Pin_OfHeldRange_IsStartedWithTheRangesToken)
{
  const auto token = m_node->MayServe(RangeKey(0), m_now);
  ASSERT_TRUE(token);
  const auto& term = m_stream.view.Term();
  m_node->OnRecord(Offset(m_stream.offset + 1),
                   PinRecord{ term.term, term.planner, { kPin } },
                   m_now);
  EXPECT_EQ(m_node->MayServe(kPin, m_now), token);
  const auto effects = m_node->TakeEffects();
  const auto started = std::ranges::count_if(effects, [&](const auto& aEffect) {
    const auto* start = std::get_if<EntryStarted>(&aEffect);
    return start != nullptr && start->key == kPin && start->token == *token;
  });
  EXPECT_EQ(started, 1);
}

}
}
