#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_SOCKETADDRESS_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_SOCKETADDRESS_H

#include <string>

#include <event2/util.h>

#include "src/Base/SocketAddress.h"

namespace pistachioshift::internal {

/** Throws HttpError unless the address is an IPv4 or IPv6 number. */
SocketAddress HttpAddressOf(const Endpoint& aEndpoint);

/** Endpoint that a socket is bound to; throws HttpError. */
Endpoint LocalEndpointOf(evutil_socket_t aSocket);

/** `address:port`, an IPv6 number in brackets, for the Host field. */
std::string HostFieldOf(const Endpoint& aEndpoint);

}

#endif
