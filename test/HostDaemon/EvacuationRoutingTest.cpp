#include <gtest/gtest.h>

#include <event2/event.h>

#include "src/HostDaemon/RangeRouter.h"
#include "test/HostDaemon/FakeStore.h"
#include "test/HostDaemon/UnusedDialect.h"
#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;

const ZoneName kNorth("north");
const ZoneName kSouth("south");

struct BaseDeleter
{
  void operator()(event_base* aBase) const { event_base_free(aBase); }
};

/**
 * Guards against requests without a key that are routed to an evacuated zone:
 * to the host of the caller, to the last servers of a service, or to all of
 * them because all drain.
 */
TEST(EvacuationRoutingTest, Choose_ZonesAreEvacuated_NoneIsThere)
{
  const std::unique_ptr<event_base, BaseDeleter> base(event_base_new());
  const SystemClock clock;
  const Logger logger("test", LogLevel::kError);
  Metrics metrics;
  RandomEngine random(1);
  const UnusedDialect dialect;
  FakeTopic topic;
  FakeStore store(base.get(), topic);
  for (const char* name : { "a", "b", "c" }) {
    auto record = RecordOf(name);
    record.zone = std::string(name) == "c" ? kSouth : kNorth;
    record.server->state = ServerState::kDraining;
    topic.Append({ EncodeHost(record) }, WriterPosition{ name, 1, 0 });
  }
  auto own = RecordOf("a");
  own.zone = kNorth;
  StateTask<FakeStore> state(base.get(), clock, logger, store, own);
  RangeServerTask server(base.get(),
                         clock,
                         { .endpoint = { "127.0.0.1", 1 }, .service = kOrders },
                         state,
                         dialect,
                         logger,
                         metrics);
  PeersTask peers(base.get(), clock, BootId(1), logger, metrics);
  RangeRouter router(clock, random, state, server, peers);
  state.AddListener(router);
  state.Start();
  const timeval wait{ 0, 60000 };
  event_base_loopexit(base.get(), &wait);
  event_base_dispatch(base.get());

  const auto chosen = [&] {
    std::set<std::string> names;
    for (const auto division : { Division::kAnyInstance, Division::kKeyed }) {
      for (int request = 0; request < 50; ++request) {
        const auto one =
          router.Choose({ .name = kOrders, .division = division }, "", {});
        names.insert(one ? router.NameOf(one->daemon) : "none");
      }
    }
    return names;
  };
  using Names = std::set<std::string>;
  const auto all = chosen(); // "a" joins as ready.
  EXPECT_FALSE(all.contains("none"));
  router.SetEvacuatedZones({ kNorth });
  EXPECT_EQ(chosen(), Names{ "c" });
  router.SetEvacuatedZones({ kSouth, kNorth });
  EXPECT_EQ(chosen(), Names{ "none" });
  router.SetEvacuatedZones({ kNorth });
  router.OnStateChanged();
  EXPECT_EQ(chosen(), Names{ "c" });
  router.SetEvacuatedZones({});
  EXPECT_EQ(chosen(), all);
}

}
