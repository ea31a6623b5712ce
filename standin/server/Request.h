#ifndef PISTACHIOSHIFT_STANDIN_SERVER_REQUEST_H
#define PISTACHIOSHIFT_STANDIN_SERVER_REQUEST_H

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Http/Message.h"

namespace pistachioshift::standin {

/** \brief Path and query parameters of a request target. */
struct Target
{
  std::string path;
  std::map<std::string, std::string> query;

  /** \brief Query parameter as a number; the default if absent or invalid. */
  double Number(const std::string& aName, double aDefault) const;
};

Target ParseTarget(const std::string& aTarget);

/** \brief Pistachio-* header fields that the daemon adds to each request. */
struct RoutingHeaders
{
  std::string requestId;
  std::string key;
  std::string range; ///< `<service>/<range or pin>`, empty if not sent.
  std::optional<FenceToken> fence;
  std::optional<WallTime> deadline;
};

/** \brief Reads the Pistachio-* fields; invalid ones count as absent. */
RoutingHeaders ReadRoutingHeaders(const Headers& aHeaders);

std::string ToString(const FenceToken& aFence);

/** \brief Range of body bytes to send, both ends included. */
struct ByteRange
{
  uint64_t first = 0;
  uint64_t last = 0;
};

/**
 * \brief Parses a single `bytes=first-[last]` that starts within the size.
 *
 * Any other range is ignored, as HTTP allows.
 */
std::optional<ByteRange> ReadRange(const Headers& aHeaders, uint64_t aSize);

}

#endif
