#include "src/Daemon/IngressTask.h"

#include "src/Daemon/IngressSession.h"

namespace pistachioshift {

namespace {

HttpLimits
ServerLimits(const Settings& aSettings)
{
  HttpLimits limits;
  limits.maxConnections = aSettings.limits.callerConnections;
  return limits;
}

}

IngressTask::IngressTask(const IngressContext& aContext,
                         const Settings& aSettings)
  : m_context(aContext)
  , m_server(
      aContext.base,
      aSettings.place.callers,
      ServerLimits(aSettings),
      [this](std::shared_ptr<ServerExchange> aExchange) {
        std::make_shared<IngressSession>(m_context, std::move(aExchange))
          ->Start();
      },
      [this](HttpRefusal aRefusal) {
        m_context.metrics.CountHttpRefusal(ToString(aRefusal));
      })
{
}

}
