#ifndef PISTACHIOSHIFT_DAEMON_ANSWERCODEC_H
#define PISTACHIOSHIFT_DAEMON_ANSWERCODEC_H

#include <string>

#include "src/Http/Message.h"
#include "src/Routing/OutcomeTable.h"

namespace pistachioshift {

/** \brief A complete, small response of a backend server. */
struct DecodedResponse
{
  ResponseHead head;
  std::string body;
};

/** \brief Serializes a response for the outcome table. */
CachedResponse EncodeCachedResponse(const ResponseHead& aHead,
                                    const std::string& aBody);

/** \throws InnerError if the cached response is malformed. */
DecodedResponse DecodeCachedResponse(const CachedResponse& aAnswer);

}

#endif
