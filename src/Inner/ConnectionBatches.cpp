// Collects the frames of a connection that compresses.

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "src/Inner/Connection.h"
#include "src/Inner/InnerError.h"

namespace pistachioshift {

void
Connection::SendCompressed(const Frame& aFrame, std::string aBytes)
{
  try {
    const auto bytes = m_compression->Add(aFrame, std::move(aBytes));
    bufferevent_write(m_bufferEvent, bytes.data(), bytes.size());
  } catch (const InnerError&) {
    m_compressionFailed = true;
  }
  if (m_compressionFailed || m_compression->PendingBytes() > 0) {
    ScheduleFlush();
  }
}

void
Connection::ScheduleFlush()
{
  if (m_flush == nullptr) {
    m_flush = event_new(
      m_base,
      -1,
      0,
      [](evutil_socket_t, short, void* aSelf) {
        static_cast<Connection*>(aSelf)->shared_from_this()->FlushFrames();
      },
      this);
  }
  // Runs after the callbacks that are active now, so that the frames which they
  // send share a block. The socket is written in the next round of the event
  // loop in any case.
  event_active(m_flush, EV_TIMEOUT, 0);
}

void
Connection::FlushFrames()
{
  if (m_ended) {
    return;
  }
  try {
    const auto bytes = m_compression->Flush();
    bufferevent_write(m_bufferEvent, bytes.data(), bytes.size());
  } catch (const InnerError&) {
    m_compressionFailed = true;
  }
  // A frame is missing in the peer's stream.
  if (m_compressionFailed) {
    End(CloseReason::kMalformed);
  }
}

}
