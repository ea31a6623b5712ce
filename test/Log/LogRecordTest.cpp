#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Log"
#include "src/Log/LogBodies.h"

namespace pistachioshift {
namespace {

class LogRecordTest : public ::testing::Test
{};

RC_GTEST_FIXTURE_PROP(LogRecordTest,
                      Decode_EncodedEnvelope_RoundTrips,
                      (uint64_t aWriter, uint64_t aSequence, bool aHasChunk))
{
  Envelope envelope;
  envelope.id = RecordId{ BootId(aWriter), aSequence };
  envelope.body = *rc::gen::arbitrary<std::string>();
  if (aHasChunk) {
    envelope.chunk = CheckpointChunk{ aWriter, Offset(7), 2, 9, aSequence };
  }
  RC_ASSERT(DecodeEnvelope(EncodeEnvelope(envelope)) == envelope);
}

RC_GTEST_FIXTURE_PROP(LogRecordTest,
                      Decode_AnyBytes_ReturnsValueOrThrowsLogError,
                      (const std::string& aBytes))
{
  try {
    DecodeEnvelope(aBytes);
    internal::DecodeReadAnswer(aBytes);
  } catch (const LogError&) {
    RC_SUCCEED("refused");
  }
}

TEST_F(LogRecordTest, Encode_BodyAboveLimit_IsLogError)
{
  Envelope envelope;
  envelope.body = std::string(kMaxPayloadBytes, 'x');
  EXPECT_THROW(EncodeEnvelope(envelope), LogError);
}

TEST_F(LogRecordTest, DecodeAppend_TooManyRecords_IsLogError)
{
  const std::vector<std::string> most(kMaxAppendRecords, "x");
  const std::vector<std::string> more(kMaxAppendRecords + 1, "x");
  EXPECT_EQ(internal::DecodeAppendRequest(internal::EncodeAppendRequest(most)),
            most);
  EXPECT_THROW(
    internal::DecodeAppendRequest(internal::EncodeAppendRequest(more)),
    LogError);
}

TEST_F(LogRecordTest, DecodeRead_TooManyRecords_IsLogError)
{
  ReadAnswer answer;
  answer.entries.resize(kMaxReadRecords);
  EXPECT_NO_THROW(
    internal::DecodeReadAnswer(internal::EncodeReadAnswer(answer)));
  answer.entries.resize(kMaxReadRecords + 1);
  EXPECT_THROW(internal::DecodeReadAnswer(internal::EncodeReadAnswer(answer)),
               LogError);
}

TEST_F(LogRecordTest, DecodeRead_EncodedAnswer_RoundTrips)
{
  const ReadAnswer answer{ { { Offset(5), "five" }, { Offset(6), "six" } },
                           Offset(5),
                           Offset(9) };
  const auto decoded =
    internal::DecodeReadAnswer(internal::EncodeReadAnswer(answer));
  EXPECT_EQ(decoded.entries, answer.entries);
  EXPECT_EQ(decoded.first, answer.first);
  EXPECT_EQ(decoded.end, answer.end);
}

}
}
