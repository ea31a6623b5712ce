#include "src/Inner/SocketAddress.h"

#include <fmt/format.h>

#include "src/Inner/InnerError.h"

namespace pistachioshift::internal {

SocketAddress
ToSocketAddress(const Endpoint& aEndpoint)
{
  const auto address = ParseSocketAddress(aEndpoint);
  if (!address) {
    throw InnerError(fmt::format("not an IP address: '{}'", aEndpoint.address));
  }
  return *address;
}

}
