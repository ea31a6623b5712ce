#include "src/Http/Server.h"

#include "src/Http/internal/ServerConnection.h"
#include "src/Http/internal/ServerCore.h"

namespace pistachioshift {

std::string_view
ToString(HttpRefusal aRefusal)
{
  switch (aRefusal) {
    case HttpRefusal::kMalformed:
      return "malformed";
    case HttpRefusal::kAmbiguousLength:
      return "ambiguous-length";
    case HttpRefusal::kBadTarget:
      return "bad-target";
    case HttpRefusal::kBadMethod:
      return "bad-method";
    case HttpRefusal::kBadVersion:
      return "bad-version";
    case HttpRefusal::kHeadTooLarge:
      return "head-too-large";
    case HttpRefusal::kHeadTimeout:
      return "head-timeout";
    case HttpRefusal::kTooManyConnections:
      return "too-many-connections";
    case HttpRefusal::kUnsendableAnswer:
      return "unsendable-answer";
    case HttpRefusal::kInternalError:
      return "internal-error";
  }
  return "unknown";
}

std::string_view
ToString(AbortReason aReason)
{
  switch (aReason) {
    case AbortReason::kPeerClosed:
      return "peer-closed";
    case AbortReason::kMalformedBody:
      return "malformed-body";
    case AbortReason::kTimeout:
      return "timeout";
    case AbortReason::kShutdown:
      return "shutdown";
    case AbortReason::kUnsendable:
      return "unsendable";
    case AbortReason::kInternalError:
      return "internal-error";
  }
  return "unknown";
}

ServerExchange::ServerExchange(
  std::shared_ptr<internal::ServerConnection> aConnection,
  RequestHead aHead)
  : m_connection(std::move(aConnection))
  , m_head(std::move(aHead))
{
}

void
ServerExchange::SetListener(std::shared_ptr<ServerListener> aListener)
{
  if (m_connection) {
    m_listener = std::move(aListener);
    m_connection->BodyWanted();
  }
}

void
ServerExchange::PauseBody()
{
  if (m_connection) {
    m_connection->PauseBody();
  }
}

void
ServerExchange::ResumeBody()
{
  if (m_connection) {
    m_connection->ResumeBody();
  }
}

void
ServerExchange::SendHead(const ResponseHead& aHead)
{
  if (const auto connection = m_connection) {
    connection->SendHead(aHead);
  }
}

bool
ServerExchange::SendBody(std::string_view aData)
{
  const auto connection = m_connection;
  return !connection || connection->SendBody(aData);
}

void
ServerExchange::Finish()
{
  if (m_connection) {
    auto self = shared_from_this();
    if (!m_connection->Finish()) {
      Abort();
    }
  }
}

void
ServerExchange::Abort()
{
  if (m_connection) {
    auto self = shared_from_this();
    m_listener.reset(); // The caller of Abort knows.
    auto connection = m_connection;
    connection->Close(AbortReason::kShutdown);
  }
}

size_t
ServerExchange::BufferedBytes() const
{
  return m_connection ? m_connection->BufferedBytes() : 0;
}

HttpServer::HttpServer(event_base* aBase,
                       const Endpoint& aEndpoint,
                       const HttpLimits& aLimits,
                       Handler aHandler,
                       RefusalCounter aOnRefusal)
  : m_core(std::make_shared<internal::ServerCore>(aBase,
                                                  aLimits,
                                                  std::move(aHandler),
                                                  std::move(aOnRefusal)))
{
  internal::IgnoreBrokenPipe();
  m_core->Listen(aEndpoint);
}

HttpServer::~HttpServer()
{
  m_core->CloseAll();
}

void
HttpServer::SetErrorHandler(ErrorHandler aHandler)
{
  m_core->SetErrorHandler(std::move(aHandler));
}

Endpoint
HttpServer::LocalEndpoint() const
{
  return m_core->LocalEndpoint();
}

void
HttpServer::BeginClosing()
{
  m_core->BeginClosing();
}

void
HttpServer::StopAccepting()
{
  m_core->StopAccepting();
}

size_t
HttpServer::Active() const
{
  return m_core->Active();
}

size_t
HttpServer::Connections() const
{
  return m_core->Connections();
}

size_t
HttpServer::UnsentBytes() const
{
  return m_core->UnsentBytes();
}

}
