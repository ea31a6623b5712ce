#include "src/Http/internal/SocketAddress.h"

#include <fmt/format.h>

#include "src/Http/HttpError.h"

namespace pistachioshift::internal {
namespace {

bool
IsIpv6(const std::string& aAddress)
{
  return aAddress.find(':') != std::string::npos;
}

}

std::string
HostFieldOf(const Endpoint& aEndpoint)
{
  return IsIpv6(aEndpoint.address)
           ? fmt::format("[{}]:{}", aEndpoint.address, aEndpoint.port)
           : fmt::format("{}:{}", aEndpoint.address, aEndpoint.port);
}

SocketAddress
HttpAddressOf(const Endpoint& aEndpoint)
{
  const auto address = ParseSocketAddress(aEndpoint);
  if (!address) {
    throw HttpError("'" + aEndpoint.address + "' is no IP address");
  }
  return *address;
}

Endpoint
LocalEndpointOf(evutil_socket_t aSocket)
{
  SocketAddress address;
  auto length = address.Length();
  if (getsockname(aSocket, address.Get(), &length) != 0) {
    throw HttpError("the address of a socket can't be read");
  }
  return ToEndpoint(address);
}

}
