#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Log"

namespace pistachioshift {
namespace {

class FollowerTest : public ::testing::Test
{
protected:
  static LogEntry Entry(int64_t aOffset, uint64_t aWriter, uint64_t aSequence)
  {
    Envelope envelope;
    envelope.id = RecordId{ BootId(aWriter), aSequence };
    return LogEntry{ Offset(aOffset), EncodeEnvelope(envelope) };
  }

  static void ExpectSkipped(const FollowResult& aResult, SkipReason aSkip)
  {
    ASSERT_TRUE(std::holds_alternative<SkipReason>(aResult));
    EXPECT_EQ(std::get<SkipReason>(aResult), aSkip);
  }
};

TEST_F(FollowerTest, Process_NextOffset_ReturnsRecord)
{
  Follower follower;
  const auto result = follower.Process(Entry(1, 5, 1));
  ASSERT_TRUE(std::holds_alternative<FollowedRecord>(result));
  EXPECT_EQ(std::get<FollowedRecord>(result).envelope.id.writer, BootId(5));
  EXPECT_EQ(follower.Next(), Offset(2));
}

TEST_F(FollowerTest, Process_OffsetsSkipped_IsGapAndNotProcessed)
{
  Follower follower;
  ExpectSkipped(follower.Process(Entry(2, 5, 1)), SkipReason::kGap);
  EXPECT_EQ(follower.Next(), Offset(1));
}

TEST_F(FollowerTest, Process_SameOffsetTwice_IsAlreadyProcessed)
{
  Follower follower;
  follower.Process(Entry(1, 5, 1));
  ExpectSkipped(follower.Process(Entry(1, 5, 1)),
                SkipReason::kAlreadyProcessed);
}

TEST_F(FollowerTest, Process_RepeatedCopy_IsDuplicateAndAdvances)
{
  Follower follower;
  follower.Process(Entry(1, 5, 1));
  follower.Process(Entry(2, 5, 2));
  ExpectSkipped(follower.Process(Entry(3, 5, 1)), SkipReason::kDuplicate);
  EXPECT_EQ(follower.Next(), Offset(4));
}

TEST_F(FollowerTest, Process_MalformedPayload_IsSkipped)
{
  Follower follower;
  ExpectSkipped(follower.Process(LogEntry{ Offset(1), "\xff\xff" }),
                SkipReason::kMalformed);
  EXPECT_EQ(follower.Next(), Offset(2));
}

TEST_F(FollowerTest, Load_Checkpoint_ContinuesAfterItWithItsWriters)
{
  Follower follower;
  follower.Load(Offset(9), { WriterMark{ BootId(5), 3, Offset(8) } });
  ExpectSkipped(follower.Process(Entry(9, 5, 4)),
                SkipReason::kAlreadyProcessed);
  ExpectSkipped(follower.Process(Entry(10, 5, 3)), SkipReason::kDuplicate);
  EXPECT_TRUE(
    std::holds_alternative<FollowedRecord>(follower.Process(Entry(11, 5, 4))));
}

// Readers evict the same writers, whether they read all records or loaded the
// marks from a checkpoint.
RC_GTEST_FIXTURE_PROP(FollowerTest,
                      Writers_MoreThanBound_AllReadersEvictTheSame,
                      (const std::vector<uint8_t>& aWriters))
{
  constexpr size_t kBound = 4;
  WriterMarks all(kBound);
  const auto split = *rc::gen::inRange<size_t>(0, aWriters.size() + 1);
  WriterMarks loaded(kBound);
  loaded.Admit(RecordId{ BootId(1), 1000 }, Offset(1));
  for (size_t at = 0; at < aWriters.size(); ++at) {
    if (at == split) {
      loaded.Load(all.Marks());
    }
    const Offset offset(static_cast<int64_t>(at) + 1);
    const RecordId id{ BootId(aWriters[at] % 8), at / 3 + 1 };
    const bool admitted = all.Admit(id, offset);
    RC_ASSERT(at < split || loaded.Admit(id, offset) == admitted);
    RC_ASSERT(all.Marks().size() <= kBound);
  }
}

}
}
