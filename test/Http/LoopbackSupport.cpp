#include "test/Http/LoopbackSupport.h"

#include <sys/socket.h>

#include "src/Http/internal/SocketAddress.h"

namespace pistachioshift::test {
namespace {

constexpr Duration kGiveUp = std::chrono::seconds(60);
constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr int kBriefRounds = 50;
const Endpoint kAnyPort{ "127.0.0.1", 0 };

}

LoopbackTest::LoopbackTest()
  : m_base(event_base_new())
{
}

LoopbackTest::~LoopbackTest()
{
  m_pool.reset();
  m_server.reset();
}

void
LoopbackTest::StartServer(HttpServer::Handler aHandler)
{
  m_server = std::make_unique<HttpServer>(
    m_base.get(),
    kAnyPort,
    m_limits,
    std::move(aHandler),
    [this](HttpRefusal aRefusal) { ++m_refusals[aRefusal]; });
}

void
LoopbackTest::StartPool()
{
  m_pool = std::make_unique<HttpClientPool>(
    m_base.get(), m_server->LocalEndpoint(), m_clientLimits);
}

bool
LoopbackTest::RunUntil(const std::function<bool()>& aDone)
{
  MonoTime end = SystemClock().Now() + kGiveUp;
  while (!aDone() && SystemClock().Now() < end) {
    timeval step = internal::ToTimeval(kStep);
    event_base_loopexit(m_base.get(), &step);
    event_base_loop(m_base.get(), EVLOOP_ONCE);
  }
  return aDone();
}

void
LoopbackTest::RunBriefly()
{
  for (int i = 0; i < kBriefRounds; ++i) {
    event_base_loop(m_base.get(), EVLOOP_NONBLOCK);
  }
}

RawPeer::RawPeer(event_base* aBase, const Endpoint& aEndpoint)
  : m_stream(bufferevent_socket_new(aBase, -1, BEV_OPT_CLOSE_ON_FREE))
{
  const auto address = internal::HttpAddressOf(aEndpoint);
  bufferevent_setcb(
    m_stream.get(),
    nullptr,
    nullptr,
    [](bufferevent*, short aWhat, void* aSelf) {
      auto* self = static_cast<RawPeer*>(aSelf);
      if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        self->m_closed = true;
        self->m_reset = (aWhat & BEV_EVENT_ERROR) != 0;
      }
    },
    this);
  bufferevent_enable(m_stream.get(), EV_READ | EV_WRITE);
  bufferevent_socket_connect(
    m_stream.get(), address.Get(), static_cast<int>(address.Length()));
}

void
RawPeer::Write(std::string_view aData)
{
  bufferevent_write(m_stream.get(), aData.data(), aData.size());
}

std::string
RawPeer::Received() const
{
  evbuffer* input = bufferevent_get_input(m_stream.get());
  std::string text(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, text.data(), text.size());
  return text;
}

RawServer::RawServer(event_base* aBase, std::string aAnswer, bool aCloseAfter)
  : m_base(aBase)
  , m_answer(std::move(aAnswer))
  , m_closeAfter(aCloseAfter)
{
  const auto address = internal::HttpAddressOf(kAnyPort);
  auto accept =
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<RawServer*>(aSelf)->Accept(aSocket);
    };
  m_listener.reset(evconnlistener_new_bind(aBase,
                                           accept,
                                           this,
                                           LEV_OPT_CLOSE_ON_FREE,
                                           -1,
                                           address.Get(),
                                           static_cast<int>(address.Length())));
  m_endpoint =
    internal::LocalEndpointOf(evconnlistener_get_fd(m_listener.get()));
}

void
RawServer::Accept(evutil_socket_t aSocket)
{
  auto read = [](bufferevent* aStream, void* aSelf) {
    static_cast<RawServer*>(aSelf)->Read(aStream);
  };
  m_streams.emplace_back(
    bufferevent_socket_new(m_base, aSocket, BEV_OPT_CLOSE_ON_FREE));
  bufferevent* stream = m_streams.back().get();
  bufferevent_setcb(stream, read, nullptr, nullptr, this);
  bufferevent_enable(stream, EV_READ | EV_WRITE);
}

void
RawServer::ResetStreams()
{
  for (const auto& stream : m_streams) {
    const sockaddr nowhere{ .sa_family = AF_UNSPEC, .sa_data = {} };
    const auto socket = bufferevent_getfd(stream.get());
    EXPECT_EQ(connect(socket, &nowhere, sizeof(nowhere)), 0);
  }
}

void
RawServer::ShutDownStreams()
{
  for (const auto& stream : m_streams) {
    shutdown(bufferevent_getfd(stream.get()), SHUT_RDWR);
  }
}

void
RawServer::Read(bufferevent* aStream)
{
  evbuffer* input = bufferevent_get_input(aStream);
  std::string text(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, text.data(), text.size());
  m_received += text;
  evutil_socket_t socket = bufferevent_getfd(aStream);
  send(socket, m_answer.data(), m_answer.size(), MSG_NOSIGNAL);
  if (m_closeAfter) {
    shutdown(socket, SHUT_RDWR);
  }
}

void
Answer(ServerExchange& aExchange, std::string_view aBody)
{
  aExchange.SendHead({ .status = 200, .contentLength = aBody.size() });
  aExchange.SendBody(aBody);
  aExchange.Finish();
}

}
