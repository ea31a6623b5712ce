#include "src/Inner/DatagramSocket.h"

#include <unistd.h>

#include <array>

#include <event2/event.h>
#include <fmt/format.h>

#include "src/Inner/InnerError.h"
#include "src/Inner/SocketAddress.h"

namespace pistachioshift {

namespace {

constexpr size_t kMaxDatagramBytes = 65536;
constexpr int kMaxDatagramsPerRead = 256;

}

DatagramSocket::DatagramSocket(event_base* aBase,
                               const Endpoint& aEndpoint,
                               Handler aHandler)
  : m_handler(std::move(aHandler))
{
  const auto address = internal::ToSocketAddress(aEndpoint);
  m_socket = socket(
    address.Get()->sa_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (m_socket < 0 || bind(m_socket, address.Get(), address.Length()) != 0) {
    throw InnerError(
      fmt::format("can't bind UDP {}:{}", aEndpoint.address, aEndpoint.port));
  }
  m_event = event_new(
    aBase,
    m_socket,
    EV_READ | EV_PERSIST,
    [](evutil_socket_t, short, void* aSelf) {
      static_cast<DatagramSocket*>(aSelf)->OnReadable();
    },
    this);
  event_add(m_event, nullptr);
}

DatagramSocket::~DatagramSocket()
{
  if (m_event != nullptr) {
    event_free(m_event);
  }
  close(m_socket);
}

void
DatagramSocket::Send(const Endpoint& aTo, const ControlDatagram& aDatagram)
{
  const auto bytes = EncodeControl(aDatagram);
  const auto address = internal::ToSocketAddress(aTo);
  const auto sent = sendto(m_socket,
                           bytes.data(),
                           bytes.size(),
                           MSG_DONTWAIT,
                           address.Get(),
                           address.Length());
  if (sent < 0) {
    ++m_counters.sendFailures;
    return;
  }
  ++m_counters.sent;
  m_counters.sentBytes += bytes.size();
}

void
DatagramSocket::OnReadable()
{
  std::array<char, kMaxDatagramBytes> buffer{};
  for (int count = 0; count < kMaxDatagramsPerRead; ++count) {
    const auto length = recv(m_socket, buffer.data(), buffer.size(), 0);
    if (length < 0) {
      return;
    }
    const auto bytes = static_cast<size_t>(length);
    ++m_counters.received;
    m_counters.receivedBytes += bytes;
    try {
      m_handler(DecodeControl(std::string_view(buffer.data(), bytes)));
    } catch (const InnerError&) {
      ++m_counters.malformed;
    }
  }
}

}
