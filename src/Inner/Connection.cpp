#include "src/Inner/Connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "src/Inner/FrameCodec.h"
#include "src/Inner/InnerError.h"
#include "src/Inner/SocketAddress.h"

namespace pistachioshift {

namespace {

constexpr size_t kOutputLowWatermark = size_t{ 64 } * 1024; // bytes
constexpr int kFramesPerRead = 64;

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}

const char*
ToString(CloseReason aEnd)
{
  switch (aEnd) {
    case CloseReason::kConnectFailed:
      return "not-connected";
    case CloseReason::kClosed:
      return "closed";
    case CloseReason::kHeartbeatTimeout:
      return "silent";
    case CloseReason::kMalformed:
      return "malformed";
    case CloseReason::kLocal:
      return "local";
  }
  return "closed";
}

Connection::Connection(event_base* aBase,
                       const Clock& aClock,
                       const ConnectionSettings& aSettings,
                       std::weak_ptr<ConnectionListener> aListener)
  : m_base(aBase)
  , m_clock(aClock)
  , m_settings(aSettings)
  , m_listener(std::move(aListener))
  , m_lastRead(aClock.Now())
  , m_lastTick(m_lastRead)
{
}

Connection::~Connection()
{
  if (m_heartbeat != nullptr) {
    event_free(m_heartbeat);
  }
  if (m_events != nullptr) {
    bufferevent_free(m_events);
  }
}

std::shared_ptr<Connection>
Connection::Connect(event_base* aBase,
                    const Clock& aClock,
                    const Endpoint& aPeer,
                    const ConnectionSettings& aSettings,
                    std::weak_ptr<ConnectionListener> aListener)
{
  std::shared_ptr<Connection> connection(
    new Connection(aBase, aClock, aSettings, std::move(aListener)));
  connection->Adopt(-1);
  const auto address = internal::ToSocketAddress(aPeer);
  // A failure is reported through the event callback as well.
  bufferevent_socket_connect(
    connection->m_events, address.Get(), static_cast<int>(address.Length()));
  return connection;
}

std::shared_ptr<Connection>
Connection::Accept(event_base* aBase,
                   const Clock& aClock,
                   int aSocket,
                   const ConnectionSettings& aSettings,
                   std::weak_ptr<ConnectionListener> aListener)
{
  std::shared_ptr<Connection> connection(
    new Connection(aBase, aClock, aSettings, std::move(aListener)));
  connection->m_connected = true;
  connection->Adopt(aSocket);
  SetNoDelay(aSocket);
  return connection;
}

void
Connection::Adopt(int aSocket)
{
  m_events = bufferevent_socket_new(
    m_base, aSocket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (m_events == nullptr) {
    throw InnerError("can't create a connection");
  }
  bufferevent_setcb(
    m_events,
    [](bufferevent*, void* aSelf) {
      static_cast<Connection*>(aSelf)->shared_from_this()->OnRead();
    },
    [](bufferevent*, void* aSelf) {
      static_cast<Connection*>(aSelf)->shared_from_this()->OnWritten();
    },
    [](bufferevent*, short aEvents, void* aSelf) {
      static_cast<Connection*>(aSelf)->shared_from_this()->OnEvent(aEvents);
    },
    this);
  bufferevent_setwatermark(m_events, EV_WRITE, kOutputLowWatermark, 0);
  bufferevent_enable(m_events, EV_READ | EV_WRITE);
  StartHeartbeat();
}

void
Connection::StartHeartbeat()
{
  m_heartbeat = event_new(
    m_base,
    -1,
    EV_PERSIST,
    [](evutil_socket_t, short, void* aSelf) {
      static_cast<Connection*>(aSelf)->shared_from_this()->OnHeartbeat();
    },
    this);
  // Until connected the timer stands for the connect timeout.
  const auto timeout = internal::ToTimeval(
    m_connected ? m_settings.heartbeatInterval : m_settings.connectTimeout);
  if (!m_connected) {
    event_add(m_heartbeat, &timeout);
  }
}

void
Connection::Send(const Frame& aFrame)
{
  if (m_ended) {
    return;
  }
  const auto bytes = EncodeFrame(aFrame);
  bufferevent_write(m_events, bytes.data(), bytes.size());
}

void
Connection::SetHeartbeatsEnabled(bool aBusy)
{
  if (m_busy == aBusy || m_ended) {
    return;
  }
  m_busy = aBusy;
  if (!m_connected) {
    return;
  }
  if (!aBusy) {
    event_del(m_heartbeat);
    return;
  }
  m_missed = 0;
  m_lastTick = m_clock.Now();
  const auto interval = internal::ToTimeval(m_settings.heartbeatInterval);
  event_add(m_heartbeat, &interval);
  Send(Ping{ ++m_pings });
}

size_t
Connection::BufferedBytes() const
{
  if (m_events == nullptr) {
    return 0;
  }
  return evbuffer_get_length(bufferevent_get_output(m_events));
}

void
Connection::OnEvent(short aEvents)
{
  if (m_ended) {
    return;
  }
  if ((aEvents & BEV_EVENT_CONNECTED) != 0) {
    m_connected = true;
    m_lastRead = m_clock.Now();
    SetNoDelay(bufferevent_getfd(m_events));
    event_del(m_heartbeat);
    if (m_busy) {
      m_busy = false;
      SetHeartbeatsEnabled(true);
    }
    return;
  }
  // What arrived before the peer closed still counts.
  OnRead();
  End(m_connected ? CloseReason::kClosed : CloseReason::kConnectFailed);
}

void
Connection::OnWritten()
{
  const auto listener = m_listener.lock();
  if (listener && !m_ended) {
    listener->OnDrained(*this);
  }
}

void
Connection::OnRead()
{
  m_lastRead = m_clock.Now();
  m_missed = 0;
  for (int count = 0; count < kFramesPerRead; ++count) {
    if (m_ended || !TakeFrame()) {
      return;
    }
  }
  // Other connections get their turn before the rest of this one.
  bufferevent_trigger(m_events, EV_READ, 0);
}

bool
Connection::TakeFrame()
{
  auto* input = bufferevent_get_input(m_events);
  uint32_t networkLength = 0;
  if (evbuffer_copyout(input, &networkLength, kFrameLengthBytes) <
      static_cast<ev_ssize_t>(kFrameLengthBytes)) {
    return false;
  }
  const size_t length = ntohl(networkLength);
  if (length > kMaxFrameBytes) {
    End(CloseReason::kMalformed);
    return false;
  }
  if (evbuffer_get_length(input) < kFrameLengthBytes + length) {
    return false;
  }
  evbuffer_drain(input, kFrameLengthBytes);
  const auto* bytes = reinterpret_cast<const char*>(
    evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
  try {
    auto frame = DecodeFrame(std::string_view(bytes, length));
    evbuffer_drain(input, length);
    Dispatch(std::move(frame));
  } catch (const InnerError&) {
    End(CloseReason::kMalformed);
    return false;
  }
  return true;
}

void
Connection::Dispatch(Frame aFrame)
{
  if (const auto* ping = std::get_if<Ping>(&aFrame)) {
    Send(Pong{ ping->sequence, m_position });
    return;
  }
  const auto listener = m_listener.lock();
  if (listener) {
    listener->OnFrame(*this, std::move(aFrame));
  }
}

void
Connection::OnHeartbeat()
{
  if (m_ended) {
    return;
  }
  if (!m_connected) {
    End(CloseReason::kConnectFailed);
    return;
  }
  const auto now = m_clock.Now();
  const auto sinceTick = now - m_lastTick;
  m_lastTick = now;
  // After a pause of this process the peer gets its time anew.
  const bool paused = sinceTick > 2 * m_settings.heartbeatInterval;
  const bool heard = now - m_lastRead < m_settings.heartbeatInterval;
  m_missed = paused || heard ? 0 : m_missed + 1;
  if (m_missed >= m_settings.missedHeartbeatLimit) {
    End(CloseReason::kHeartbeatTimeout);
    return;
  }
  Send(Ping{ ++m_pings });
}

void
Connection::End(CloseReason aEnd)
{
  if (m_ended) {
    return;
  }
  const auto self = shared_from_this();
  m_ended = true;
  event_del(m_heartbeat);
  bufferevent_disable(m_events, EV_READ | EV_WRITE);
  bufferevent_setcb(m_events, nullptr, nullptr, nullptr, nullptr);
  const auto listener = m_listener.lock();
  if (listener) {
    listener->OnClosed(*this, aEnd);
  }
}

}
