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

/** Command-line flags, as popt parses them. */
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
    { "port",
      0,
      POPT_ARG_INT,
      &flags.port,
      0,
      "port to listen on; 0 picks a free one",
      "PORT" },
    { "retention-records",
      0,
      POPT_ARG_INT,
      &flags.retentionRecords,
      0,
      "records retained per stream; 0 retains all",
      "COUNT" },
    { "retention-seconds",
      0,
      POPT_ARG_INT,
      &flags.retentionSeconds,
      0,
      "maximum age of retained records; 0 retains all",
      "SECONDS" },
    { "appends-per-second",
      0,
      POPT_ARG_INT,
      &flags.appendsPerSecond,
      0,
      "appends above this rate are refused; 0 sets no limit",
      "RATE" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context =
    poptGetContext("standin_log", aCount, aArguments, options, 0);
  const int code = poptGetNextOpt(context);
  const std::string badOption = code < -1 ? poptBadOption(context, 0) : "";
  poptFreeContext(context);
  if (code < -1) {
    throw ConfigError(fmt::format("{}: {}", badOption, poptStrerror(code)));
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
      aCount, const_cast<const char**>(aArguments)); // popt takes const char**.
    standin::Run(standin::ToOptions(flags));
  } catch (const Error& error) {
    fmt::print(stderr, "standin_log: {}\n", error.what());
    return standin::kExitConfig;
  }
  return 0;
}
