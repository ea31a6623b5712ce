#include <memory>
#include <string>

#include <benchmark/benchmark.h>
#include <event2/event.h>

#include "Pistachioshift/Http"
#include "src/Http/internal/EventHandles.h"

/** Server and client on one event base: what one core carries of both. */

namespace pistachioshift {
namespace {

using BasePtr =
  std::unique_ptr<event_base, internal::FreeWith<event_base_free>>;

class Counter final : public ClientListener
{
public:
  size_t Done() const { return m_done; }

  void OnHead(const ResponseHead& /*aHead*/) override {}
  void OnBody(std::string_view /*aData*/) override {}
  void OnEnd() override { ++m_done; }
  void OnDrained() override {}
  void OnFailed(ClientFailure /*aFailure*/) override { std::abort(); }

private:
  size_t m_done = 0;
};

/** Batches of requests at once, one to a connection, answers of 100 bytes. */
void
RequestsOnOneCore(benchmark::State& aState)
{
  const std::string body(100, 'x');
  BasePtr base(event_base_new());
  HttpServer server(base.get(),
                    { "127.0.0.1", 0 },
                    {},
                    [&](const std::shared_ptr<ServerExchange>& aExchange) {
                      aExchange->SendHead({ .contentLength = body.size() });
                      aExchange->SendBody(body);
                      aExchange->Finish();
                    });
  auto atOnce = static_cast<size_t>(aState.range(0));
  HttpClientLimits limits{ .maxConnections = atOnce };
  HttpClientPool pool(base.get(), server.LocalEndpoint(), limits);
  for (auto _ : aState) {
    auto counter = std::make_shared<Counter>();
    for (size_t i = 0; i < atOnce; ++i) {
      pool.Start({ .method = "GET", .target = "/key/item" }, counter)->Finish();
    }
    while (counter->Done() < atOnce) {
      event_base_loop(base.get(), EVLOOP_ONCE);
    }
  }
  aState.SetItemsProcessed(aState.iterations() * aState.range(0));
}

}
}

BENCHMARK(pistachioshift::RequestsOnOneCore)->Arg(1)->Arg(16)->Arg(64);
