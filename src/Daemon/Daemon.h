#ifndef PISTACHIOSHIFT_DAEMON_DAEMON_H
#define PISTACHIOSHIFT_DAEMON_DAEMON_H

#include <memory>
#include <optional>

#include "src/Base/Clock.h"
#include "src/Base/Logger.h"
#include "src/Base/Random.h"
#include "src/Daemon/BackendTask.h"
#include "src/Daemon/DocumentDialect.h"
#include "src/Daemon/DocumentTask.h"
#include "src/Daemon/IngressTask.h"
#include "src/Daemon/InnerServerTask.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/OperatorTask.h"
#include "src/Daemon/PeersTask.h"
#include "src/Daemon/PlannerTask.h"
#include "src/Daemon/RebalanceTask.h"
#include "src/Daemon/RelayTask.h"
#include "src/Daemon/Router.h"
#include "src/Daemon/Settings.h"
#include "src/Daemon/Status.h"

namespace pistachioshift {

/** \brief All tasks of pistachiod; they run on one event loop. */
class Daemon
{
public:
  /** \throws Error if an endpoint can't be bound. */
  Daemon(event_base* aBase, const Settings& aSettings);

  void Start();

  /**
   * \brief Begins a planned leave (rule R7): entries are handed over, running
   * requests end, then the event loop is stopped.
   */
  void BeginLeave();

private:
  void OnDocument(const DocumentState& aState);
  void OnServerReady(bool aReady);
  void OnLeaveTick();
  void FinishLeave(MonoTime aNow);
  void AddOperatorHandlers();
  OperatorAnswer HandleMove(const OperatorRequest& aRequest);
  std::string RenderMetrics();
  InnerServices MakeInnerServices();

  event_base* m_base;
  Settings m_settings;
  SystemClock m_clock;
  RandomEngine m_random;
  BootId m_boot;
  Logger m_logger;
  Metrics m_metrics;
  HttpLogService m_logService;
  MeshTask m_mesh;
  DocumentTask m_document;
  BackendTask m_backend;
  PeersTask m_peers;
  Router m_router;
  RelayTask m_relay;
  PlannerTask m_planner;
  RebalanceTask m_rebalance;
  BulkQueue m_bulk;
  InnerServerTask m_inner;
  DocumentDialect m_dialect;
  IngressTask m_ingress;
  OperatorTask m_operator;
  StatusSources m_status;
  Timer m_leaveTimer;
  MonoTime m_leaveStartedAt;
  MonoTime m_lastBusyAt; ///< During a leave: with work or connections.
  bool m_serverWasReady = false;
  bool m_leaving = false;
  std::optional<MonoTime> m_goodbyeAt; ///< When peers were told of the exit.
  bool m_acceptStopped = false;        ///< The callers' port is closed.
};

}

#endif
