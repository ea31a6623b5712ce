#ifndef PISTACHIOSHIFT_CTL_MESH_H
#define PISTACHIOSHIFT_CTL_MESH_H

#include <vector>

#include "src/Ctl/DaemonStatus.h"
#include "src/Ctl/Options.h"

namespace pistachioshift {

/** \brief Status of the first daemon of `--daemon` that answers. */
DaemonStatus AskOneDaemon(const Options& aOptions);

/**
 * \brief Status of every daemon that can be found.
 *
 * Beside those of `--daemon` the members that they name are asked, at the
 * operators' port they told, else at that of the first daemon.
 *
 * \throws UnreachableError if none answers.
 */
MeshAnswers AskAllDaemons(const Options& aOptions);

/**
 * \brief Operators' port of a daemon, given by id or as ADDRESS:PORT.
 * \throws ConfigError if no member has this id.
 */
Endpoint FindDaemon(const Options& aOptions, const std::string& aDaemon);

/** \brief Operators' port of a member; throws ConfigError if none has the id.
 */
Endpoint EndpointOf(const DaemonStatus& aStatus, DaemonId aDaemon);

}

#endif
