#include "src/Daemon/IngressTask.h"

#include "src/Daemon/IngressSession.h"

namespace pistachioshift {

IngressTask::IngressTask(const IngressContext& aContext,
                         const Endpoint& aEndpoint,
                         const HttpLimits& aLimits)
  : m_context(aContext)
  , m_server(
      aContext.base,
      aEndpoint,
      aLimits,
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
