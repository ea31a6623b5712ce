#include "src/Inner/FrameCompression.h"

#include <algorithm>
#include <array>

#include <zlib.h>

#include "src/Inner/InnerError.h"

namespace pistachioshift {

namespace {

/** Frames that wait are sent once they exceed this size. */
constexpr size_t kMaxPendingBytes = size_t{ 64 } * 1024;

/** Shorter batches, such as a ping or a credit alone, are sent as they are: a
 * block takes about as many bytes. */
constexpr size_t kMinBlockBytes = 32;

/** Growth of the buffer for an inflated block, so that a damaged block takes
 * no more memory than it inflates to. */
constexpr size_t kInflateStepBytes = size_t{ 4 } * 1024;

/** Last bytes of each sync flush; left out of blocks. */
constexpr std::string_view kSyncMarker("\0\0\xff\xff", 4);

/** Room for a sync flush beyond deflateBound(). If a flush fills the buffer
 * exactly, the next call repeats its marker. */
constexpr size_t kSyncFlushBytes = 16;

constexpr size_t kPrefixBits = 8;

Bytef*
ToZlib(const char* aBytes)
{
  // zlib declares its input without const, but doesn't write to it.
  return reinterpret_cast<Bytef*>(const_cast<char*>(aBytes));
}

void
WritePrefix(std::string& aBlock)
{
  const auto length = static_cast<uint32_t>(aBlock.size() - kFrameLengthBytes) |
                      kCompressedBlockFlag;
  for (size_t index = 0; index < kFrameLengthBytes; ++index) {
    const auto shift = kPrefixBits * (kFrameLengthBytes - 1 - index);
    aBlock[index] = static_cast<char>((length >> shift) & 0xffU);
  }
}

bool
IsLongBody(const Frame& aFrame)
{
  const auto* body = std::get_if<BodyChunk>(&aFrame);
  return body != nullptr && body->data.size() > kMaxCompressedBodyBytes;
}

}

namespace internal {

/** zlib keeps its address, so it can't move. */
struct BlockDeflater::Stream
{
  explicit Stream(const DeflateSettings& aSettings)
  {
    // Negative bits: no header and no checksum; TCP has its own.
    if (deflateInit2(&zlib,
                     aSettings.level,
                     Z_DEFLATED,
                     -aSettings.windowBits,
                     aSettings.memoryLevel,
                     aSettings.strategy) != Z_OK) {
      throw InnerError("can't create a deflate stream");
    }
  }
  ~Stream() { deflateEnd(&zlib); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  z_stream zlib{};
};

struct BlockInflater::Stream
{
  Stream()
  {
    constexpr int kWindowBits = DeflateSettings().windowBits;
    if (inflateInit2(&zlib, -kWindowBits) != Z_OK) {
      throw InnerError("can't create an inflate stream");
    }
  }
  ~Stream() { inflateEnd(&zlib); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  z_stream zlib{};
};

BlockDeflater::BlockDeflater(const DeflateSettings& aSettings)
  : m_stream(std::make_unique<Stream>(aSettings))
{
}

BlockDeflater::~BlockDeflater() = default;

std::string
BlockDeflater::Deflate(std::string_view aFrames)
{
  auto& zlib = m_stream->zlib;
  const auto bound = deflateBound(&zlib, aFrames.size()) + kSyncFlushBytes;
  std::string block(kFrameLengthBytes + bound, '\0');
  zlib.next_in = ToZlib(aFrames.data());
  zlib.avail_in = static_cast<uInt>(aFrames.size());
  size_t used = kFrameLengthBytes;
  for (;;) {
    zlib.next_out = ToZlib(block.data() + used);
    zlib.avail_out = static_cast<uInt>(block.size() - used);
    if (deflate(&zlib, Z_SYNC_FLUSH) != Z_OK) {
      throw InnerError("can't compress frames");
    }
    used = block.size() - zlib.avail_out;
    if (zlib.avail_out > 0) {
      break;
    }
    block.resize(block.size() + kInflateStepBytes);
  }
  block.resize(used);
  if (zlib.avail_in != 0 || !block.ends_with(kSyncMarker)) {
    throw InnerError("incomplete compressed block");
  }
  block.resize(used - kSyncMarker.size());
  WritePrefix(block);
  return block;
}

BlockInflater::BlockInflater()
  : m_stream(std::make_unique<Stream>())
{
}

BlockInflater::~BlockInflater() = default;

std::string
BlockInflater::Inflate(std::string_view aBlock)
{
  std::string frames;
  InflatePart(aBlock, frames);
  InflatePart(kSyncMarker, frames);
  return frames;
}

void
BlockInflater::InflatePart(std::string_view aInput, std::string& aOutput)
{
  auto& zlib = m_stream->zlib;
  zlib.next_in = ToZlib(aInput.data());
  zlib.avail_in = static_cast<uInt>(aInput.size());
  bool full = true;
  while (zlib.avail_in > 0 || full) {
    const auto used = aOutput.size();
    // One byte beyond the limit, to tell a block that exceeds it.
    const auto room = std::min(kInflateStepBytes, kMaxBlockBytes + 1 - used);
    aOutput.resize(used + room);
    zlib.next_out = ToZlib(aOutput.data() + used);
    zlib.avail_out = static_cast<uInt>(room);
    const auto result = inflate(&zlib, Z_SYNC_FLUSH);
    full = zlib.avail_out == 0;
    aOutput.resize(aOutput.size() - zlib.avail_out);
    // Z_BUF_ERROR: the last step had filled the buffer exactly.
    const bool done = result == Z_BUF_ERROR && zlib.avail_in == 0;
    if (result != Z_OK && !done) {
      throw InnerError("malformed compressed block");
    }
    if (aOutput.size() > kMaxBlockBytes) {
      throw InnerError("compressed block inflates to more than the limit");
    }
  }
}

std::vector<std::string_view>
SplitBlock(std::string_view aBytes)
{
  std::vector<std::string_view> frames;
  while (!aBytes.empty()) {
    if (aBytes.size() < kFrameLengthBytes || frames.size() == kMaxBlockFrames) {
      throw InnerError("malformed frames in a compressed block");
    }
    size_t length = 0;
    for (size_t index = 0; index < kFrameLengthBytes; ++index) {
      length =
        length << kPrefixBits | static_cast<unsigned char>(aBytes[index]);
    }
    aBytes.remove_prefix(kFrameLengthBytes);
    if (length > aBytes.size()) {
      throw InnerError("truncated frame in a compressed block");
    }
    frames.push_back(aBytes.substr(0, length));
    aBytes.remove_prefix(length);
  }
  if (frames.empty()) {
    throw InnerError("compressed block without frames");
  }
  return frames;
}

}

FrameCompression::FrameCompression(std::shared_ptr<FrameByteTotals> aTotals)
  : m_totals(aTotals ? std::move(aTotals) : std::make_shared<FrameByteTotals>())
{
}

FrameCompression::~FrameCompression() = default;

void
FrameCompression::OnHelloSent(const Hello& aHello)
{
  m_reads = aHello.compression == kDeflateBlocks;
}

void
FrameCompression::OnHelloReceived(const Hello& aHello)
{
  // A later Hello can't withdraw it: frames may wait already.
  m_peerReads = m_peerReads || aHello.compression == kDeflateBlocks;
}

std::string
FrameCompression::Add(const Frame& aFrame, std::string aBytes)
{
  const bool isRaw = IsLongBody(aFrame) || aBytes.size() > kMaxBlockBytes;
  const bool isFull = m_pendingFrames == kMaxBlockFrames ||
                      m_pending.size() + aBytes.size() > kMaxPendingBytes;
  std::string out;
  if (isRaw || isFull) {
    out = Flush();
  }
  if (!isRaw) {
    m_pending += aBytes;
    ++m_pendingFrames;
    return out;
  }
  const auto size = aBytes.size();
  out += CountSent(size, std::move(aBytes));
  return out;
}

std::string
FrameCompression::Flush()
{
  const auto frames = std::exchange(m_pending, {});
  m_pendingFrames = 0;
  if (frames.size() < kMinBlockBytes) {
    const auto size = frames.size();
    return CountSent(size, frames);
  }
  if (!m_deflater) {
    m_deflater = std::make_unique<internal::BlockDeflater>();
  }
  return CountSent(frames.size(), m_deflater->Deflate(frames));
}

std::string
FrameCompression::CountSent(size_t aFrameBytes, std::string aWire)
{
  m_totals->sentFrames += aFrameBytes;
  m_totals->sentWire += aWire.size();
  return aWire;
}

std::string
FrameCompression::Read(std::string_view aBlock)
{
  if (!m_inflater) {
    m_inflater = std::make_unique<internal::BlockInflater>();
  }
  auto frames = m_inflater->Inflate(aBlock);
  m_totals->receivedFrames += frames.size();
  m_totals->receivedWire += aBlock.size() + kFrameLengthBytes;
  return frames;
}

void
FrameCompression::CountReceived(size_t aFrameBytes)
{
  if (Writes()) {
    m_totals->receivedFrames += aFrameBytes;
    m_totals->receivedWire += aFrameBytes;
  }
}

}
