#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_MESSAGEWRITER_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_MESSAGEWRITER_H

#include <cstdint>
#include <string>
#include <string_view>

#include "src/Http/Message.h"

struct evbuffer;

namespace pistachioshift::internal {

enum class Framing
{
  kNone,
  kOmitted, ///< Taken and not sent, as for HEAD.
  kLength,
  kChunked,
  kUntilClose,
};

/** Writes a body in its framing and watches the declared length. */
class BodyWriter
{
public:
  BodyWriter() = default;
  BodyWriter(Framing aFraming, uint64_t aLength)
    : m_framing(aFraming)
    , m_left(aLength)
  {
  }

  /** False if the body would exceed its length. */
  bool Write(evbuffer* aOutput, std::string_view aData);

  /** False if bytes are missing. */
  bool Finish(evbuffer* aOutput);

private:
  Framing m_framing = Framing::kNone;
  uint64_t m_left = 0;
};

/** What a response says of its connection. */
enum class Persistence
{
  kDefault, ///< HTTP/1.1 keep-alive.
  kKeepAlive,
  kClose,
};

/** Framing of a request body. */
BodyWriter BodyOf(const RequestHead& aHead);

/** Throws HttpError if a part would break out of its line. */
std::string WriteRequestHead(const RequestHead& aHead,
                             std::string_view aHostField);

/**
 * Writes a status line and fields with the given framing. Throws HttpError as
 * above.
 */
std::string WriteResponseHead(const ResponseHead& aHead,
                              Framing aFraming,
                              Persistence aPersistence);

}

#endif
