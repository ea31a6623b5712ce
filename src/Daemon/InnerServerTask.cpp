#include "src/Daemon/InnerServerTask.h"

#include <algorithm>

#include <event2/event.h>
#include <event2/listener.h>
#include <fmt/format.h>

#include "src/Daemon/InnerSession.h"
#include "src/Inner/SocketAddress.h"

namespace pistachioshift {

namespace {

constexpr int kBacklog = 512; // connections

}

InnerServerTask::InnerServerTask(event_base* aBase,
                                 const Clock& aClock,
                                 const Endpoint& aEndpoint,
                                 BootId aBoot,
                                 CallServer& aCalls,
                                 InnerServices aServices,
                                 Metrics& aMetrics,
                                 BulkQueue& aBulk)
  : m_base(aBase)
  , m_clock(aClock)
  , m_boot(aBoot)
  , m_calls(aCalls)
  , m_services(std::move(aServices))
  , m_metrics(aMetrics)
  , m_bulk(aBulk)
{
  const auto address = internal::ToSocketAddress(aEndpoint);
  m_listener = evconnlistener_new_bind(
    aBase,
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<InnerServerTask*>(aSelf)->OnAccepted(aSocket);
    },
    this,
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
    kBacklog,
    address.Get(),
    static_cast<int>(address.Length()));
  if (m_listener == nullptr) {
    throw InnerError(
      fmt::format("can't bind TCP {}:{}", aEndpoint.address, aEndpoint.port));
  }
}

InnerServerTask::~InnerServerTask()
{
  evconnlistener_free(m_listener);
}

Endpoint
InnerServerTask::LocalEndpoint() const
{
  internal::SocketAddress address;
  socklen_t length = address.Length();
  getsockname(evconnlistener_get_fd(m_listener), address.Get(), &length);
  address.SetLength(length);
  return internal::ToEndpoint(address);
}

bool
InnerServerTask::HasUnsent() const
{
  return m_bulk.Size() > 0 || std::any_of(m_sessions.begin(),
                                          m_sessions.end(),
                                          [](const auto& aSession) {
                                            return aSession->HasUnsent();
                                          });
}

void
InnerServerTask::FinishSending()
{
  for (const auto& session : m_sessions) {
    session->FinishSending();
  }
}

size_t
InnerServerTask::Finishing() const
{
  const auto finishing =
    std::count_if(m_sessions.begin(),
                  m_sessions.end(),
                  [](const auto& aSession) { return aSession->Finishing(); });
  return static_cast<size_t>(finishing);
}

void
InnerServerTask::OnAccepted(int aSocket)
{
  const auto session = std::make_shared<InnerSession>(*this);
  m_sessions.insert(session);
  session->Start(aSocket);
}

}
