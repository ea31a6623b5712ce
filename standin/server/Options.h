#ifndef PISTACHIOSHIFT_STANDIN_SERVER_OPTIONS_H
#define PISTACHIOSHIFT_STANDIN_SERVER_OPTIONS_H

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/Routing/ServicePolicy.h"

namespace pistachioshift::standin {

/** \brief Command line of the backend server stand-in. */
struct Options
{
  std::string address = "127.0.0.1";
  uint16_t port = 0; ///< 0 picks a free one.
  size_t slots = 9;  ///< Requests that may run at once.
  size_t queue = 16; ///< Requests that may wait for a slot.
  std::string service = "registry";
  Fencing fencing = Fencing::kChecked;
};

/** \brief Parses the command line; throws ConfigError. */
Options ParseOptions(int aCount, const char** aArguments);

}

#endif
