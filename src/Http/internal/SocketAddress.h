#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_SOCKETADDRESS_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_SOCKETADDRESS_H

#include <string>

#include <event2/util.h>
#include <sys/socket.h>

#include "src/Base/Ids.h"

namespace pistachioshift::internal {

/** An endpoint in the form that sockets take. */
class SocketAddress
{
public:
  /** Throws HttpError unless the address is an IPv4 or IPv6 number. */
  explicit SocketAddress(const Endpoint& aEndpoint);

  const sockaddr* Get() const;
  sockaddr* Get();
  int Size() const { return m_size; }

private:
  sockaddr_storage m_storage{};
  int m_size = sizeof(sockaddr_storage);
};

/** Endpoint that a socket is bound to; throws HttpError. */
Endpoint LocalEndpointOf(evutil_socket_t aSocket);

/** `address:port`, an IPv6 number in brackets, for the Host field. */
std::string HostFieldOf(const Endpoint& aEndpoint);

}

#endif
