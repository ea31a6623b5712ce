#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Log"
#include "test/Log/WorldSupport.h"

namespace pistachioshift {
namespace {

using namespace std::chrono_literals;

class CheckpointTest : public ::testing::Test
{
protected:
  static constexpr size_t kPartBytes = 16;

  static std::vector<Envelope> Split(const Checkpoint& aCheckpoint,
                                     uint64_t aWriter,
                                     uint64_t aNumber = 1)
  {
    std::vector<Envelope> envelopes;
    for (const auto& part : SplitCheckpoint(aCheckpoint, aNumber, kPartBytes)) {
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

  std::optional<Checkpoint> TakeAll(const std::vector<Envelope>& aEnvelopes)
  {
    std::optional<Checkpoint> last;
    for (const auto& envelope : aEnvelopes) {
      if (auto complete = m_reader.Add(envelope)) {
        last = std::move(complete);
      }
    }
    return last;
  }

  CheckpointAssembler m_reader;
};

RC_GTEST_FIXTURE_PROP(CheckpointTest,
                      Take_PartsShuffledAndRepeated_GivesCheckpointOnce,
                      (std::string aState))
{
  Checkpoint checkpoint = Sample();
  checkpoint.state = std::move(aState);
  auto parts = Split(checkpoint, 1);
  const auto repeated = *rc::gen::elementOf(parts);
  parts.insert(parts.begin(), repeated);
  RandomEngine random(*rc::gen::arbitrary<uint64_t>());
  std::shuffle(parts.begin(), parts.end() - 1, random);
  RC_ASSERT(TakeAll(parts) == checkpoint);
}

TEST_F(CheckpointTest, Split_EmptyState_HasOnePart)
{
  EXPECT_EQ(SplitCheckpoint(Checkpoint{}, 1).size(), 1U);
}

TEST_F(CheckpointTest, Split_AboveLimit_IsLogError)
{
  Checkpoint checkpoint;
  checkpoint.state = std::string(kMaxCheckpointBytes, 's');
  EXPECT_THROW(SplitCheckpoint(checkpoint, 1), LogError);
}

TEST_F(CheckpointTest, Take_PartMissing_GivesNothing)
{
  auto parts = Split(Sample(), 1);
  parts.pop_back();
  EXPECT_FALSE(TakeAll(parts));
}

TEST_F(CheckpointTest, Take_PartChanged_GivesNothing)
{
  auto parts = Split(Sample(), 1);
  parts[3].body[0] ^= 1;
  EXPECT_FALSE(TakeAll(parts));
}

TEST_F(CheckpointTest, Take_PartsOfTwoWritersMixed_GivesNeither)
{
  auto one = Split(Sample(), 1);
  const auto two = Split(Sample(), 2);
  one.back() = two.back();
  EXPECT_FALSE(TakeAll(one));
}

TEST_F(CheckpointTest, Take_ManyUnfinished_ForgetsTheOldest)
{
  const auto oldest = Split(Sample(), 1);
  m_reader.Add(oldest[0]);
  for (uint64_t writer = 2; writer <= 5; ++writer) {
    m_reader.Add(Split(Sample(), writer)[0]);
  }
  const std::vector<Envelope> rest(oldest.begin() + 1, oldest.end());
  EXPECT_FALSE(TakeAll(rest));
}

TEST_F(CheckpointTest, Outage_LongerThanRetention_EndsByRewrittenCheckpoint)
{
  test::World world(2, true);
  world.Run({ { test::World::kSubmit, 0 }, { test::World::kSubmit, 1 } });
  world.Heal();
  world.ExpireAll();
  world.AddProcess();
  world.Heal();
  world.CheckSettled();
  EXPECT_EQ(world.CheckpointsLoaded(), 1U);
}

TEST_F(CheckpointTest, Outage_EveryStateLost_ReadersWaitAndWriteNothing)
{
  test::World world(2, true);
  world.Run({ { test::World::kSubmit, 0 }, { test::World::kSubmit, 1 } });
  world.Heal();
  world.ExpireAll();
  world.RestartAll();
  const Offset end = world.Log().End();
  world.Heal();
  EXPECT_THROW(world.CheckSettled(), std::logic_error);
  EXPECT_EQ(world.Log().End(), end);
}

}
}
