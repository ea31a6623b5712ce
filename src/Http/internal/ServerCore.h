#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_SERVERCORE_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_SERVERCORE_H

#include <memory>
#include <unordered_set>

#include "src/Http/Server.h"
#include "src/Http/internal/EventHandles.h"

namespace pistachioshift::internal {

class ServerConnection;

/** Listening socket and connections of an HttpServer. */
class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
  ServerCore(event_base* aBase,
             const HttpLimits& aLimits,
             HttpServer::Handler aHandler,
             HttpServer::RefusalCounter aOnRefusal);

  void Listen(const Endpoint& aEndpoint);
  void BeginClosing() { m_stopping = true; }
  void StopAccepting();
  void CloseAll();
  Endpoint LocalEndpoint() const { return m_endpoint; }
  size_t Connections() const { return m_connections.size(); }
  size_t Active() const { return m_active; }
  size_t UnsentBytes() const;

  // For connections.
  event_base* Base() const { return m_base; }
  const HttpLimits& Limits() const { return m_limits; }
  bool Stopping() const { return m_stopping; }
  bool Accepting() const { return m_listener != nullptr; }
  void Handle(std::shared_ptr<ServerExchange> aExchange);
  void CountRefusal(HttpRefusal aRefusal);
  void SetErrorHandler(HttpServer::ErrorHandler aHandler)
  {
    m_onError = std::move(aHandler);
  }
  bool ContainsErrors() const { return m_onError != nullptr; }
  void ReportError(std::string_view aProblem, const RequestHead* aHead) const
  {
    m_onError(aProblem, aHead);
  }
  void ExchangeEnded() { --m_active; }
  void Forget(const std::shared_ptr<ServerConnection>& aConnection);

private:
  static void HandleAccept(evconnlistener* aListener,
                           evutil_socket_t aSocket,
                           sockaddr* aPeer,
                           int aPeerSize,
                           void* aCore);
  static void HandleAcceptError(evconnlistener* aListener, void* aCore);
  static void HandleAcceptRetry(evutil_socket_t aSocket,
                                short aWhat,
                                void* aCore);
  void Accept(evutil_socket_t aSocket);
  void AcceptWaiting();

  event_base* m_base;
  HttpLimits m_limits;
  HttpServer::Handler m_handler;
  HttpServer::RefusalCounter m_onRefusal;
  HttpServer::ErrorHandler m_onError;
  Endpoint m_endpoint;
  ListenerPtr m_listener;
  EventPtr m_acceptRetry;
  std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
  size_t m_active = 0;
  bool m_stopping = false;
};

}

#endif
