#ifndef PISTACHIOSHIFT_DAEMON_STATUS_H
#define PISTACHIOSHIFT_DAEMON_STATUS_H

#include <string>

#include "src/Daemon/BackendTask.h"
#include "src/Daemon/DocumentTask.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/Settings.h"

namespace pistachioshift {

/** \brief The objects whose state the status pages show. */
struct StatusSources
{
  const Settings& settings;
  BootId boot;
  MeshTask& mesh;
  DocumentTask& document;
  BackendTask& backend;
};

/** \brief The daemon's state as JSON, for GET /status. */
std::string RenderStatus(const StatusSources& aSources);

/**
 * \brief Where requests for a key are routed, and the entries behind that, as
 * JSON, for GET /explain.
 */
std::string RenderExplanation(const StatusSources& aSources,
                              const ServiceName& aService,
                              const std::string& aKey);

}

#endif
