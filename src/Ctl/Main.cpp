#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <popt.h>

#include "src/Ctl/Program.h"

namespace {

using pistachioshift::ExitCode;

using PoptContext = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

// Flags before the command's name; the rest is the command's own.
struct ProgramFlags
{
  int help = 0;
  int version = 0;
  bool valid = true;
  std::vector<std::string> words;
};

ProgramFlags
ReadFlags(int aCount, const char** aArguments)
{
  ProgramFlags flags;
  const poptOption table[] = {
    { "help", 'h', POPT_ARG_NONE, &flags.help, 0, "show this", nullptr },
    { "version", 'V', POPT_ARG_NONE, &flags.version, 0, "show it", nullptr },
    POPT_TABLEEND
  };
  const PoptContext context(
    poptGetContext(
      "pistachioctl", aCount, aArguments, table, POPT_CONTEXT_POSIXMEHARDER),
    &poptFreeContext);
  poptSetOtherOptionHelp(context.get(), "[OPTION...] COMMAND ...");
  const int code = poptGetNextOpt(context.get());
  if (code < -1) {
    flags.valid = false;
    fmt::print(stderr,
               "pistachioctl: {}: {}\n",
               poptBadOption(context.get(), 0),
               poptStrerror(code));
  }
  if (flags.help != 0) {
    poptPrintHelp(context.get(), stdout, 0);
  }
  const char** rest = poptGetArgs(context.get());
  for (; rest && *rest; ++rest) {
    flags.words.emplace_back(*rest);
  }
  return flags;
}

}

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const auto flags = ReadFlags(aCount, const_cast<const char**>(aArguments));
  if (!flags.valid) {
    return static_cast<int>(ExitCode::kBadInput);
  }
  if (flags.help != 0) {
    fmt::print("{}", pistachioshift::ProgramHelp());
    return static_cast<int>(ExitCode::kDone);
  }
  if (flags.version != 0) {
    fmt::print("pistachioctl {}\n", PISTACHIOSHIFT_VERSION);
    return static_cast<int>(ExitCode::kDone);
  }
  return static_cast<int>(pistachioshift::RunProgram(flags.words));
}
