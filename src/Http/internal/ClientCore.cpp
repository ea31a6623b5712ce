#include "src/Http/internal/ClientCore.h"

#include <algorithm>

#include "src/Http/HttpError.h"
#include "src/Http/internal/ClientConnection.h"
#include "src/Http/internal/ClientState.h"
#include "src/Http/internal/SocketAddress.h"

namespace pistachioshift::internal {

ClientCore::ClientCore(event_base* aBase,
                       const Endpoint& aEndpoint,
                       const HttpClientLimits& aLimits)
  : m_base(aBase)
  , m_endpoint(aEndpoint)
  , m_hostField(HostFieldOf(aEndpoint))
  , m_limits(aLimits)
  , m_dispatch(event_new(aBase, -1, 0, HandleDispatch, this))
{
  HttpAddressOf(aEndpoint); // Throws now rather than at a connect.
}

std::shared_ptr<ClientExchange>
ClientCore::Start(const RequestHead& aHead,
                  std::shared_ptr<ClientListener> aListener,
                  HttpClientPool::BeforeWrite aBeforeWrite)
{
  auto state = std::make_unique<ClientState>();
  bool sendable = true;
  try {
    state->head = WriteRequestHead(aHead, m_hostField);
  } catch (const HttpError&) {
    sendable = false;
  }
  state->isHead = aHead.method == "HEAD";
  state->listener = std::move(aListener);
  state->beforeWrite = std::move(aBeforeWrite);
  state->core = weak_from_this();
  state->body = BodyOf(aHead);
  state->outputHighWatermark = m_limits.outputHighWatermark;
  auto exchange = std::make_shared<ClientExchange>(std::move(state));
  if (!sendable) {
    Reject(exchange, ClientFailure::kUnsendable);
  } else if (m_waiting.size() >= m_limits.maxWaiting) {
    Reject(exchange, ClientFailure::kPoolExhausted);
  } else {
    m_waiting.push_back(exchange);
    ScheduleDispatch();
  }
  return exchange;
}

void
ClientCore::Reject(ExchangePtr aExchange, ClientFailure aFailure)
{
  m_rejected.push_back(Rejected{ std::move(aExchange), aFailure });
  ScheduleDispatch();
}

void
ClientCore::ScheduleDispatch()
{
  event_active(m_dispatch.get(), EV_TIMEOUT, 0);
}

void
ClientCore::HandleDispatch(evutil_socket_t /*aSocket*/,
                           short /*aWhat*/,
                           void* aCore)
{
  static_cast<ClientCore*>(aCore)->Dispatch();
}

void
ClientCore::Dispatch()
{
  auto self = shared_from_this();
  FailRejected();
  while (!m_closed && !m_waiting.empty() && !m_idle.empty()) {
    DispatchOne();
  }
  OpenConnections();
}

void
ClientCore::FailRejected()
{
  while (!m_rejected.empty()) {
    const Rejected rejected = std::move(m_rejected.front());
    m_rejected.pop_front();
    Fail(rejected.exchange, rejected.failure);
  }
}

void
ClientCore::Fail(const ExchangePtr& aExchange, ClientFailure aFailure)
{
  if (auto listener = aExchange->m_state->End()) {
    listener->OnFailed(aFailure);
  }
}

void
ClientCore::DispatchOne()
{
  auto connection = std::move(m_idle.back());
  m_idle.pop_back();
  if (!connection->IsUsable()) {
    connection->Close();
    if (connection->IsFresh()) {
      FailFirst(ClientFailure::kNotWritten);
    }
    return;
  }
  ExchangePtr exchange = std::move(m_waiting.front());
  m_waiting.pop_front();
  switch (connection->Write(exchange)) {
    case WriteResult::kWritten:
      return;
    case WriteResult::kDead:
      connection->Close();
      if (connection->IsFresh()) {
        Fail(exchange, ClientFailure::kNotWritten);
      } else {
        m_waiting.push_front(std::move(exchange));
      }
      return;
    case WriteResult::kRefused:
      if (!m_closed) {
        m_idle.push_back(std::move(connection));
      }
      Fail(exchange, ClientFailure::kNotWritten);
      return;
  }
}

void
ClientCore::OpenConnections()
{
  while (!m_closed && m_connecting < m_waiting.size() &&
         m_connections.size() < m_limits.maxConnections) {
    auto connection = std::make_shared<ClientConnection>(shared_from_this());
    m_connections.insert(connection);
    ++m_connecting;
    if (!connection->Connect()) {
      connection->Close();
      ConnectFailed(ClientFailure::kConnectRefused);
    }
  }
}

void
ClientCore::Connected(const std::shared_ptr<ClientConnection>& aConnection)
{
  --m_connecting;
  BecameIdle(aConnection);
}

void
ClientCore::ConnectFailed(ClientFailure aFailure)
{
  --m_connecting;
  ScheduleDispatch();
  if (m_waiting.size() <= m_connecting) {
    return; // The others suffice for those that still wait.
  }
  FailFirst(aFailure);
}

void
ClientCore::FailFirst(ClientFailure aFailure)
{
  if (m_waiting.empty()) {
    return;
  }
  ExchangePtr exchange = std::move(m_waiting.front());
  m_waiting.pop_front();
  Fail(exchange, aFailure);
}

void
ClientCore::BecameIdle(const std::shared_ptr<ClientConnection>& aConnection)
{
  m_idle.push_back(aConnection);
  if (!m_waiting.empty()) {
    ScheduleDispatch();
  }
}

void
ClientCore::Forget(const std::shared_ptr<ClientConnection>& aConnection)
{
  std::erase(m_idle, aConnection);
  m_connections.erase(aConnection);
  if (!m_waiting.empty()) {
    ScheduleDispatch();
  }
}

void
ClientCore::Withdraw(const ClientExchange& aExchange)
{
  auto isIt = [&](const ExchangePtr& aOther) {
    return aOther.get() == &aExchange;
  };
  std::erase_if(m_waiting, isIt);
  std::erase_if(m_rejected, [&](const Rejected& aOther) {
    return aOther.exchange.get() == &aExchange;
  });
}

void
ClientCore::CloseAll()
{
  m_closed = true;
  auto connections = m_connections;
  for (const auto& connection : connections) {
    connection->Close();
  }
  auto waiting = std::move(m_waiting);
  m_waiting.clear();
  for (const ExchangePtr& exchange : waiting) {
    exchange->m_state->End();
  }
  for (const Rejected& rejected : m_rejected) {
    rejected.exchange->m_state->End();
  }
  m_rejected.clear();
}

}
