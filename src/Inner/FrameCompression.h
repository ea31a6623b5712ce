#ifndef PISTACHIOSHIFT_INNER_FRAMECOMPRESSION_H
#define PISTACHIOSHIFT_INNER_FRAMECOMPRESSION_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/Inner/FrameCodec.h"
#include "src/Inner/Frames.h"

namespace pistachioshift {

/** \brief Form of compressed blocks, as stated in Hello::compression. */
inline constexpr int32_t kDeflateBlocks = 1;

/** \brief Bit of a length prefix that marks a compressed block. */
inline constexpr uint32_t kCompressedBlockFlag = 1U << 31U;

/** \brief Maximum number of frames in a block. Frames cause answers, so this
 * bounds what a few received bytes can cause. */
inline constexpr size_t kMaxBlockFrames = 64;

/** \brief Maximum inflated size of a block: the longest frame, with prefix. */
inline constexpr size_t kMaxBlockBytes = kMaxFrameBytes + kFrameLengthBytes;

/** \brief Longest part of a body, in bytes, that is compressed. Most bodies are
 * incompressible, and long ones would displace the heads from the window. */
inline constexpr size_t kMaxCompressedBodyBytes = 1024;

/** \brief Bytes on compressed connections with and without compression. */
struct FrameByteTotals
{
  uint64_t sentFrames = 0;     ///< Before compression.
  uint64_t sentWire = 0;       ///< As written to the sockets.
  uint64_t receivedFrames = 0; ///< After decompression.
  uint64_t receivedWire = 0;   ///< As read from the sockets.
};

namespace internal {

/** Settings of zlib's deflate; the receiver needs windowBits only. */
struct DeflateSettings
{
  int level = 1;
  int windowBits = 12;
  int memoryLevel = 5;
  int strategy = 0; ///< Z_DEFAULT_STRATEGY
};

/** Compresses batches of frames as one deflate stream. */
class BlockDeflater
{
public:
  /** Throws InnerError if there is no memory. */
  explicit BlockDeflater(const DeflateSettings& aSettings = {});
  ~BlockDeflater();
  BlockDeflater(const BlockDeflater&) = delete;
  BlockDeflater& operator=(const BlockDeflater&) = delete;

  /** A block with its length prefix. Throws InnerError. */
  std::string Deflate(std::string_view aFrames);

private:
  struct Stream;
  std::unique_ptr<Stream> m_stream;
};

/** Reads the blocks of one deflate stream. */
class BlockInflater
{
public:
  /** Throws InnerError if there is no memory. */
  BlockInflater();
  ~BlockInflater();
  BlockInflater(const BlockInflater&) = delete;
  BlockInflater& operator=(const BlockInflater&) = delete;

  /** The frames of a block without its length prefix. Throws InnerError if the
   * block is damaged or inflates to more than kMaxBlockBytes. */
  std::string Inflate(std::string_view aBlock);

private:
  void InflatePart(std::string_view aInput, std::string& aOutput);

  struct Stream;
  std::unique_ptr<Stream> m_stream;
};

/** Splits an inflated block into its frames, without length prefixes. Throws
 * InnerError if it has no frame, a truncated one or more than
 * kMaxBlockFrames. */
std::vector<std::string_view> SplitBlock(std::string_view aBytes);

}

/**
 * \brief Compression of the frames of one connection, in both directions.
 * Performs no I/O.
 *
 * Each end states in its Hello which form it reads, and sends that form once it
 * has stated it itself and has seen the peer's Hello. Frames are collected and
 * compressed together; long parts of bodies and short batches are sent as they
 * are, in order with the blocks.
 *
 * Memory: a stream is allocated with the first block that it carries. The
 * sending one takes 38 KiB (window 8, chains 8, hash table 8, output 8, state
 * 6), the receiving one 11 KiB (window 4, state 7). Frames that wait for
 * Flush() take up to 64 KiB, and a block up to kMaxBlockBytes while it is sent
 * or received.
 */
class FrameCompression
{
public:
  explicit FrameCompression(std::shared_ptr<FrameByteTotals> aTotals = {});
  ~FrameCompression();
  FrameCompression(const FrameCompression&) = delete;
  FrameCompression& operator=(const FrameCompression&) = delete;

  void OnHelloSent(const Hello& aHello);
  void OnHelloReceived(const Hello& aHello);

  /** \brief Whether the peer may send compressed blocks. */
  bool Reads() const { return m_reads; }

  /** \brief Whether frames are to be sent with Add() and Flush(). */
  bool Writes() const { return m_reads && m_peerReads; }

  /**
   * \brief Adds a frame to send.
   * \param aBytes the encoded frame with its length prefix.
   * \return bytes to send at once; the frame itself may wait for Flush().
   * \throws InnerError if zlib fails
   */
  std::string Add(const Frame& aFrame, std::string aBytes);

  /** \brief Returns the frames that wait as bytes to send.
   * \throws InnerError if zlib fails */
  std::string Flush();

  /** \brief Size of the frames that wait for Flush(), uncompressed. */
  size_t PendingBytes() const { return m_pending.size(); }

  /**
   * \brief Reads a compressed block.
   * \param aBlock without the length prefix.
   * \return whole frames, for internal::SplitBlock().
   * \throws InnerError if the block is malformed
   */
  std::string Read(std::string_view aBlock);

  /** \brief Counts a received frame that was not compressed. */
  void CountReceived(size_t aFrameBytes);

private:
  std::string CountSent(size_t aFrameBytes, std::string aWire);

  std::shared_ptr<FrameByteTotals> m_totals;
  std::unique_ptr<internal::BlockDeflater> m_deflater;
  std::unique_ptr<internal::BlockInflater> m_inflater;
  std::string m_pending;
  size_t m_pendingFrames = 0;
  bool m_reads = false;     ///< Stated in the Hello that was sent.
  bool m_peerReads = false; ///< Stated in the Hello that was received.
};

}

#endif
