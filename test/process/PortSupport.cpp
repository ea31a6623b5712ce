#include "test/process/PortSupport.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pistachioshift::test {

namespace {

constexpr uint16_t kFirstPort = 10000;
/** The system's outgoing connections begin at 32768. */
constexpr uint16_t kLastPort = 32000;

}

PortPicker::PortPicker()
  : m_next(static_cast<uint16_t>(kFirstPort +
                                 getpid() * 97 % (kLastPort - kFirstPort)))
{
}

PortPicker::~PortPicker()
{
  for (const int one : m_sockets) {
    close(one);
  }
}

uint16_t
PortPicker::PickRow(uint16_t aCount)
{
  for (;;) {
    if (m_next + aCount > kLastPort) {
      m_next = kFirstPort;
    }
    const auto first = m_next;
    m_next = static_cast<uint16_t>(m_next + aCount);
    bool free = true;
    for (uint16_t index = 0; free && index < aCount; ++index) {
      const auto port = static_cast<uint16_t>(first + index);
      free = Bind(SOCK_STREAM, port) && Bind(SOCK_DGRAM, port);
    }
    if (free) {
      return first;
    }
  }
}

bool
PortPicker::Bind(int aType, uint16_t aPort)
{
  const int one = socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  m_sockets.push_back(one);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(aPort);
  return bind(one, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
}

}
