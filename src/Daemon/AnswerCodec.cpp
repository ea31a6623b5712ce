#include "src/Daemon/AnswerCodec.h"

#include "src/Inner/FrameCodec.h"
#include "src/Inner/InnerError.h"

namespace pistachioshift {

CachedResponse
EncodeCachedResponse(const ResponseHead& aHead, const std::string& aBody)
{
  ResponseOpen open;
  open.head = aHead;
  const auto head = EncodeFrame(open);
  return CachedResponse{ static_cast<uint16_t>(aHead.status),
                         head +
                           EncodeFrame(BodyChunk{ StreamId(), aBody, true }) };
}

DecodedResponse
DecodeCachedResponse(const CachedResponse& aAnswer)
{
  const std::string_view bytes = aAnswer.payload;
  const auto frames = SplitFrames(bytes);
  if (frames.size() != 2) {
    throw InnerError("cached response is malformed");
  }
  const auto head = DecodeFrame(frames[0]);
  const auto body = DecodeFrame(frames[1]);
  if (!std::holds_alternative<ResponseOpen>(head) ||
      !std::holds_alternative<BodyChunk>(body)) {
    throw InnerError("cached response is malformed");
  }
  return DecodedResponse{ std::get<ResponseOpen>(head).head,
                          std::get<BodyChunk>(body).data };
}

}
