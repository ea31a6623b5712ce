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

/** \brief Path and query of a target. */
struct Target
{
  std::string path;
  std::map<std::string, std::string> query;

  /** \brief A number of the query; the default if absent or no number. */
  double Number(const std::string& aName, double aDefault) const;
};

Target ParseTarget(const std::string& aTarget);

/** \brief What the daemon passes on with each request. */
struct Grant
{
  std::string requestId;
  std::string key;
  std::string range; ///< `<service>/<range or pin>`, empty if not sent.
  std::optional<FenceToken> fence;
  std::optional<WallTime> deadline;
};

/** \brief Reads the Pistachio-* fields; bad ones count as absent. */
Grant ReadGrant(const Headers& aHeaders);

std::string ToString(const FenceToken& aFence);

/** \brief Bytes to send of a body, both ends included. */
struct ByteRange
{
  uint64_t first = 0;
  uint64_t last = 0;
};

/**
 * \brief A single `bytes=first-[last]` that fits the size; everything else
 * is ignored, as HTTP allows.
 */
std::optional<ByteRange> ReadRange(const Headers& aHeaders, uint64_t aSize);

}

#endif
