// One machine's daemon serves more than 65,536 requests of its own consumers,
// while the other machines hardly send to it. Then a route is added. See
// claim.txt.

#include "Deployment.h"

using namespace review;

namespace {

constexpr size_t kMachines = 4;
constexpr int kConnections = 24;
constexpr int kBusyRequests = 80000;

std::string
Config(int aVersion, bool aLateRoute)
{
  char version[16];
  std::snprintf(version, sizeof version, "%08x", aVersion);
  const auto route = [](const std::string& aName, const std::string& aPrefix) {
    return "\"" + aName + R"(":{"hostname":"shop.example","pathPrefix":")" +
           aPrefix +
           R"(","routeType":"idempotent","timeout":"1000ms",)"
           R"("targetLatency":"300ms","priority":2,"service":"taller","attempts":2})";
  };
  return std::string(R"({"version":")") + version + R"(","routes":{)" +
         route("check", "/read/") +
         (aLateRoute ? "," + route("late", "/late/") : "") +
         R"(},"services":{"taller":{"sharded":true,"healthPath":"/health"},
"patrones":{"sharded":false,"healthPath":"/health"}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3000ms",
"idleTimeout":"15000ms"}})";
}

/** A consumer that keeps its connection; returns how many were served. */
int
SendMany(uint16_t aPort, int aConsumer, int aCount, int64_t aUntil)
{
  int served = 0;
  int fd = ConnectTo(aPort);
  std::string buffer;
  for (int index = 0; index < aCount && fd >= 0 && Now() < aUntil; ++index) {
    char text[320];
    std::snprintf(text,
                  sizeof text,
                  "GET /read/x HTTP/1.1\r\nHost: shop.example\r\n"
                  "Pistachioshift-Attempt-Id: b%03d%012x\r\n"
                  "Pistachioshift-Deadline-Ms: 2000\r\n"
                  "Pistachioshift-Shard-Key: %d\r\n\r\n",
                  aConsumer,
                  index,
                  (index * 97 + aConsumer * 1031) % 65536);
    Message answer;
    if (!WriteAll(fd, text) ||
        !ReadMessage(fd, buffer, answer, Now() + 2500)) {
      close(fd);
      buffer.clear();
      fd = ConnectTo(aPort);
      continue;
    }
    served += answer.status == 200 ? 1 : 0;
    SleepMs(1);
  }
  if (fd >= 0) {
    close(fd);
  }
  return served;
}

}

int
main(int aCount, char** aValues)
{
  if (aCount < 3) {
    return 2;
  }
  try {
    StartOfRun();
    const bool busy = TroubleLevel() != 0;
    Deployment deployment(aValues[1], aValues[2]);
    auto& record = deployment.record;
    record.Line("trouble=%d", busy ? 1 : 0);
    deployment.recordsRuns = false; // Counted instead: 80,000 of them.
    deployment.beatMs = 1500;
    deployment.slots = 14;
    deployment.workMs = [](std::mt19937&) { return int64_t{ 2 }; };
    const char* zones[] = { "valpo-mesa", "valpo-bodega", "valpo-oficina" };
    for (size_t index = 0; index < kMachines; ++index) {
      deployment.AddMachine("sidecar-" + std::string(zones[index % 3]) + "-" +
                              std::to_string(index),
                            zones[index % 3],
                            index == 0 ? "taller" : "patrones");
    }
    deployment.WriteConfig(Config(1, false));
    for (size_t index = 0; index < kMachines; ++index) {
      deployment.StartInstance(index, "i-" + std::to_string(index), index == 0);
      deployment.StartDaemon(index);
      SleepMs(300);
    }
    if (!deployment.WaitServed(20000)) {
      record.Line("not served at the start");
      return 2;
    }
    // All machines are served on the first route.
    int first = 0;
    int firstServed = 0;
    const auto askFirst = [&](size_t aMachine, int64_t aKey) {
      ++first;
      firstServed +=
        deployment.Ask(aMachine, true, aKey, 2000).status == 200 ? 1 : 0;
    };
    for (int round = 0; round < 5; ++round) {
      for (size_t index = 0; index < kMachines; ++index) {
        askFirst(index, 4000 + 9000 * round);
      }
    }
    record.Line("first route, all machines: %d of %d served", firstServed, first);
    if (busy) {
      const auto from = Now();
      std::atomic<int> served = 0;
      std::vector<std::thread> consumers;
      for (int index = 0; index < kConnections; ++index) {
        consumers.emplace_back([&, index] {
          served += SendMany(deployment.machines[0].outbound,
                             index,
                             kBusyRequests / kConnections,
                             from + 70000);
        });
      }
      for (auto& consumer : consumers) {
        consumer.join();
      }
      first += kBusyRequests;
      firstServed += served;
      record.Line("first route, consumers of %s: %d served in %lld ms",
                  deployment.machines[0].name.c_str(),
                  served.load(),
                  static_cast<long long>(Now() - from));
    }
    deployment.WriteConfig(Config(2, true));
    record.Line("configuration 2 is confirmed: it adds a route");
    SleepMs(5000); // configApply and stableWindow have passed.
    deployment.readPath = "/late/x";
    const auto lateFrom = Now();
    int late = 0;
    int lateServed = 0;
    int own = 0;
    int ownServed = 0;
    for (int round = 0; round < 20; ++round) {
      for (size_t index = 1; index < kMachines; ++index) {
        ++late;
        lateServed +=
          deployment.Ask(index, true, 3000 * round, 2000).status == 200 ? 1 : 0;
      }
      deployment.readPath = "/read/x";
      ++own;
      ownServed +=
        deployment.Ask(0, true, 3000 * round, 2000).status == 200 ? 1 : 0;
      deployment.readPath = "/late/x";
      SleepMs(300);
    }
    first += own;
    firstServed += ownServed;
    const double lateShare = static_cast<double>(lateServed) / late;
    const double firstShare = static_cast<double>(firstServed) / first;
    {
      const std::lock_guard lock(deployment.journal.mutex);
      size_t ofLate = 0;
      std::set<std::string> ids;
      for (const auto& run : deployment.journal.runs) {
        ids.insert(run.id);
      }
      for (const auto& outcome : deployment.outcomes) {
        ofLate += outcome.machine != 0 && outcome.sentAt > lateFrom &&
                      ids.contains(outcome.id)
                    ? 1
                    : 0;
      }
      record.Line("the instance ran %zu requests, of the %d on the route added "
                  "later: %zu",
                  deployment.journal.runs.size(),
                  late,
                  ofLate);
    }
    record.Line("first route: %d of %d served; route added later: %d of %d",
                firstServed,
                first,
                lateServed,
                late);
    const bool broken = late >= 20 && lateShare < 0.25 * firstShare;
    if (broken) {
      record.Line("CONFIG broken");
    }
    std::printf("served on the first route %.3f, on the route added later %.3f\n",
                firstShare,
                lateShare);
    return broken ? 1 : 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
