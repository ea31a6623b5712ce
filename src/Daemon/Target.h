#ifndef PISTACHIOSHIFT_DAEMON_TARGET_H
#define PISTACHIOSHIFT_DAEMON_TARGET_H

#include <optional>
#include <string>

#include "src/Base/Ids.h"
#include "src/Http/Message.h"

namespace pistachioshift {

/** \brief What a caller's request is about. */
struct Target
{
  ServiceName service;
  std::string key;  ///< Percent-encoding undone; empty if there is none.
  std::string path; ///< Below the key, starts with '/', without the query.
};

/**
 * \brief Reads `/{service}/{key}/...`, or `/{service}/...` with the field
 * `Pistachio-Key`.
 * \return none if the target has no service or a bad percent-encoding.
 */
std::optional<Target> ParseTarget(const RequestHead& aHead);

}

#endif
