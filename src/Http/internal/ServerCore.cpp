#include "src/Http/internal/ServerCore.h"

#include <sys/socket.h>

#include "src/Http/HttpError.h"
#include "src/Http/internal/ServerConnection.h"
#include "src/Http/internal/SocketAddress.h"

namespace pistachioshift::internal {
namespace {

constexpr int kBacklog = 1024;
constexpr Duration kAcceptRetry = std::chrono::milliseconds(100);

}

ServerCore::ServerCore(event_base* aBase,
                       const HttpLimits& aLimits,
                       HttpServer::Handler aHandler,
                       HttpServer::RefusalCounter aOnRefusal)
  : m_base(aBase)
  , m_limits(aLimits)
  , m_handler(std::move(aHandler))
  , m_onRefusal(std::move(aOnRefusal))
  , m_acceptRetry(event_new(aBase, -1, 0, HandleAcceptRetry, this))
{
}

void
ServerCore::Listen(const Endpoint& aEndpoint)
{
  const auto address = HttpAddressOf(aEndpoint);
  constexpr unsigned kFlags =
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE;
  m_listener.reset(evconnlistener_new_bind(m_base,
                                           HandleAccept,
                                           this,
                                           kFlags,
                                           kBacklog,
                                           address.Get(),
                                           static_cast<int>(address.Length())));
  if (!m_listener) {
    throw HttpError("can't listen on " + HostFieldOf(aEndpoint));
  }
  evconnlistener_set_error_cb(m_listener.get(), HandleAcceptError);
  m_endpoint = LocalEndpointOf(evconnlistener_get_fd(m_listener.get()));
}

void
ServerCore::HandleAccept(evconnlistener* /*aListener*/,
                         evutil_socket_t aSocket,
                         sockaddr* /*aPeer*/,
                         int /*aPeerSize*/,
                         void* aCore)
{
  static_cast<ServerCore*>(aCore)->Accept(aSocket);
}

void
ServerCore::HandleAcceptError(evconnlistener* aListener, void* aCore)
{
  // Out of descriptors: the waiting connection would wake the loop at once.
  evconnlistener_disable(aListener);
  timeval wait = ToTimeval(kAcceptRetry);
  event_add(static_cast<ServerCore*>(aCore)->m_acceptRetry.get(), &wait);
}

void
ServerCore::HandleAcceptRetry(evutil_socket_t /*aSocket*/,
                              short /*aWhat*/,
                              void* aCore)
{
  auto* core = static_cast<ServerCore*>(aCore);
  if (core->m_listener) {
    evconnlistener_enable(core->m_listener.get());
  }
}

void
ServerCore::Accept(evutil_socket_t aSocket)
{
  if (m_connections.size() >= m_limits.maxConnections) {
    evutil_closesocket(aSocket);
    CountRefusal(HttpRefusal::kTooManyConnections);
    return;
  }
  auto connection =
    std::make_shared<ServerConnection>(shared_from_this(), aSocket);
  m_connections.insert(connection);
}

void
ServerCore::AcceptWaiting()
{
  if (!m_listener) {
    return;
  }
  const auto listening = evconnlistener_get_fd(m_listener.get());
  for (;;) {
    const int one =
      accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (one < 0) {
      return;
    }
    Accept(one);
  }
}

void
ServerCore::StopAccepting()
{
  // Closing the listener would reset those that are connected already.
  AcceptWaiting();
  m_stopping = true;
  m_listener.reset();
  auto connections = m_connections;
  for (const auto& connection : connections) {
    connection->CloseIfIdle();
  }
}

void
ServerCore::CloseAll()
{
  m_stopping = true;
  m_listener.reset();
  auto connections = m_connections;
  for (const auto& connection : connections) {
    connection->Close(AbortReason::kShutdown);
  }
}

size_t
ServerCore::UnsentBytes() const
{
  size_t bytes = 0;
  for (const auto& connection : m_connections) {
    bytes += connection->BufferedBytes();
  }
  return bytes;
}

void
ServerCore::Handle(std::shared_ptr<ServerExchange> aExchange)
{
  ++m_active;
  m_handler(std::move(aExchange));
}

void
ServerCore::CountRefusal(HttpRefusal aRefusal)
{
  if (m_onRefusal) {
    m_onRefusal(aRefusal);
  }
}

void
ServerCore::Forget(const std::shared_ptr<ServerConnection>& aConnection)
{
  m_connections.erase(aConnection);
}

}
