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

  static void ExpectSkip(const FollowResult& aResult, FollowSkip aSkip)
  {
    ASSERT_TRUE(std::holds_alternative<FollowSkip>(aResult));
    EXPECT_EQ(std::get<FollowSkip>(aResult), aSkip);
  }
};

TEST_F(FollowerTest, Take_NextOffset_GivesRecord)
{
  Follower follower;
  const auto result = follower.Process(Entry(1, 5, 1));
  ASSERT_TRUE(std::holds_alternative<FollowedRecord>(result));
  EXPECT_EQ(std::get<FollowedRecord>(result).envelope.id.writer, BootId(5));
  EXPECT_EQ(follower.Next(), Offset(2));
}

TEST_F(FollowerTest, Take_OffsetsLeftOut_IsGapAndNotTaken)
{
  Follower follower;
  ExpectSkip(follower.Process(Entry(2, 5, 1)), FollowSkip::kGap);
  EXPECT_EQ(follower.Next(), Offset(1));
}

TEST_F(FollowerTest, Take_SameOffsetTwice_IsOld)
{
  Follower follower;
  follower.Process(Entry(1, 5, 1));
  ExpectSkip(follower.Process(Entry(1, 5, 1)), FollowSkip::kOld);
}

TEST_F(FollowerTest, Take_SecondCopy_IsDuplicateAndTaken)
{
  Follower follower;
  follower.Process(Entry(1, 5, 1));
  follower.Process(Entry(2, 5, 2));
  ExpectSkip(follower.Process(Entry(3, 5, 1)), FollowSkip::kDuplicate);
  EXPECT_EQ(follower.Next(), Offset(4));
}

TEST_F(FollowerTest, Take_MalformedPayload_IsTakenWithoutEffect)
{
  Follower follower;
  ExpectSkip(follower.Process(LogEntry{ Offset(1), "\xff\xff" }),
             FollowSkip::kMalformed);
  EXPECT_EQ(follower.Next(), Offset(2));
}

TEST_F(FollowerTest, Load_Checkpoint_GoesOnAfterItAndKnowsItsWriters)
{
  Follower follower;
  follower.Load(Offset(9), { WriterMark{ BootId(5), 3, Offset(8) } });
  ExpectSkip(follower.Process(Entry(9, 5, 4)), FollowSkip::kOld);
  ExpectSkip(follower.Process(Entry(10, 5, 3)), FollowSkip::kDuplicate);
  EXPECT_TRUE(
    std::holds_alternative<FollowedRecord>(follower.Process(Entry(11, 5, 4))));
}

// Readers forget the same writers, whether they saw all or loaded the marks.
RC_GTEST_FIXTURE_PROP(FollowerTest,
                      Writers_MoreThanBound_AreForgottenByAllAlike,
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
