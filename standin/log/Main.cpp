#include <csignal>
#include <cstdio>

#include <event2/event.h>
#include <fmt/format.h>
#include <popt.h>

#include "src/Base/Error.h"
#include "standin/log/LogServer.h"

namespace pistachioshift::standin {
namespace {

constexpr int kExitConfig = 2;

/** Values of the command line's flags, as popt fills them in. */
struct Flags
{
  int port = 0;
  int retentionRecords = 0;
  int retentionSeconds = 0;
  int appendsPerSecond = 0;
};

Flags
ParseFlags(int aCount, const char** aArguments)
{
  Flags flags;
  const poptOption options[] = {
    { "port", 0, POPT_ARG_INT, &flags.port, 0, "0 picks one", "PORT" },
    { "retention-records",
      0,
      POPT_ARG_INT,
      &flags.retentionRecords,
      0,
      "records kept per stream; 0 keeps all",
      "COUNT" },
    { "retention-seconds",
      0,
      POPT_ARG_INT,
      &flags.retentionSeconds,
      0,
      "age of the oldest record kept; 0 keeps all",
      "SECONDS" },
    { "appends-per-second",
      0,
      POPT_ARG_INT,
      &flags.appendsPerSecond,
      0,
      "above it appends are refused; 0 sets no limit",
      "RATE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("standin_log", aCount, aArguments, options, 0);
  const int code = poptGetNextOpt(context);
  const std::string bad = code < -1 ? poptBadOption(context, 0) : "";
  poptFreeContext(context);
  if (code < -1) {
    throw ConfigError(fmt::format("{}: {}", bad, poptStrerror(code)));
  }
  return flags;
}

LogServerOptions
ToOptions(const Flags& aFlags)
{
  LogServerOptions options;
  options.endpoint.port = static_cast<uint16_t>(aFlags.port);
  options.retention.records = static_cast<size_t>(aFlags.retentionRecords);
  options.retention.age = std::chrono::seconds(aFlags.retentionSeconds);
  options.appendsPerSecond = static_cast<uint32_t>(aFlags.appendsPerSecond);
  return options;
}

void
OnSignal(evutil_socket_t, short, void* aArgument)
{
  event_base_loopexit(static_cast<event_base*>(aArgument), nullptr);
}

void
Run(const LogServerOptions& aOptions)
{
  event_base* base = event_base_new();
  event* stop = evsignal_new(base, SIGTERM, OnSignal, base);
  event_add(stop, nullptr);
  const SystemClock clock;
  {
    const LogServer server(base, clock, aOptions);
    fmt::print("listening port={}\n", server.Port());
    std::fflush(stdout);
    event_base_dispatch(base);
  }
  event_free(stop);
  event_base_free(base);
}

}
}

int
main(int aCount, char** aArguments)
{
  using namespace pistachioshift;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    const auto flags = standin::ParseFlags(
      aCount, const_cast<const char**>(aArguments)); // popt's own signature.
    standin::Run(standin::ToOptions(flags));
  } catch (const Error& error) {
    fmt::print(stderr, "standin_log: {}\n", error.what());
    return standin::kExitConfig;
  }
  return 0;
}
