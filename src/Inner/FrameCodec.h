#ifndef PISTACHIOSHIFT_INNER_FRAMECODEC_H
#define PISTACHIOSHIFT_INNER_FRAMECODEC_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/Inner/Frames.h"

namespace pistachioshift {

/** \brief Maximum frame size in bytes; longer frames are refused before they
 * are read. */
inline constexpr size_t kMaxFrameBytes = 2U << 20U;

/** \brief Size in bytes of the big-endian length prefix of each frame. */
inline constexpr size_t kFrameLengthBytes = 4;

/** \brief Encodes a frame with its length prefix. */
std::string EncodeFrame(const Frame& aFrame);

/** \brief Decodes a frame without its length prefix.
 * \throws InnerError if the frame is malformed */
Frame DecodeFrame(std::string_view aBytes);

/** \brief Splits a sequence of frames and strips the length prefixes.
 * \return views into aBytes
 * \throws InnerError if the last frame is truncated */
std::vector<std::string_view> SplitFrames(std::string_view aBytes);

}

#endif
