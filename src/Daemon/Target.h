#ifndef PISTACHIOSHIFT_DAEMON_TARGET_H
#define PISTACHIOSHIFT_DAEMON_TARGET_H

#include <optional>
#include <string>

#include "src/Base/Ids.h"
#include "src/Http/Message.h"

namespace pistachioshift {

/** \brief Service, key and path named by the target of a request. */
struct Target
{
  ServiceName service;
  std::string key;  ///< Percent-decoded; empty if the request has none.
  std::string path; ///< What follows the key, from '/' on; without the query.
};

/**
 * \brief Parses `/{service}/{key}/...`, or `/{service}/...` if the header field
 * `Pistachio-Key` gives the key.
 * \return none if the target has no service or an invalid percent-encoding.
 */
std::optional<Target> ParseTarget(const RequestHead& aHead);

}

#endif
