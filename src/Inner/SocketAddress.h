#ifndef PISTACHIOSHIFT_INNER_SOCKETADDRESS_H
#define PISTACHIOSHIFT_INNER_SOCKETADDRESS_H

#include "src/Base/SocketAddress.h"

namespace pistachioshift::internal {

/** Throws InnerError if the address is no IP address. */
SocketAddress ToSocketAddress(const Endpoint& aEndpoint);

}

#endif
