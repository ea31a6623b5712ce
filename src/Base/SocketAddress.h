#ifndef PISTACHIOSHIFT_BASE_SOCKETADDRESS_H
#define PISTACHIOSHIFT_BASE_SOCKETADDRESS_H

#include <optional>

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"

namespace pistachioshift::internal {

/** An IPv4 or IPv6 address in the form that the socket calls take. */
class SocketAddress
{
public:
  SocketAddress() = default;

  sockaddr* Get() { return reinterpret_cast<sockaddr*>(&m_storage); }

  const sockaddr* Get() const
  {
    return reinterpret_cast<const sockaddr*>(&m_storage);
  }

  socklen_t Length() const { return m_length; }
  void SetLength(socklen_t aLength) { m_length = aLength; }

private:
  sockaddr_storage m_storage{};
  socklen_t m_length = sizeof(sockaddr_storage);
};

/** None if the address is no IP address. */
std::optional<SocketAddress> ParseSocketAddress(const Endpoint& aEndpoint);

/** Address and port of a socket address. */
Endpoint ToEndpoint(const SocketAddress& aAddress);

timeval ToTimeval(Duration aDuration);

}

#endif
