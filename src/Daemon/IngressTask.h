#ifndef PISTACHIOSHIFT_DAEMON_INGRESSTASK_H
#define PISTACHIOSHIFT_DAEMON_INGRESSTASK_H

#include <memory>
#include <vector>

#include "Pistachioshift/Http"
#include "src/Base/Random.h"
#include "src/Daemon/BulkQueue.h"
#include "src/Daemon/IngressDialect.h"
#include "src/Daemon/Metrics.h"
#include "src/Daemon/RequestRouter.h"

namespace pistachioshift {

class IngressSession;

/** \brief What a session needs of its daemon. */
struct IngressContext
{
  event_base* base;
  const Clock& clock;
  RandomEngine& random;
  IngressDialect& dialect;
  RequestRouter& router;
  Metrics& metrics;
  BulkQueue& bulk; ///< Of the host's link.
};

/** \brief Takes callers' requests and sees each through to its outcome. */
class IngressTask
{
public:
  /** \throws HttpError if the endpoint can't be bound. */
  IngressTask(const IngressContext& aContext,
              const Endpoint& aEndpoint,
              const HttpLimits& aLimits);

  /** \brief Callers are told to open their next connection elsewhere. */
  void BeginClosing() { m_server.BeginClosing(); }

  /** \brief No new connections; busy ones finish. */
  void StopAccepting() { m_server.StopAccepting(); }

  /** \brief Requests without an answer get a final one: the process ends. */
  void FailPendingRequests();

  size_t Active() const { return m_server.Active(); }
  size_t Connections() const { return m_server.Connections(); }

private:
  void Begin(std::shared_ptr<ServerExchange> aExchange);

  IngressContext m_context;
  std::vector<std::weak_ptr<IngressSession>> m_sessions;
  size_t m_pruneThreshold = 0; ///< Ended sessions are forgotten at this many.
  HttpServer m_server;
};

}

#endif
