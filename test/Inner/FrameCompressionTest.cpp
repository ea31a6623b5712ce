#include <memory>
#include <random>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Inner"

namespace pistachioshift {
namespace {

constexpr size_t kHeads = 200;

/** \brief Head of a request as callers send it; ids and keys differ. */
RequestOpen
SampleHead(std::mt19937_64& aRandom)
{
  RequestOpen open;
  open.stream = StreamId(static_cast<int64_t>(aRandom() % 100'000));
  open.request = { aRandom(), aRandom() };
  open.service = ServiceName("checkout");
  open.key = fmt::format("basket-{:06}", aRandom() % 1'000'000);
  open.head.method = "POST";
  open.head.target = fmt::format("/v1/baskets/{}/lines", open.key);
  open.head.headers.Add("Host", "checkout.internal");
  open.head.headers.Add("User-Agent", "storefront/4.18");
  open.head.headers.Add("Accept", "application/json");
  open.head.headers.Add("Content-Type", "application/json");
  open.head.headers.Add("X-Request-Id", fmt::format("{:016x}", aRandom()));
  open.head.headers.Add("X-Deadline-Ms",
                        fmt::format("{}", 200 + aRandom() % 800));
  open.head.headers.Add("X-Trace", fmt::format("{:016x}", aRandom()));
  open.remaining = std::chrono::microseconds(aRandom() % 800'000);
  open.known = TablePosition(aRandom() % 100'000);
  open.fingerprint = RequestFingerprint(aRandom());
  return open;
}

std::string
RandomBytes(std::mt19937_64& aRandom, size_t aSize)
{
  std::string bytes(aSize, '\0');
  for (auto& item : bytes) {
    item = static_cast<char>(aRandom());
  }
  return bytes;
}

/** \brief A frame of any kind and size that requests exchange. */
Frame
SampleFrame(std::mt19937_64& aRandom)
{
  constexpr size_t kLongestBody = size_t{ 8 } * 1024;
  const StreamId stream(static_cast<int64_t>(aRandom() % 1000));
  switch (aRandom() % 6) {
    case 0:
      return Ping{ static_cast<int64_t>(aRandom() % 1000) };
    case 1:
      return Refused{ stream };
    case 2:
      return BodyChunk{ stream, RandomBytes(aRandom, aRandom() % 2000), true };
    case 3:
      return BodyChunk{ stream, RandomBytes(aRandom, kLongestBody), false };
    case 4:
      return RecordsReply{ StreamName("log"),
                           { { Offset(1), std::string(80'000, 'r') } } };
    default:
      return SampleHead(aRandom);
  }
}

/** \brief Reads what one end sends, as Connection does. */
class Reader
{
public:
  Reader()
  {
    m_compression.OnHelloSent(Hello{ .compression = kDeflateBlocks });
  }

  /** \brief Appends the frames in some bytes, which end with a whole block. */
  void Read(std::string_view aBytes)
  {
    while (!aBytes.empty()) {
      uint32_t prefix = 0;
      for (size_t index = 0; index < kFrameLengthBytes; ++index) {
        prefix = prefix << 8U | static_cast<unsigned char>(aBytes.at(index));
      }
      aBytes.remove_prefix(kFrameLengthBytes);
      const auto length = prefix & ~kCompressedBlockFlag;
      const auto content = aBytes.substr(0, length);
      aBytes.remove_prefix(length);
      if ((prefix & kCompressedBlockFlag) == 0) {
        ++rawFrames;
        frames.emplace_back(content);
        continue;
      }
      const auto block = m_compression.Read(content);
      for (const auto& frame : internal::SplitBlock(block)) {
        frames.emplace_back(frame);
      }
    }
  }

  std::vector<std::string> frames;
  size_t rawFrames = 0;

private:
  FrameCompression m_compression;
};

class FrameCompressionTest : public ::testing::Test
{
protected:
  FrameCompressionTest()
  {
    m_sender.OnHelloSent(Hello{ .compression = kDeflateBlocks });
    m_sender.OnHelloReceived(Hello{ .compression = kDeflateBlocks });
  }

  /** \brief Compresses bytes as one block, without its length prefix. */
  static std::string BlockOf(std::string_view aBytes)
  {
    internal::BlockDeflater deflater;
    return deflater.Deflate(aBytes).substr(kFrameLengthBytes);
  }

  std::string Send(const Frame& aFrame)
  {
    return m_sender.Add(aFrame, EncodeFrame(aFrame));
  }

  std::shared_ptr<FrameByteTotals> m_totals =
    std::make_shared<FrameByteTotals>();
  FrameCompression m_sender{ m_totals };
  std::mt19937_64 m_random{ 20261204 };
};

// Guards against frames that are lost, damaged or overtaken by raw ones.
RC_GTEST_FIXTURE_PROP(FrameCompressionTest,
                      Read_MixedFramesInBatches_AllArriveInOrder,
                      ())
{
  std::mt19937_64 random(*rc::gen::arbitrary<uint64_t>());
  const auto batches =
    *rc::gen::container<std::vector<size_t>>(rc::gen::inRange<size_t>(0, 100));
  Reader reader;
  std::vector<std::string> sent;
  for (const auto batch : batches) {
    std::string bytes;
    for (size_t count = 0; count < batch; ++count) {
      const auto frame = SampleFrame(random);
      sent.push_back(EncodeFrame(frame).substr(kFrameLengthBytes));
      bytes += Send(frame);
    }
    bytes += m_sender.Flush();
    reader.Read(bytes);
    RC_ASSERT(m_sender.PendingBytes() == 0U);
  }
  RC_ASSERT(reader.frames == sent);
}

// Guards against a damaged or hostile stream that ends the process or inflates
// without bound.
RC_GTEST_FIXTURE_PROP(FrameCompressionTest,
                      Read_DamagedBlock_ThrowsOrStaysInBounds,
                      ())
{
  std::string frames;
  for (int count = 0; count < 5; ++count) {
    frames += EncodeFrame(SampleHead(m_random));
  }
  auto block = BlockOf(frames);
  const auto position = *rc::gen::inRange<size_t>(0, block.size());
  block[position] = *rc::gen::arbitrary<char>();
  block.resize(*rc::gen::inRange<size_t>(0, block.size() + 1));
  internal::BlockInflater inflater;
  try {
    const auto bytes = inflater.Inflate(block);
    RC_ASSERT(bytes.size() <= kMaxBlockBytes);
    RC_ASSERT(internal::SplitBlock(bytes).size() <= kMaxBlockFrames);
  } catch (const InnerError&) {
    RC_SUCCEED("refused");
  }
}

RC_GTEST_FIXTURE_PROP(FrameCompressionTest,
                      Read_ArbitraryBytes_ThrowsOrStaysInBounds,
                      (const std::string& aBytes))
{
  internal::BlockInflater inflater;
  try {
    RC_ASSERT(inflater.Inflate(aBytes).size() <= kMaxBlockBytes);
  } catch (const InnerError&) {
    RC_SUCCEED("refused");
  }
}

// Guards against a block of some kilobytes that takes all memory.
TEST_F(FrameCompressionTest, Inflate_MoreThanTheLimit_Throws)
{
  internal::BlockInflater within;
  const std::string longest(kMaxBlockBytes, '\0');
  EXPECT_EQ(within.Inflate(BlockOf(longest)).size(), kMaxBlockBytes);
  internal::BlockInflater beyond;
  EXPECT_THROW(beyond.Inflate(BlockOf(longest + '\0')), InnerError);
  internal::BlockInflater farBeyond;
  const std::string huge(64 * kMaxBlockBytes, '\0');
  const auto block = BlockOf(huge);
  ASSERT_LT(block.size(), kMaxFrameBytes);
  EXPECT_THROW(farBeyond.Inflate(block), InnerError);
}

// Guards against a stream that ends and is continued by other data.
TEST_F(FrameCompressionTest, Inflate_EndOfStream_Throws)
{
  // A final block with fixed codes and no data.
  const std::string final("\x03\x00", 2);
  internal::BlockInflater inflater;
  EXPECT_THROW(inflater.Inflate(final), InnerError);
}

// Guards against a short block that causes thousands of answers.
TEST_F(FrameCompressionTest, SplitBlock_TooManyFrames_Throws)
{
  std::string frames;
  for (size_t count = 0; count < kMaxBlockFrames; ++count) {
    frames += EncodeFrame(Ping{ 1 });
  }
  EXPECT_EQ(internal::SplitBlock(frames).size(), kMaxBlockFrames);
  EXPECT_THROW(internal::SplitBlock(frames + EncodeFrame(Ping{ 1 })),
               InnerError);
}

TEST_F(FrameCompressionTest, SplitBlock_EmptyOrTruncated_Throws)
{
  const auto frame = EncodeFrame(Refused{ StreamId(1) });
  EXPECT_THROW(internal::SplitBlock({}), InnerError);
  for (size_t size = 1; size < frame.size(); ++size) {
    EXPECT_THROW(internal::SplitBlock(frame.substr(0, size)), InnerError);
  }
}

// Bodies are incompressible in general: they would cost processor time and
// displace the heads from the window.
TEST_F(FrameCompressionTest, Add_LongBody_IsSentRawAndInOrder)
{
  constexpr size_t kBodyBytes = 16384;
  const auto head = SampleHead(m_random);
  const BodyChunk body{ StreamId(1), RandomBytes(m_random, kBodyBytes), false };
  EXPECT_TRUE(Send(head).empty());
  auto bytes = Send(body);
  EXPECT_TRUE(bytes.ends_with(EncodeFrame(body)));
  Send(head);
  bytes += m_sender.Flush();
  Reader reader;
  reader.Read(bytes);
  ASSERT_EQ(reader.frames.size(), 3U);
  EXPECT_EQ(reader.rawFrames, 1U);
}

// Guards against waiting frames that take more and more memory.
TEST_F(FrameCompressionTest, Add_WithoutFlush_PendingBytesAreBounded)
{
  constexpr size_t kMaxPending = size_t{ 64 } * 1024;
  const RecordsReply reply{ StreamName("log"),
                            { { Offset(1), RandomBytes(m_random, 1500) } } };
  for (size_t count = 0; count < 3 * kMaxBlockFrames; ++count) {
    Send(reply);
    EXPECT_LE(m_sender.PendingBytes(), kMaxPending);
  }
}

// Guards against a peer of an earlier version that gets blocks: it would end
// the connection as malformed.
TEST_F(FrameCompressionTest, Writes_UnlessBothEndsStateIt_False)
{
  const Hello offers{ .compression = kDeflateBlocks };
  const Hello later{ .compression = kDeflateBlocks + 1 };
  const std::vector<Hello> others{ Hello{}, later };
  for (const auto& other : others) {
    FrameCompression asking;
    asking.OnHelloSent(offers);
    EXPECT_FALSE(asking.Writes());
    asking.OnHelloReceived(other);
    EXPECT_FALSE(asking.Writes());
    FrameCompression notAsking;
    notAsking.OnHelloSent(other);
    notAsking.OnHelloReceived(offers);
    EXPECT_FALSE(notAsking.Writes());
    EXPECT_FALSE(notAsking.Reads());
  }
}

// The purpose of compression: heads repeat, so each batch of one head takes at
// most half of its bytes.
TEST_F(FrameCompressionTest, Flush_TypicalHeads_TakeAtMostHalf)
{
  size_t plain = 0;
  size_t compressed = 0;
  for (size_t count = 0; count < kHeads; ++count) {
    const auto head = SampleHead(m_random);
    plain += EncodeFrame(head).size();
    compressed += Send(head).size() + m_sender.Flush().size();
  }
  RecordProperty("plain", static_cast<int>(plain));
  RecordProperty("compressed", static_cast<int>(compressed));
  fmt::print("{} heads: {} bytes, compressed {}\n", kHeads, plain, compressed);
  EXPECT_LE(2 * compressed, plain);
  EXPECT_EQ(m_totals->sentFrames, plain);
  EXPECT_EQ(m_totals->sentWire, compressed);
}

}
}
