#ifndef PISTACHIOSHIFT_INNER_SOCKETADDRESS_H
#define PISTACHIOSHIFT_INNER_SOCKETADDRESS_H

#include "src/Base/SocketAddress.h"

namespace pistachioshift::internal {

/** Converts an endpoint; throws InnerError if its address is not an IP address.
 */
SocketAddress ToSocketAddress(const Endpoint& aEndpoint);

}

#endif
