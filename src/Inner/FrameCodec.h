#ifndef PISTACHIOSHIFT_INNER_FRAMECODEC_H
#define PISTACHIOSHIFT_INNER_FRAMECODEC_H

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "src/Inner/Frames.h"

namespace pistachioshift {

/** \brief Most bytes of a frame; longer ones are refused before they are read.
 */
inline constexpr size_t kMaxFrameBytes = 2U << 20U;

/** \brief Bytes of the length that precedes each frame, big-endian. */
inline constexpr size_t kFrameLengthBytes = 4;

/** \brief Frame with its length in front. */
std::string EncodeFrame(const Frame& aFrame);

/** \brief Frame without its length; throws InnerError if malformed. */
Frame DecodeFrame(std::string_view aBytes);

/** \brief Frames without their lengths; throws InnerError if cut short. */
std::vector<std::string_view> SplitFrames(std::string_view aBytes);

}

#endif
