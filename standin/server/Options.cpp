#include "standin/server/Options.h"

#include <limits>
#include <memory>

#include <popt.h>

#include "src/Base/Error.h"

namespace pistachioshift::standin {
namespace {

struct FreeContext
{
  void operator()(poptContext aContext) const { poptFreeContext(aContext); }
};

using ContextPtr = std::unique_ptr<poptContext_s, FreeContext>;

Fencing
ParseFencing(const std::string& aText)
{
  if (aText == "checked") {
    return Fencing::kChecked;
  }
  if (aText == "unchecked") {
    return Fencing::kUnchecked;
  }
  throw ConfigError("--fencing takes checked or unchecked");
}

/** Copies and frees a string that popt allocated; the default if null. */
std::string
TakePoptString(char* aText, const std::string& aDefault)
{
  std::string text = aText ? aText : aDefault;
  free(aText);
  return text;
}

}

Options
ParseOptions(int aCount, const char** aArguments)
{
  Options options;
  int port = options.port;
  int slots = static_cast<int>(options.slots);
  int queue = static_cast<int>(options.queue);
  char* address = nullptr;
  char* service = nullptr;
  char* fencing = nullptr;
  const poptOption table[] = {
    { "address",
      0,
      POPT_ARG_STRING,
      &address,
      0,
      "Address to listen on",
      "IP" },
    { "port", 0, POPT_ARG_INT, &port, 0, "Port, 0 picks a free one", "N" },
    { "slots",
      0,
      POPT_ARG_INT,
      &slots,
      0,
      "Requests that may run at once",
      "N" },
    { "queue",
      0,
      POPT_ARG_INT,
      &queue,
      0,
      "Requests that may wait for a slot",
      "N" },
    { "service", 0, POPT_ARG_STRING, &service, 0, "Service name", "NAME" },
    { "fencing", 0, POPT_ARG_STRING, &fencing, 0, "checked or unchecked", "S" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  ContextPtr context(
    poptGetContext("standin_server", aCount, aArguments, table, 0));
  int result = poptGetNextOpt(context.get());
  options.address = TakePoptString(address, options.address);
  options.service = TakePoptString(service, options.service);
  std::string fencingText = TakePoptString(fencing, "checked");
  if (result < -1) {
    throw ConfigError(std::string(poptBadOption(context.get(), 0)) + ": " +
                      poptStrerror(result));
  }
  if (port < 0 || port > std::numeric_limits<uint16_t>::max() || slots < 1 ||
      queue < 0) {
    throw ConfigError("--port, --slots or --queue is out of range");
  }
  options.port = static_cast<uint16_t>(port);
  options.slots = static_cast<size_t>(slots);
  options.queue = static_cast<size_t>(queue);
  options.fencing = ParseFencing(fencingText);
  return options;
}

}
