#ifndef PISTACHIOSHIFT_DAEMON_STATUS_H
#define PISTACHIOSHIFT_DAEMON_STATUS_H

#include <string>

#include "src/Daemon/BackendTask.h"
#include "src/Daemon/DocumentTask.h"
#include "src/Daemon/MeshTask.h"
#include "src/Daemon/Settings.h"

namespace pistachioshift {

/** \brief What the status pages are made of. */
struct StatusSources
{
  const Settings& settings;
  BootId boot;
  MeshTask& mesh;
  DocumentTask& document;
  BackendTask& backend;
};

/** \brief The whole state as JSON, for GET /status. */
std::string RenderStatus(const StatusSources& aSources);

/** \brief Who serves a key and why, as JSON, for GET /explain. */
std::string RenderExplanation(const StatusSources& aSources,
                              const ServiceName& aService,
                              const std::string& aKey);

}

#endif
