#ifndef PISTACHIOSHIFT_DAEMON_SETTINGS_H
#define PISTACHIOSHIFT_DAEMON_SETTINGS_H

#include <string>
#include <string_view>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Base/Logger.h"

namespace pistachioshift {

/** \brief The daemon's location and the endpoints that it binds. */
struct PlaceSettings
{
  HostName host;
  ZoneName zone;
  RegionName region;
  Endpoint inner;     ///< TCP and UDP, for other daemons.
  Endpoint callers;   ///< HTTP, for callers' requests.
  Endpoint operators; ///< HTTP, for metrics, status and commands.
};

/** \brief The daemon's backend server. */
struct ServerSettings
{
  Endpoint endpoint;
  std::vector<ServiceName> services;
  uint32_t slots = 1;       ///< Maximum number of requests at a time.
  bool checksFences = true; ///< Refuses fence tokens lower than one seen.
  Duration healthInterval = std::chrono::milliseconds(200);
};

/** \brief The log service and the names of its streams. */
struct LogSettings
{
  Endpoint endpoint;
  std::string ownershipStream = "ownership";
  std::string documentStream = "document";
  Duration checkpointInterval = std::chrono::minutes(10);
};

/** \brief Maximum numbers of open connections. */
struct LimitSettings
{
  size_t callerConnections = 4096; ///< From callers.
  size_t serverConnections = 100;  ///< To the backend server.
};

/** \brief Settings of pistachiod, read once at start-up. */
struct Settings
{
  PlaceSettings place;
  ServerSettings server;
  LogSettings log;
  LimitSettings limits;
  LogLevel logLevel = LogLevel::kInfo;
};

/**
 * \brief Parses settings in TOML.
 * \param aName name of the file, for error messages.
 * \throws ConfigError with the text `file:line:column: field: problem`.
 */
Settings ParseSettings(std::string_view aText, const std::string& aName);

/**
 * \brief Reads and parses a settings file.
 * \throws ConfigError if the file is unreadable or its content invalid.
 */
Settings ReadSettings(const std::string& aPath);

}

#endif
