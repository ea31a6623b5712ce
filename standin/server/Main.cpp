#include <csignal>
#include <cstdio>
#include <memory>

#include <event2/event.h>
#include <fmt/format.h>

#include "src/Base/Error.h"
#include "standin/server/Backend.h"

/** Stand-in of a backend server, used by tests and the quick start. */

namespace pistachioshift::standin {
namespace {

constexpr int kConfigExit = 2;
constexpr Duration kStopPoll = std::chrono::milliseconds(50);

using BasePtr =
  std::unique_ptr<event_base, internal::FreeWith<event_base_free>>;

/** Stops accepting at SIGTERM; ends the loop when no connection is left. */
struct Stopper
{
  event_base* base = nullptr;
  HttpServer* server = nullptr;
  event* poll = nullptr;

  static void HandleSignal(evutil_socket_t /*aSignal*/,
                           short /*aWhat*/,
                           void* aSelf)
  {
    auto* self = static_cast<Stopper*>(aSelf);
    self->server->StopAccepting();
    self->Poll();
  }

  static void HandlePoll(evutil_socket_t /*aSocket*/,
                         short /*aWhat*/,
                         void* aSelf)
  {
    static_cast<Stopper*>(aSelf)->Poll();
  }

  void Poll() const
  {
    if (server->Connections() == 0) {
      event_base_loopbreak(base);
      return;
    }
    timeval interval = internal::ToTimeval(kStopPoll);
    event_add(poll, &interval);
  }
};

void
Serve(const Options& aOptions)
{
  BasePtr base(event_base_new());
  SystemClock clock;
  Backend backend(base.get(), aOptions, clock);
  HttpServer server(
    base.get(),
    { aOptions.address, aOptions.port },
    {},
    [&](const Backend::ExchangePtr& aExchange) { backend.Handle(aExchange); });
  Stopper stopper{ base.get(), &server, nullptr };
  internal::EventPtr poll(
    event_new(base.get(), -1, 0, Stopper::HandlePoll, &stopper));
  stopper.poll = poll.get();
  internal::EventPtr term(
    evsignal_new(base.get(), SIGTERM, Stopper::HandleSignal, &stopper));
  event_add(term.get(), nullptr);
  fmt::print("listening port={}\n", server.LocalEndpoint().port);
  std::fflush(stdout);
  event_base_dispatch(base.get());
}

}
}

int
main(int aCount, const char** aArguments)
{
  using namespace pistachioshift;
  try {
    standin::Serve(standin::ParseOptions(aCount, aArguments));
    return 0;
  } catch (const ConfigError& error) {
    fmt::print(stderr, "standin_server: {}\n", error.what());
    return standin::kConfigExit;
  } catch (const Error& error) {
    fmt::print(stderr, "standin_server: {}\n", error.what());
    return 1;
  }
}
