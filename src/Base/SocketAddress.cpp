#include "src/Base/SocketAddress.h"

#include <arpa/inet.h>

#include <array>

namespace pistachioshift::internal {

std::optional<SocketAddress>
ParseSocketAddress(const Endpoint& aEndpoint)
{
  SocketAddress address;
  auto* ipv4 = reinterpret_cast<sockaddr_in*>(address.Get());
  if (inet_pton(AF_INET, aEndpoint.address.c_str(), &ipv4->sin_addr) == 1) {
    ipv4->sin_family = AF_INET;
    ipv4->sin_port = htons(aEndpoint.port);
    address.SetLength(sizeof(sockaddr_in));
    return address;
  }
  auto* ipv6 = reinterpret_cast<sockaddr_in6*>(address.Get());
  if (inet_pton(AF_INET6, aEndpoint.address.c_str(), &ipv6->sin6_addr) == 1) {
    ipv6->sin6_family = AF_INET6;
    ipv6->sin6_port = htons(aEndpoint.port);
    address.SetLength(sizeof(sockaddr_in6));
    return address;
  }
  return std::nullopt;
}

Endpoint
ToEndpoint(const SocketAddress& aAddress)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (aAddress.Get()->sa_family == AF_INET6) {
    const auto* ipv6 = reinterpret_cast<const sockaddr_in6*>(aAddress.Get());
    inet_ntop(AF_INET6, &ipv6->sin6_addr, text.data(), text.size());
    return Endpoint{ text.data(), ntohs(ipv6->sin6_port) };
  }
  const auto* ipv4 = reinterpret_cast<const sockaddr_in*>(aAddress.Get());
  inet_ntop(AF_INET, &ipv4->sin_addr, text.data(), text.size());
  return Endpoint{ text.data(), ntohs(ipv4->sin_port) };
}

timeval
ToTimeval(Duration aDuration)
{
  // Rounds up, because a timer that fires early finds nothing due yet.
  const auto micros =
    std::chrono::ceil<std::chrono::microseconds>(aDuration).count();
  return { static_cast<time_t>(micros / std::micro::den),
           static_cast<suseconds_t>(micros % std::micro::den) };
}

}
