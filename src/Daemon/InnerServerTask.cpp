#include "src/Daemon/InnerServerTask.h"

#include <algorithm>

#include <sys/socket.h>

#include <event2/event.h>
#include <event2/listener.h>
#include <fmt/format.h>

#include "src/Daemon/InnerSession.h"
#include "src/Inner/SocketAddress.h"

namespace pistachioshift {

namespace {

constexpr int kBacklog = 512; // connections

/** Interval of checks whether peers have to be told the position of the outcome
 * table. */
constexpr Duration kPositionInterval = std::chrono::seconds(1);

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
  , m_startedAt(aClock.Now())
  , m_calls(aCalls)
  , m_services(std::move(aServices))
  , m_metrics(aMetrics)
  , m_bulk(aBulk)
  , m_positionTimer(aBase, [this] { TellPositions(); })
{
  m_positionTimer.StartEvery(kPositionInterval);
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
  auto bound = address;
  socklen_t length = bound.Length();
  getsockname(evconnlistener_get_fd(m_listener), bound.Get(), &length);
  m_endpoint = internal::ToEndpoint(bound);
}

InnerServerTask::~InnerServerTask()
{
  StopListening();
}

void
InnerServerTask::StopListening()
{
  if (m_listener != nullptr) {
    evconnlistener_free(m_listener);
    m_listener = nullptr;
  }
}

void
InnerServerTask::AcceptWaiting()
{
  const auto listening = evconnlistener_get_fd(m_listener);
  for (;;) {
    const int one =
      accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (one < 0) {
      return;
    }
    OnAccepted(one);
  }
}

void
InnerServerTask::FailRunning()
{
  const auto sessions = m_sessions;
  for (const auto& session : sessions) {
    session->FailRunning();
  }
}

void
InnerServerTask::SayGoodbye()
{
  if (m_saidGoodbye) {
    return;
  }
  // Closing the listener resets connections that have not been accepted yet,
  // and their peers could not tell whether a request ran.
  AcceptWaiting();
  StopListening();
  m_saidGoodbye = true;
  const auto sessions = m_sessions;
  for (const auto& session : sessions) {
    session->Send(Goodbye{});
  }
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
InnerServerTask::TellPositions()
{
  for (const auto& session : m_sessions) {
    session->TellPosition(kPositionStep);
  }
}

void
InnerServerTask::OnAccepted(int aSocket)
{
  const auto session = std::make_shared<InnerSession>(*this);
  m_sessions.insert(session);
  session->Start(aSocket);
}

}
