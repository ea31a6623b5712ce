#ifndef PISTACHIOSHIFT_CTL_PROGRAM_H
#define PISTACHIOSHIFT_CTL_PROGRAM_H

#include <string>
#include <vector>

#include "src/Ctl/CtlError.h"

namespace pistachioshift {

/** \brief Runs the command that the words name; errors go to stderr. */
ExitCode RunProgram(const std::vector<std::string>& aWords);

/** \brief All commands with their arguments and what they do. */
std::string ProgramHelp();

}

#endif
