#ifndef PISTACHIOSHIFT_BASE_SOCKETADDRESS_H
#define PISTACHIOSHIFT_BASE_SOCKETADDRESS_H

#include <optional>

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"

namespace pistachioshift::internal {

/** \brief IPv4 or IPv6 address and port as passed to socket functions. */
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

/** \brief Parses an endpoint; nullopt if its address is not an IP address. */
std::optional<SocketAddress> ParseSocketAddress(const Endpoint& aEndpoint);

/** \brief Converts a socket address to IP address text and port. */
Endpoint ToEndpoint(const SocketAddress& aAddress);

/** \brief Converts a duration, rounding up to whole microseconds. */
timeval ToTimeval(Duration aDuration);

}

#endif
