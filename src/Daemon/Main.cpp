#include <csignal>
#include <cstdlib>
#include <memory>

#include <event2/event.h>
#include <fmt/format.h>
#include <popt.h>

#include "src/Daemon/Daemon.h"

namespace {

using pistachioshift::ConfigError;
using pistachioshift::Daemon;
using pistachioshift::Error;

constexpr int kExitFailed = 1;
constexpr int kExitBadInput = 2;

struct Arguments
{
  std::string settingsFile;
  bool checkOnly = false;
  bool version = false;
};

Arguments
ReadArguments(int aCount, const char** aValues)
{
  char* settings = nullptr;
  char* check = nullptr;
  int version = 0;
  const poptOption options[] = {
    { "settings", 's', POPT_ARG_STRING, &settings, 0, "settings file", "FILE" },
    { "check-settings",
      'c',
      POPT_ARG_STRING,
      &check,
      0,
      "check a settings file and exit (0: good, 2: bad)",
      "FILE" },
    { "version",
      'V',
      POPT_ARG_NONE,
      &version,
      0,
      "print the version",
      nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
    poptGetContext("pistachiod", aCount, aValues, options, 0),
    &poptFreeContext);
  const int result = poptGetNextOpt(context.get());
  if (result < -1) {
    throw ConfigError(fmt::format(
      "{}: {}", poptBadOption(context.get(), 0), poptStrerror(result)));
  }
  if (const auto* rest = poptPeekArg(context.get())) {
    throw ConfigError(fmt::format("unexpected argument '{}'", rest));
  }
  Arguments arguments;
  arguments.version = version != 0;
  arguments.checkOnly = check != nullptr;
  const auto* file = check != nullptr ? check : settings;
  arguments.settingsFile = file == nullptr ? "" : file;
  std::free(settings);
  std::free(check);
  if (!arguments.version && arguments.settingsFile.empty()) {
    throw ConfigError("--settings FILE is required");
  }
  return arguments;
}

/** Frees the structs of libevent. */
struct EventDeleter
{
  void operator()(event_base* aBase) const { event_base_free(aBase); }
  void operator()(event* aEvent) const { event_free(aEvent); }
};

using EventBase = std::unique_ptr<event_base, EventDeleter>;
using Event = std::unique_ptr<event, EventDeleter>;

Event
OnSignal(event_base* aBase, int aSignal, Daemon& aDaemon)
{
  Event event(evsignal_new(
    aBase,
    aSignal,
    [](evutil_socket_t, short, void* aSelf) {
      static_cast<Daemon*>(aSelf)->BeginLeave();
    },
    &aDaemon));
  event_add(event.get(), nullptr);
  return event;
}

void
Run(const std::string& aSettingsFile)
{
  const auto settings = pistachioshift::ReadSettings(aSettingsFile);
  std::signal(SIGPIPE, SIG_IGN);
  const EventBase base(event_base_new());
  Daemon daemon(base.get(), settings);
  const auto terminate = OnSignal(base.get(), SIGTERM, daemon);
  const auto interrupt = OnSignal(base.get(), SIGINT, daemon);
  daemon.Start();
  event_base_dispatch(base.get());
}

}

int
main(int aCount, char** aValues)
{
  try {
    const auto arguments =
      ReadArguments(aCount, const_cast<const char**>(aValues));
    if (arguments.version) {
      fmt::print("pistachiod {}\n", PISTACHIOSHIFT_VERSION);
      return 0;
    }
    if (arguments.checkOnly) {
      pistachioshift::ReadSettings(arguments.settingsFile);
      fmt::print("{}: good\n", arguments.settingsFile);
      return 0;
    }
    Run(arguments.settingsFile);
  } catch (const ConfigError& error) {
    fmt::print(stderr, "pistachiod: {}\n", error.what());
    return kExitBadInput;
  } catch (const std::exception& error) {
    fmt::print(stderr, "pistachiod: {}\n", error.what());
    return kExitFailed;
  }
  return 0;
}
