#ifndef PISTACHIOSHIFT_DAEMON_INGRESSTASK_H
#define PISTACHIOSHIFT_DAEMON_INGRESSTASK_H

#include <functional>
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

/** \brief Services of the daemon that sessions use. */
struct IngressContext
{
  event_base* base;
  const Clock& clock;
  RandomEngine& random;
  IngressDialect& dialect;
  RequestRouter& router;
  Metrics& metrics;
  BulkQueue& bulk; ///< Queue for the host's network link.
  /// Called when a nested call has ended; may be empty.
  std::function<void(const IngressRecord&)> onNestedEnd;
};

/** \brief Accepts callers' requests and runs each to its outcome. */
class IngressTask
{
public:
  /** \throws HttpError if the endpoint can't be bound. */
  IngressTask(const IngressContext& aContext,
              const Endpoint& aEndpoint,
              const HttpLimits& aLimits);

  /** \brief The bound endpoint, with the port that was picked. */
  Endpoint LocalEndpoint() const { return m_server.LocalEndpoint(); }

  /** \brief Asks callers to open their next connection elsewhere. */
  void BeginClosing() { m_server.BeginClosing(); }

  /** \brief Accepts no new connections; requests in progress finish. */
  void StopAccepting() { m_server.StopAccepting(); }

  /**
   * \brief Refuses requests whose response has not begun and flushes the
   * others; called just before the process ends.
   */
  void FailPendingRequests();

  size_t Active() const { return m_server.Active(); }
  size_t Connections() const { return m_server.Connections(); }
  size_t UnsentBytes() const { return m_server.UnsentBytes(); }

private:
  void Begin(std::shared_ptr<ServerExchange> aExchange);

  IngressContext m_context;
  std::vector<std::weak_ptr<IngressSession>> m_sessions;
  /// Size of m_sessions at which ended ones are erased.
  size_t m_pruneThreshold = 0;
  HttpServer m_server;
};

}

#endif
