#ifndef PISTACHIOSHIFT_HTTP_INTERNAL_CLIENTCORE_H
#define PISTACHIOSHIFT_HTTP_INTERNAL_CLIENTCORE_H

#include <deque>
#include <memory>
#include <unordered_set>
#include <vector>

#include "src/Http/Client.h"
#include "src/Http/internal/EventHandles.h"

namespace pistachioshift::internal {

class ClientConnection;

/** Connections of an HttpClientPool and the requests that wait for one. */
class ClientCore : public std::enable_shared_from_this<ClientCore>
{
public:
  ClientCore(event_base* aBase,
             const Endpoint& aEndpoint,
             const HttpClientLimits& aLimits);

  std::shared_ptr<ClientExchange> Start(
    const RequestHead& aHead,
    std::shared_ptr<ClientListener> aListener,
    HttpClientPool::BeforeWrite aBeforeWrite);
  void Withdraw(const ClientExchange& aExchange);
  /** Ends an exchange with a failure, from the event loop. */
  void Reject(std::shared_ptr<ClientExchange> aExchange,
              ClientFailure aFailure);
  void SetErrorHandler(HttpClientPool::ErrorHandler aHandler)
  {
    m_onError = std::move(aHandler);
  }
  void CloseAll();
  size_t Connections() const { return m_connections.size(); }
  size_t IdleConnections() const { return m_idle.size(); }

  // For connections.
  event_base* Base() const { return m_base; }
  const Endpoint& Remote() const { return m_endpoint; }
  const HttpClientLimits& Limits() const { return m_limits; }
  bool ContainsErrors() const { return m_onError != nullptr; }
  void ReportError(std::string_view aProblem) const { m_onError(aProblem); }
  void Connected(const std::shared_ptr<ClientConnection>& aConnection);
  void ConnectFailed(ClientFailure aFailure);
  void FailFirst(ClientFailure aFailure);
  void BecameIdle(const std::shared_ptr<ClientConnection>& aConnection);
  void Forget(const std::shared_ptr<ClientConnection>& aConnection);

private:
  using ExchangePtr = std::shared_ptr<ClientExchange>;

  struct Rejected
  {
    ExchangePtr exchange;
    ClientFailure failure = ClientFailure::kPoolExhausted;
  };

  static void HandleDispatch(evutil_socket_t aSocket, short aWhat, void* aCore);
  void ScheduleDispatch();
  void Dispatch();
  void DispatchOne();
  void OpenConnections();
  void FailRejected();
  static void Fail(const ExchangePtr& aExchange, ClientFailure aFailure);

  event_base* m_base;
  Endpoint m_endpoint;
  std::string m_hostField;
  HttpClientLimits m_limits;
  EventPtr m_dispatch;
  std::unordered_set<std::shared_ptr<ClientConnection>> m_connections;
  std::vector<std::shared_ptr<ClientConnection>> m_idle; ///< Last used last.
  std::deque<ExchangePtr> m_waiting;
  std::deque<Rejected> m_rejected;
  HttpClientPool::ErrorHandler m_onError;
  size_t m_connecting = 0;
  bool m_closed = false;
};

}

#endif
