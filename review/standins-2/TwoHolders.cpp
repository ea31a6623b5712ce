// A write of a machine's record gets no answer and is done 1.1 s later. The
// daemon repeats the append under the same sequence number with another record.
// The store answers the repeat with its first response, so that the daemon and
// its peers take the second record for stored. See claim.txt.

#include "Deployment.h"

using namespace review;

namespace {

constexpr const char* kConfig =
  R"({"version":"00000001","routes":{
"read":{"hostname":"shop.example","pathPrefix":"/read/","routeType":"idempotent",
"timeout":"1000ms","targetLatency":"300ms","priority":2,"service":"taller","attempts":2},
"write":{"hostname":"shop.example","pathPrefix":"/write/","routeType":"non_idempotent",
"timeout":"1200ms","targetLatency":"400ms","priority":1,"service":"taller","attempts":2}},
"services":{"taller":{"sharded":true,"healthPath":"/health"}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3000ms",
"idleTimeout":"15000ms"}})";

/** Waits until so long after a ping of the instance. */
void
AfterPing(const Instance& aInstance, int64_t aMs)
{
  const auto last = aInstance.LastPingAt();
  while (aInstance.LastPingAt() == last) {
    SleepMs(2);
  }
  SleepMs(aMs);
}

constexpr size_t kMachines = 6;
constexpr size_t kCrashing = 2; ///< Not the coordinator.

}

int
main(int aCount, char** aValues)
{
  if (aCount < 3) {
    return 2;
  }
  try {
    StartOfRun();
    const int trouble = TroubleLevel();
    const bool losesAnswer = trouble == 1;
    const bool crashes = trouble != 0; // 2: all but the lost answer.
    Deployment deployment(aValues[1], aValues[2]);
    auto& record = deployment.record;
    record.Line("trouble=%d", trouble);
    // Beats and work as on the sheet of telar-oscuro: stock-check 90 ms,
    // cut-confirm 120 ms, one in a hundred five times as long.
    deployment.beatMs = 1500;
    deployment.slots = 14;
    deployment.workMs = [](std::mt19937& aRandom) {
      std::uniform_real_distribution<double> draw(0.0, 1.0);
      const double work = 50.0 + 100.0 * draw(aRandom);
      return static_cast<int64_t>(draw(aRandom) < 0.01 ? 5.0 * work : work);
    };
    const char* zones[] = { "valpo-mesa", "valpo-bodega", "valpo-oficina" };
    for (size_t index = 0; index < kMachines; ++index) {
      deployment.AddMachine("sidecar-" + std::string(zones[index % 3]) + "-" +
                              std::to_string(index),
                            zones[index % 3],
                            "taller");
    }
    deployment.WriteConfig(kConfig);
    for (size_t index = 0; index < kMachines; ++index) {
      deployment.StartInstance(index, "i-" + std::to_string(index), true);
      deployment.StartDaemon(index);
      // Pings of different machines do not come at the same time.
      SleepMs(deployment.beatMs / static_cast<int64_t>(kMachines));
    }
    if (!deployment.WaitServed(20000)) {
      record.Line("not served at the start");
      return 2;
    }
    deployment.StartLoad(240.0, true, 2000);
    SleepMs(6000);

    auto& machine = deployment.machines[kCrashing];
    const auto writer = "host/" + machine.name;
    std::atomic<int> writes = 0;
    std::atomic<int> lost = 0;
    AfterPing(*machine.instance, 200);
    const auto crashedAt = Now();
    if (crashes) {
      machine.instance->Crash();
    }
    if (losesAnswer) {
      // One answer is lost; the write is done 1.1 s later.
      deployment.store.SetDecide([&, crashedAt](const AppendCall& aCall) {
        if (Now() > crashedAt + 6500) {
          return Fate{};
        }
        ++writes;
        const bool hit = Now() > crashedAt + 2000 && aCall.producer == writer &&
                         lost == 0;
        if (!hit) {
          return Fate{};
        }
        ++lost;
        return Fate{ Fate::kLostLate, 1100 };
      });
    }
    SleepUntil(crashedAt + 4000);
    if (crashes) {
      deployment.StartInstance(
        kCrashing, "i-" + std::to_string(kCrashing), true);
    }
    // Until the new life has been given keys.
    const auto limit = Now() + 25000;
    while (machine.instance->HeldKeys() == 0 && Now() < limit) {
      SleepMs(50);
    }
    record.Line("writes while answers were lost: %d, lost: %d; the new life "
                "holds %lld keys",
                writes.load(),
                lost.load(),
                static_cast<long long>(machine.instance->HeldKeys()));
    deployment.store.SetDecide({});
    SleepMs(8000);
    // The daemon beside it is killed and starts again.
    if (crashes) {
      AfterPing(*machine.instance, 20);
      deployment.KillDaemon(kCrashing);
      SleepMs(300);
      deployment.StartDaemon(kCrashing);
    }
    SleepMs(10000);
    deployment.StopLoad();
    const auto breaches = FindTwoHolders(deployment.journal);
    for (const auto& line : breaches) {
      record.Line("OWNER broken: %s", line.c_str());
    }
    int served = 0;
    for (const auto& outcome : deployment.outcomes) {
      served += outcome.status == 200 ? 1 : 0;
    }
    record.Line("requests %zu, served %d, breaches %zu",
                deployment.outcomes.size(),
                served,
                breaches.size());
    std::printf("breaches of OWNER: %zu\n", breaches.size());
    return breaches.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
