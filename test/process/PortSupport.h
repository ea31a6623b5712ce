#ifndef PISTACHIOSHIFT_TEST_PROCESS_PORTSUPPORT_H
#define PISTACHIOSHIFT_TEST_PROCESS_PORTSUPPORT_H

#include <cstdint>
#include <vector>

namespace pistachioshift::test {

/**
 * \brief Picks free ports on 127.0.0.1, each once.
 *
 * They lie below those that the system gives to outgoing connections: one of
 * these could take a picked port before its program has bound it.
 */
class PortPicker
{
public:
  PortPicker();
  ~PortPicker();
  PortPicker(const PortPicker&) = delete;
  PortPicker& operator=(const PortPicker&) = delete;

  /** \brief A port that nobody listens on, for TCP and UDP alike. */
  uint16_t Pick() { return PickRow(1); }

  /** \brief The first of neighbouring ports. */
  uint16_t PickRow(uint16_t aCount);

private:
  bool Bind(int aType, uint16_t aPort);

  uint16_t m_next;
  std::vector<int> m_sockets; ///< Keep a port from being picked twice.
};

}

#endif
