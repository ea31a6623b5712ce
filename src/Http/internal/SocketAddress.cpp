#include "src/Http/internal/SocketAddress.h"

#include <array>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>

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

SocketAddress::SocketAddress(const Endpoint& aEndpoint)
{
  // Without its port: evutil takes no port 0.
  const char* text = aEndpoint.address.c_str();
  if (evutil_parse_sockaddr_port(text, Get(), &m_size) != 0) {
    throw HttpError("'" + aEndpoint.address + "' is no IP address");
  }
  in_port_t port = htons(aEndpoint.port);
  if (m_storage.ss_family == AF_INET6) {
    reinterpret_cast<sockaddr_in6*>(&m_storage)->sin6_port = port;
  } else {
    reinterpret_cast<sockaddr_in*>(&m_storage)->sin_port = port;
  }
}

const sockaddr*
SocketAddress::Get() const
{
  return reinterpret_cast<const sockaddr*>(&m_storage);
}

sockaddr*
SocketAddress::Get()
{
  return reinterpret_cast<sockaddr*>(&m_storage);
}

Endpoint
LocalEndpointOf(evutil_socket_t aSocket)
{
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  if (getsockname(aSocket, reinterpret_cast<sockaddr*>(&storage), &size) != 0) {
    throw HttpError("the address of a socket can't be read");
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  const void* address = nullptr;
  in_port_t port = 0;
  if (storage.ss_family == AF_INET6) {
    const auto* six = reinterpret_cast<const sockaddr_in6*>(&storage);
    address = &six->sin6_addr;
    port = six->sin6_port;
  } else {
    const auto* four = reinterpret_cast<const sockaddr_in*>(&storage);
    address = &four->sin_addr;
    port = four->sin_port;
  }
  evutil_inet_ntop(storage.ss_family, address, text.data(), text.size());
  return { text.data(), ntohs(port) };
}

}
