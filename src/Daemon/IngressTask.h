#ifndef PISTACHIOSHIFT_DAEMON_INGRESSTASK_H
#define PISTACHIOSHIFT_DAEMON_INGRESSTASK_H

#include <memory>

#include "Pistachioshift/Http"
#include "src/Base/Random.h"
#include "src/Daemon/IngressDialect.h"
#include "src/Daemon/Metrics.h"
#include "src/Daemon/RequestRouter.h"

namespace pistachioshift {

/** \brief What a session needs of its daemon. */
struct IngressContext
{
  event_base* base;
  const Clock& clock;
  RandomEngine& random;
  IngressDialect& dialect;
  RequestRouter& router;
  Metrics& metrics;
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

  size_t Active() const { return m_server.Active(); }
  size_t Connections() const { return m_server.Connections(); }

private:
  IngressContext m_context;
  HttpServer m_server;
};

}

#endif
