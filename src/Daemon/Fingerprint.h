#ifndef PISTACHIOSHIFT_DAEMON_FINGERPRINT_H
#define PISTACHIOSHIFT_DAEMON_FINGERPRINT_H

#include <string_view>

#include "src/Base/Ids.h"
#include "src/Http/Message.h"

namespace pistachioshift {

/**
 * \brief Fingerprint of a request; never 0.
 *
 * Covers method, host, target, key, body and the stated length of the body. Of
 * a body that is forwarded as it arrives, only the start is known.
 *
 * \param aBody the body, or its start.
 */
RequestFingerprint FingerprintOf(const RequestHead& aHead,
                                 std::string_view aKey,
                                 std::string_view aBody);

}

#endif
