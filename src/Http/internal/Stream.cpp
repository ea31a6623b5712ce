#include "src/Http/internal/Stream.h"

#include <cerrno>
#include <csignal>
#include <mutex>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "src/Http/HttpError.h"
#include "src/Http/internal/SocketAddress.h"

namespace pistachioshift::internal {
namespace {

void
SetNoDelay(evutil_socket_t aSocket)
{
  int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

ssize_t
PeekOne(evutil_socket_t aSocket)
{
  char byte = 0;
  return recv(aSocket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
}

void
HandleReadAgain(evutil_socket_t /*aSocket*/, short /*aWhat*/, void* aHandler)
{
  static_cast<StreamHandler*>(aHandler)->OnReadable();
}

void
HandleTimer(evutil_socket_t /*aSocket*/, short /*aWhat*/, void* aHandler)
{
  static_cast<StreamHandler*>(aHandler)->OnTimer();
}

}

void
IgnoreBrokenPipe()
{
  static std::once_flag once;
  std::call_once(once, [] { std::signal(SIGPIPE, SIG_IGN); });
}

Stream::Stream(event_base* aBase,
               evutil_socket_t aSocket,
               const StreamBounds& aBounds,
               StreamHandler& aHandler)
  : m_bounds(aBounds)
  , m_handler(aHandler)
  , m_stream(bufferevent_socket_new(aBase, aSocket, BEV_OPT_CLOSE_ON_FREE))
  , m_timer(event_new(aBase, -1, 0, HandleTimer, &aHandler))
  , m_readAgain(event_new(aBase, -1, 0, HandleReadAgain, &aHandler))
{
  if (aSocket >= 0) {
    SetNoDelay(aSocket);
  }
  bufferevent_setcb(m_stream.get(), HandleRead, HandleWrite, HandleEvent, this);
  bufferevent_setwatermark(
    m_stream.get(), EV_READ, 0, aBounds.inputHighWatermark);
  bufferevent_setwatermark(
    m_stream.get(), EV_WRITE, aBounds.outputLowWatermark, 0);
  bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
}

void
Stream::HandleRead(bufferevent* /*aStream*/, void* aSelf)
{
  static_cast<Stream*>(aSelf)->m_handler.OnReadable();
}

void
Stream::HandleWrite(bufferevent* /*aStream*/, void* aSelf)
{
  static_cast<Stream*>(aSelf)->m_handler.OnWritable();
}

void
Stream::HandleEvent(bufferevent* aStream, short aWhat, void* aSelf)
{
  const int error = EVUTIL_SOCKET_ERROR();
  auto* self = static_cast<Stream*>(aSelf);
  StreamHandler& handler = self->m_handler; // May destroy the stream.
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    SetNoDelay(bufferevent_getfd(aStream));
    handler.OnConnected();
  } else if ((aWhat & BEV_EVENT_EOF) != 0) {
    handler.OnStreamEnd(self->m_reset ? StreamEnd::kReset : StreamEnd::kEof);
  } else if ((aWhat & BEV_EVENT_TIMEOUT) != 0) {
    handler.OnStreamEnd(StreamEnd::kWriteStalled);
  } else if ((aWhat & BEV_EVENT_WRITING) != 0) {
    // A socket reports its error once, and reads after that see an end of file.
    // EPIPE is no such error: the peer had ended its output before the reset.
    self->m_reset = self->m_reset || error != EPIPE;
    handler.OnStreamEnd(StreamEnd::kWriteFailed);
  } else if ((aWhat & BEV_EVENT_ERROR) != 0) {
    handler.OnStreamEnd(StreamEnd::kReset);
  }
}

void
Stream::SetProbes(std::chrono::seconds aInterval)
{
  constexpr int kProbes = 3;
  const int on = 1;
  const int seconds = static_cast<int>(aInterval.count());
  const auto socket = Socket();
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof(kProbes));
}

bool
Stream::Connect(const Endpoint& aEndpoint)
{
  const auto address = HttpAddressOf(aEndpoint);
  return bufferevent_socket_connect(m_stream.get(),
                                    address.Get(),
                                    static_cast<int>(address.Length())) == 0;
}

void
Stream::SetWriteTimeout(Duration aTimeout)
{
  timeval timeout = ToTimeval(aTimeout);
  bufferevent_set_timeouts(m_stream.get(), nullptr, &timeout);
}

std::string_view
Stream::Front() const
{
  evbuffer_iovec part{};
  evbuffer* input = bufferevent_get_input(m_stream.get());
  if (evbuffer_peek(input, -1, nullptr, &part, 1) < 1) {
    return {};
  }
  return { static_cast<const char*>(part.iov_base), part.iov_len };
}

void
Stream::Drain(size_t aBytes)
{
  evbuffer_drain(bufferevent_get_input(m_stream.get()), aBytes);
  if (m_held && InputBytes() < m_bounds.inputHighWatermark) {
    m_held = false;
    bufferevent_enable(m_stream.get(), EV_READ);
  }
}

void
Stream::HoldWhenFull()
{
  if (!m_held && InputBytes() >= m_bounds.inputHighWatermark) {
    m_held = true;
    bufferevent_disable(m_stream.get(), EV_READ);
  }
}

size_t
Stream::InputBytes() const
{
  return evbuffer_get_length(bufferevent_get_input(m_stream.get()));
}

bool
Stream::HasUnreadBytes() const
{
  return InputBytes() > 0 || PeekOne(Socket()) > 0;
}

bool
Stream::PeerHasClosed() const
{
  const auto peeked = PeekOne(Socket());
  return peeked == 0 || (peeked < 0 && errno != EAGAIN && errno != EINTR);
}

bool
Stream::IsQuiet() const
{
  return InputBytes() == 0 && PeekOne(Socket()) < 0 && errno == EAGAIN;
}

evbuffer*
Stream::Output() const
{
  return bufferevent_get_output(m_stream.get());
}

size_t
Stream::OutputBytes() const
{
  return evbuffer_get_length(Output());
}

void
Stream::NotifyWhenEmpty()
{
  bufferevent_setwatermark(m_stream.get(), EV_WRITE, 0, 0);
}

void
Stream::ShutdownWrite()
{
  shutdown(Socket(), SHUT_WR);
}

void
Stream::SetResetOnClose(bool aReset)
{
  if (m_resetsOnClose == aReset) {
    return;
  }
  m_resetsOnClose = aReset;
  const linger option{ aReset ? 1 : 0, 0 };
  setsockopt(Socket(), SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

void
Stream::ScheduleWritable()
{
  bufferevent_trigger(m_stream.get(), EV_WRITE, BEV_TRIG_DEFER_CALLBACKS);
}

void
Stream::ScheduleRead()
{
  event_active(m_readAgain.get(), EV_TIMEOUT, 0);
}

void
Stream::StartTimer(Duration aTimeout)
{
  timeval timeout = ToTimeval(aTimeout);
  event_add(m_timer.get(), &timeout);
}

void
Stream::StopTimer()
{
  event_del(m_timer.get());
}

evutil_socket_t
Stream::Socket() const
{
  return bufferevent_getfd(m_stream.get());
}

}
