#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Log"
#include "test/Log/SimulationSupport.h"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;

class CheckpointTest : public ::testing::Test
{
protected:
  static constexpr size_t kChunkSize = 16;

  static std::vector<Envelope> Split(const Checkpoint& aCheckpoint,
                                     uint64_t aWriter,
                                     uint64_t aNumber = 1)
  {
    std::vector<Envelope> envelopes;
    for (const auto& part : SplitCheckpoint(aCheckpoint, aNumber, kChunkSize)) {
      const RecordId id{ BootId(aWriter), envelopes.size() + 1 };
      envelopes.push_back(Envelope{ id, part.body, part.chunk });
    }
    return envelopes;
  }

  static Checkpoint Sample()
  {
    Checkpoint checkpoint;
    checkpoint.through = Offset(12);
    checkpoint.marks = { WriterMark{ BootId(3), 4, Offset(11) } };
    checkpoint.state = std::string(100, 's');
    return checkpoint;
  }

  std::optional<Checkpoint> AddAll(const std::vector<Envelope>& aEnvelopes)
  {
    std::optional<Checkpoint> last;
    for (const auto& envelope : aEnvelopes) {
      if (auto complete = m_assembler.Add(envelope)) {
        last = std::move(complete);
      }
    }
    return last;
  }

  CheckpointAssembler m_assembler;
};

RC_GTEST_FIXTURE_PROP(CheckpointTest,
                      Add_ChunksShuffledAndRepeated_ReturnsCheckpointOnce,
                      (std::string aState))
{
  Checkpoint checkpoint = Sample();
  checkpoint.state = std::move(aState);
  auto parts = Split(checkpoint, 1);
  const auto repeated = *rc::gen::elementOf(parts);
  parts.insert(parts.begin(), repeated);
  RandomEngine random(*rc::gen::arbitrary<uint64_t>());
  std::shuffle(parts.begin(), parts.end() - 1, random);
  RC_ASSERT(AddAll(parts) == checkpoint);
}

TEST_F(CheckpointTest, Split_EmptyState_HasOneChunk)
{
  EXPECT_EQ(SplitCheckpoint(Checkpoint{}, 1).size(), 1U);
}

TEST_F(CheckpointTest, Split_AboveLimit_IsLogError)
{
  Checkpoint checkpoint;
  checkpoint.state = std::string(kMaxCheckpointBytes, 's');
  EXPECT_THROW(SplitCheckpoint(checkpoint, 1), LogError);
}

TEST_F(CheckpointTest, Add_ChunkMissing_ReturnsNothing)
{
  auto parts = Split(Sample(), 1);
  parts.pop_back();
  EXPECT_FALSE(AddAll(parts));
}

TEST_F(CheckpointTest, Add_ChunkCorrupted_ReturnsNothing)
{
  auto parts = Split(Sample(), 1);
  parts[3].body[0] ^= 1;
  EXPECT_FALSE(AddAll(parts));
}

TEST_F(CheckpointTest, Add_ChunksOfTwoWritersMixed_ReturnsNeither)
{
  auto one = Split(Sample(), 1);
  const auto two = Split(Sample(), 2);
  one.back() = two.back();
  EXPECT_FALSE(AddAll(one));
}

TEST_F(CheckpointTest, Add_ManyIncomplete_EvictsTheOldest)
{
  const auto oldest = Split(Sample(), 1);
  m_assembler.Add(oldest[0]);
  for (uint64_t writer = 2; writer <= 5; ++writer) {
    m_assembler.Add(Split(Sample(), writer)[0]);
  }
  const std::vector<Envelope> rest(oldest.begin() + 1, oldest.end());
  EXPECT_FALSE(AddAll(rest));
}

TEST_F(CheckpointTest, Outage_LongerThanRetention_CheckpointIsWrittenAgain)
{
  test::Simulation simulation(2, true);
  simulation.Run(
    { { test::Simulation::kSubmit, 0 }, { test::Simulation::kSubmit, 1 } });
  simulation.RunWithoutFaults();
  simulation.ExpireAll();
  simulation.AddProcess();
  simulation.RunWithoutFaults();
  simulation.CheckConverged();
  EXPECT_EQ(simulation.CheckpointsLoaded(), 1U);
}

TEST_F(CheckpointTest, Outage_EveryStateLost_ReadersWaitAndWriteNothing)
{
  test::Simulation simulation(2, true);
  simulation.Run(
    { { test::Simulation::kSubmit, 0 }, { test::Simulation::kSubmit, 1 } });
  simulation.RunWithoutFaults();
  simulation.ExpireAll();
  simulation.RestartAll();
  const Offset end = simulation.Log().End();
  simulation.RunWithoutFaults();
  EXPECT_THROW(simulation.CheckConverged(), std::logic_error);
  EXPECT_EQ(simulation.Log().End(), end);
}

}
}
