#ifndef PISTACHIOSHIFT_INNER_DATAGRAMSOCKET_H
#define PISTACHIOSHIFT_INNER_DATAGRAMSOCKET_H

#include <cstdint>
#include <functional>
#include <string_view>

#include "src/Base/Ids.h"
#include "src/Inner/ControlCodec.h"

struct event;
struct event_base;

namespace pistachioshift {

/** \brief Counters of a datagram socket since it was opened. */
struct DatagramCounters
{
  uint64_t sent = 0;
  uint64_t sentBytes = 0;
  uint64_t received = 0;
  uint64_t receivedBytes = 0;
  uint64_t malformed = 0;
  uint64_t sendFailures = 0;
};

/** \brief UDP socket that carries control messages between daemons. */
class DatagramSocket
{
public:
  using Handler = std::function<void(const ControlDatagram&)>;

  /** \brief Binds to the endpoint; throws InnerError if that fails. */
  DatagramSocket(event_base* aBase,
                 const Endpoint& aEndpoint,
                 Handler aHandler);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /** \brief Sends without blocking; the message is lost if the socket buffer is
   * full. */
  void Send(const Endpoint& aTo, const ControlDatagram& aDatagram);

  const DatagramCounters& Counters() const { return m_counters; }

private:
  void OnReadable();

  Handler m_handler;
  int m_socket = -1;
  event* m_event = nullptr;
  DatagramCounters m_counters;
};

}

#endif
