#include "src/Daemon/IngressTask.h"

#include <utility>

#include "src/Daemon/IngressSession.h"

namespace pistachioshift {

namespace {

/** Smallest number of sessions at which ended ones are erased. */
constexpr size_t kMinPruneThreshold = 64;

}

IngressTask::IngressTask(const IngressContext& aContext,
                         const Endpoint& aEndpoint,
                         const HttpLimits& aLimits)
  : m_context(aContext)
  , m_server(
      aContext.base,
      aEndpoint,
      aLimits,
      [this](std::shared_ptr<ServerExchange> aExchange) {
        Begin(std::move(aExchange));
      },
      [this](HttpRefusal aRefusal) {
        m_context.metrics.CountHttpRefusal(ToString(aRefusal));
      })
{
  m_server.SetErrorHandler(
    [this](std::string_view aProblem, const RequestHead* aHead) {
      m_context.dialect.OnError(aProblem, aHead);
    });
}

void
IngressTask::Begin(std::shared_ptr<ServerExchange> aExchange)
{
  if (m_sessions.size() >= m_pruneThreshold) {
    std::erase_if(m_sessions,
                  [](const auto& aSession) { return aSession.expired(); });
    m_pruneThreshold = 2 * m_sessions.size() + kMinPruneThreshold;
  }
  const auto session =
    std::make_shared<IngressSession>(m_context, std::move(aExchange));
  m_sessions.push_back(session);
  session->Start();
}

void
IngressTask::FailPendingRequests()
{
  for (const auto& item : std::exchange(m_sessions, {})) {
    if (const auto session = item.lock()) {
      session->FailOnShutdown();
    }
  }
}

}
