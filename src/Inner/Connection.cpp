#include "src/Inner/Connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include "src/Inner/FrameCodec.h"
#include "src/Inner/InnerError.h"
#include "src/Inner/SocketAddress.h"

namespace pistachioshift {

namespace {

constexpr size_t kOutputLowWatermarkBytes = size_t{ 64 } * 1024;
constexpr size_t kMaxFramesPerRead = 64;

std::optional<Frame>
TryDecode(std::string_view aBytes)
{
  try {
    return DecodeFrame(aBytes);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

void
SetNoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}

const char*
ToString(CloseReason aReason)
{
  switch (aReason) {
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
    case CloseReason::kInternalError:
      return "internal-error";
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
  , m_lastHeartbeat(m_lastRead)
{
}

Connection::~Connection()
{
  if (m_timer != nullptr) {
    event_free(m_timer);
  }
  if (m_flush != nullptr) {
    event_free(m_flush);
  }
  if (m_bufferEvent != nullptr) {
    bufferevent_free(m_bufferEvent);
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
  connection->CreateBufferEvent(-1);
  const auto address = internal::ToSocketAddress(aPeer);
  // An immediate failure is also reported through the event callback.
  bufferevent_socket_connect(connection->m_bufferEvent,
                             address.Get(),
                             static_cast<int>(address.Length()));
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
  connection->CreateBufferEvent(aSocket);
  SetNoDelay(aSocket);
  return connection;
}

void
Connection::CreateBufferEvent(int aSocket)
{
  m_bufferEvent = bufferevent_socket_new(
    m_base, aSocket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (m_bufferEvent == nullptr) {
    throw InnerError("can't create a bufferevent");
  }
  bufferevent_setcb(
    m_bufferEvent,
    [](bufferevent*, void* aSelf) {
      static_cast<Connection*>(aSelf)->shared_from_this()->OnRead();
    },
    [](bufferevent*, void* aSelf) {
      static_cast<Connection*>(aSelf)->shared_from_this()->OnWritable();
    },
    [](bufferevent*, short aEvents, void* aSelf) {
      static_cast<Connection*>(aSelf)->shared_from_this()->OnEvent(aEvents);
    },
    this);
  bufferevent_setwatermark(
    m_bufferEvent, EV_WRITE, kOutputLowWatermarkBytes, 0);
  bufferevent_enable(m_bufferEvent, EV_READ | EV_WRITE);
  StartTimer();
}

void
Connection::StartTimer()
{
  m_timer = event_new(
    m_base,
    -1,
    EV_PERSIST,
    [](evutil_socket_t, short, void* aSelf) {
      static_cast<Connection*>(aSelf)->shared_from_this()->OnTimer();
    },
    this);
  // Until the connection is established, the timer is the connect timeout.
  const auto timeout = internal::ToTimeval(
    m_connected ? m_settings.heartbeatInterval : m_settings.connectTimeout);
  if (!m_connected) {
    event_add(m_timer, &timeout);
  }
}

void
Connection::Send(const Frame& aFrame)
{
  if (m_ended || m_finishing) {
    return;
  }
  auto bytes = EncodeFrame(aFrame);
  if (m_compression && m_compression->Writes()) {
    SendCompressed(aFrame, std::move(bytes));
    return;
  }
  bufferevent_write(m_bufferEvent, bytes.data(), bytes.size());
  if (!m_connected) {
    m_queuedBeforeConnected += bytes.size();
  }
  const auto* hello = std::get_if<Hello>(&aFrame);
  if (hello != nullptr && hello->compression != 0) {
    m_compression = std::make_unique<FrameCompression>(m_settings.byteTotals);
    m_compression->OnHelloSent(*hello);
  }
}

void
Connection::SetHeartbeatsEnabled(bool aEnabled)
{
  if (m_heartbeatsEnabled == aEnabled || m_ended) {
    return;
  }
  m_heartbeatsEnabled = aEnabled;
  if (!m_connected) {
    return;
  }
  if (!aEnabled) {
    event_del(m_timer);
    return;
  }
  m_missedHeartbeats = 0;
  m_lastHeartbeat = m_clock.Now();
  const auto interval = internal::ToTimeval(m_settings.heartbeatInterval);
  event_add(m_timer, &interval);
  m_pinged = false;
  if (m_settings.pingsAtOnce) {
    SendPing();
  }
}

void
Connection::SendPing()
{
  m_pinged = true;
  Send(Ping{ ++m_lastPingSequence });
}

size_t
Connection::BufferedBytes() const
{
  if (m_bufferEvent == nullptr) {
    return 0;
  }
  const auto pending = m_compression ? m_compression->PendingBytes() : 0;
  return pending + evbuffer_get_length(bufferevent_get_output(m_bufferEvent));
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
    SetNoDelay(bufferevent_getfd(m_bufferEvent));
    event_del(m_timer);
    if (m_heartbeatsEnabled) {
      m_heartbeatsEnabled = false;
      SetHeartbeatsEnabled(true);
    }
    return;
  }
  if ((aEvents & BEV_EVENT_WRITING) != 0) {
    ReadRemaining();
  }
  // Frames that arrived before the peer closed.
  while (!m_ended && ReadFrames() > 0) {
  }
  End(ReasonOfFailure());
}

bool
Connection::WroteBeforeConnected() const
{
  const auto* output = bufferevent_get_output(m_bufferEvent);
  return evbuffer_get_length(output) < m_queuedBeforeConnected;
}

CloseReason
Connection::ReasonOfFailure() const
{
  return m_connected || WroteBeforeConnected() ? CloseReason::kClosed
                                               : CloseReason::kConnectFailed;
}

void
Connection::ReadRemaining()
{
  // A failed write is reported before the bytes that the peer sent earlier have
  // been read from the socket.
  auto* input = bufferevent_get_input(m_bufferEvent);
  evbuffer_unfreeze(input, 0);
  while (evbuffer_read(input, bufferevent_getfd(m_bufferEvent), -1) > 0) {
  }
  evbuffer_freeze(input, 0);
}

void
Connection::FinishSending()
{
  if (m_ended || m_finishing) {
    return;
  }
  if (m_compression && m_compression->PendingBytes() > 0) {
    FlushFrames();
  }
  if (m_ended) {
    return;
  }
  m_finishing = true;
  bufferevent_setwatermark(m_bufferEvent, EV_WRITE, 0, 0);
  ShutDownIfSent();
}

void
Connection::ShutDownIfSent()
{
  if (BufferedBytes() == 0) {
    shutdown(bufferevent_getfd(m_bufferEvent), SHUT_WR);
  }
}

void
Connection::OnWritable()
{
  if (m_finishing && !m_ended) {
    ShutDownIfSent();
    return;
  }
  const auto listener = m_listener.lock();
  if (listener && !m_ended) {
    Contain([&] { listener->OnDrained(*this); });
  }
}

template<class Action>
void
Connection::Contain(Action aAction)
{
  const auto self = shared_from_this();
  try {
    aAction();
  } catch (const std::exception& error) {
    if (const auto listener = m_listener.lock()) {
      listener->OnError(*this, error.what());
    }
    End(CloseReason::kInternalError);
  }
}

void
Connection::OnRead()
{
  m_lastRead = m_clock.Now();
  m_missedHeartbeats = 0;
  for (size_t count = 0; count < kMaxFramesPerRead;) {
    const auto frames = m_ended ? 0 : ReadFrames();
    if (frames == 0) {
      return;
    }
    count += frames;
  }
  // Lets the event loop serve other connections before the remaining frames.
  bufferevent_trigger(m_bufferEvent, EV_READ, 0);
}

/** Reads one frame or one compressed block; returns the number of frames. */
size_t
Connection::ReadFrames()
{
  auto* input = bufferevent_get_input(m_bufferEvent);
  if (m_finishing) {
    evbuffer_drain(input, evbuffer_get_length(input));
    return 0;
  }
  uint32_t networkLength = 0;
  if (evbuffer_copyout(input, &networkLength, kFrameLengthBytes) <
      static_cast<ev_ssize_t>(kFrameLengthBytes)) {
    return 0;
  }
  const auto prefix = ntohl(networkLength);
  const bool isBlock = (prefix & kCompressedBlockFlag) != 0 && m_compression &&
                       m_compression->Reads();
  const size_t length = isBlock ? prefix & ~kCompressedBlockFlag : prefix;
  if (length > kMaxFrameBytes) {
    End(CloseReason::kMalformed);
    return 0;
  }
  if (evbuffer_get_length(input) < kFrameLengthBytes + length) {
    return 0;
  }
  evbuffer_drain(input, kFrameLengthBytes);
  const auto* start = reinterpret_cast<const char*>(
    evbuffer_pullup(input, static_cast<ev_ssize_t>(length)));
  const std::string_view bytes(start, length);
  if (isBlock) {
    return ReadBlock(bytes);
  }
  if (m_compression) {
    m_compression->CountReceived(kFrameLengthBytes + length);
  }
  auto frame = TryDecode(bytes);
  if (!frame) {
    End(CloseReason::kMalformed);
    return 0;
  }
  evbuffer_drain(input, length);
  Contain([&] { Dispatch(*std::move(frame)); });
  return 1;
}

size_t
Connection::ReadBlock(std::string_view aBlock)
{
  std::string bytes;
  std::vector<std::string_view> frames;
  try {
    bytes = m_compression->Read(aBlock);
    frames = internal::SplitBlock(bytes);
  } catch (const InnerError&) {
    End(CloseReason::kMalformed);
    return 0;
  }
  evbuffer_drain(bufferevent_get_input(m_bufferEvent), aBlock.size());
  for (const auto& item : frames) {
    if (m_ended || m_finishing) {
      break;
    }
    auto frame = TryDecode(item);
    if (!frame) {
      End(CloseReason::kMalformed);
      return 0;
    }
    Contain([&] { Dispatch(*std::move(frame)); });
  }
  return frames.size();
}

void
Connection::Dispatch(Frame aFrame)
{
  if (const auto* ping = std::get_if<Ping>(&aFrame)) {
    Send(Pong{ ping->sequence, m_position });
    return;
  }
  const auto* hello = std::get_if<Hello>(&aFrame);
  if (hello != nullptr && m_compression) {
    m_compression->OnHelloReceived(*hello);
  }
  const auto listener = m_listener.lock();
  if (listener) {
    listener->OnFrame(*this, std::move(aFrame));
  }
}

void
Connection::OnTimer()
{
  if (m_ended) {
    return;
  }
  if (!m_connected) {
    // libevent writes queued frames as soon as the socket is connected, and
    // calls OnEvent later in the same round of the event loop. A timeout that
    // is due in between is no failure.
    if (!WroteBeforeConnected()) {
      End(CloseReason::kConnectFailed);
    }
    return;
  }
  const auto now = m_clock.Now();
  const auto sinceLast = now - m_lastHeartbeat;
  m_lastHeartbeat = now;
  // A pause of this process says nothing about the peer, so the count of missed
  // heartbeats restarts.
  const bool paused = sinceLast > 2 * m_settings.heartbeatInterval;
  const bool heard = now - m_lastRead < m_settings.heartbeatInterval;
  const bool restarts = paused || heard || !m_pinged;
  m_missedHeartbeats = restarts ? 0 : m_missedHeartbeats + 1;
  if (m_missedHeartbeats >= m_settings.missedHeartbeatLimit) {
    End(CloseReason::kHeartbeatTimeout);
    return;
  }
  SendPing();
}

void
Connection::End(CloseReason aReason)
{
  if (m_ended) {
    return;
  }
  const auto self = shared_from_this();
  m_ended = true;
  event_del(m_timer);
  if (m_flush != nullptr) {
    event_del(m_flush);
  }
  bufferevent_disable(m_bufferEvent, EV_READ | EV_WRITE);
  bufferevent_setcb(m_bufferEvent, nullptr, nullptr, nullptr, nullptr);
  if (aReason == CloseReason::kClosed) {
    // The peer may wait for this in FinishSending().
    shutdown(bufferevent_getfd(m_bufferEvent), SHUT_WR);
  }
  const auto listener = m_listener.lock();
  if (listener) {
    listener->OnClosed(*this, aReason);
  }
}

}
