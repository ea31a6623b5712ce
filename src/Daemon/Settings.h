#ifndef PISTACHIOSHIFT_DAEMON_SETTINGS_H
#define PISTACHIOSHIFT_DAEMON_SETTINGS_H

#include <string>
#include <string_view>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Base/Logger.h"

namespace pistachioshift {

/** \brief The daemon's own addresses and place. */
struct PlaceSettings
{
  HostName host;
  ZoneName zone;
  RegionName region;
  Endpoint inner;     ///< TCP and UDP, towards other daemons.
  Endpoint callers;   ///< HTTP, towards callers.
  Endpoint operators; ///< HTTP, metrics and status.
};

/** \brief The backend server beside the daemon. */
struct ServerSettings
{
  Endpoint endpoint;
  std::vector<ServiceName> services;
  uint32_t slots = 1;
  bool checksFences = true;
  Duration healthInterval = std::chrono::milliseconds(200);
};

/** \brief The platform's log service. */
struct LogSettings
{
  Endpoint endpoint;
  std::string ownershipStream = "ownership";
  std::string documentStream = "document";
  Duration checkpointInterval = std::chrono::minutes(10);
};

/** \brief Bounds of the daemon's own work. */
struct LimitSettings
{
  size_t callerConnections = 4096;
  size_t serverConnections = 100;
};

/** \brief Settings of pistachiod; read once at start. */
struct Settings
{
  PlaceSettings place;
  ServerSettings server;
  LogSettings log;
  LimitSettings limits;
  LogLevel logLevel = LogLevel::kInfo;
};

/**
 * \brief Reads settings in TOML.
 * \param aName of the file, for messages.
 * \throws ConfigError as `file:line:column: field: problem`.
 */
Settings ParseSettings(std::string_view aText, const std::string& aName);

/** \brief Reads a settings file; throws ConfigError. */
Settings ReadSettings(const std::string& aPath);

}

#endif
