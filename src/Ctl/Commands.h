#ifndef PISTACHIOSHIFT_CTL_COMMANDS_H
#define PISTACHIOSHIFT_CTL_COMMANDS_H

#include "src/Ctl/CtlError.h"
#include "src/Ctl/Options.h"

namespace pistachioshift {

// One function per command. All throw ConfigError for bad input and
// UnreachableError without an answer; results go to standard output.

ExitCode CheckDocument(const Options& aOptions);
ExitCode GenerateTeamKey(const Options& aOptions);
ExitCode EditDocument(const Options& aOptions);
ExitCode ShowDocument(const Options& aOptions);
ExitCode ShowHistory(const Options& aOptions);
ExitCode ShowDiff(const Options& aOptions);
ExitCode ShowDocumentStatus(const Options& aOptions);

ExitCode ShowStatus(const Options& aOptions);
ExitCode ShowOwners(const Options& aOptions);
ExitCode ExplainKey(const Options& aOptions);
ExitCode DrainDaemon(const Options& aOptions);
ExitCode UndrainDaemon(const Options& aOptions);
ExitCode MoveEntry(const Options& aOptions);

ExitCode TailLog(const Options& aOptions);

}

#endif
