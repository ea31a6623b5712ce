#ifndef PISTACHIOSHIFT_DAEMON_ANSWERCODEC_H
#define PISTACHIOSHIFT_DAEMON_ANSWERCODEC_H

#include <string>

#include "src/Http/Message.h"
#include "src/Routing/OutcomeTable.h"

namespace pistachioshift {

/** \brief A whole small answer of a backend server. */
struct DecodedResponse
{
  ResponseHead head;
  std::string body;
};

/** \brief Packs an answer for the outcome table. */
CachedResponse EncodeCachedResponse(const ResponseHead& aHead,
                                    const std::string& aBody);

/** \brief Unpacks it; throws InnerError if malformed. */
DecodedResponse DecodeCachedResponse(const CachedResponse& aAnswer);

}

#endif
