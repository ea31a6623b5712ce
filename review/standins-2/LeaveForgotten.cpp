// A daemon confirms that the instance beside it leaves, while the store turns
// its machine away. The daemon is stopped with SIGTERM and starts again; a ping
// that the instance had sent before it left arrives late. See claim.txt.

#include "Deployment.h"

using namespace review;

namespace {

constexpr const char* kConfig =
  R"({"version":"00000001","routes":{
"pull":{"hostname":"shop.example","pathPrefix":"/read/","routeType":"download",
"timeout":"1000ms","targetLatency":"300ms","priority":2,"service":"patrones","attempts":2}},
"services":{"patrones":{"sharded":false,"healthPath":"/health"},
"taller":{"sharded":true,"healthPath":"/health"}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3000ms",
"idleTimeout":"15000ms"}})";

constexpr size_t kMachines = 4;
constexpr size_t kLeaving = 2;
constexpr int64_t kDrain = 2000;
constexpr int64_t kStableWindow = 3000;

}

int
main(int aCount, char** aValues)
{
  if (aCount < 3) {
    return 2;
  }
  try {
    StartOfRun();
    const bool troubled = TroubleLevel() != 0;
    Deployment deployment(aValues[1], aValues[2]);
    auto& record = deployment.record;
    record.Line("trouble=%d", troubled ? 1 : 0);
    // Beats and work as on the sheet of telar-oscuro: pattern-pull 72 ms.
    deployment.beatMs = 1500;
    deployment.slots = 14;
    deployment.workMs = [](std::mt19937& aRandom) {
      return std::uniform_int_distribution<int64_t>(40, 110)(aRandom);
    };
    const char* zones[] = { "valpo-mesa", "valpo-bodega", "valpo-oficina" };
    for (size_t index = 0; index < kMachines; ++index) {
      const bool first = index < 3;
      deployment.AddMachine("sidecar-" + std::string(zones[index % 3]) + "-" +
                              std::to_string(index),
                            zones[index % 3],
                            first ? "patrones" : "taller");
    }
    deployment.WriteConfig(kConfig);
    for (size_t index = 0; index < kMachines; ++index) {
      deployment.StartInstance(index, "i-" + std::to_string(index), index >= 3);
      deployment.StartDaemon(index);
      SleepMs(300);
    }
    int served = 0;
    for (int tries = 0; tries < 100 && served < 8; ++tries) {
      served += deployment.Ask(0, true, -1, 2000).status == 200 ? 1 : 0;
      SleepMs(50);
    }
    if (served < 8) {
      record.Line("not served at the start");
      return 2;
    }
    deployment.StartLoad(60.0, false, 2000, false);
    SleepMs(5000);

    auto& machine = deployment.machines[kLeaving];
    if (troubled) {
      machine.instance->DelayNextBeat(6500);
      while (!machine.instance->PingHeldBack()) {
        SleepMs(5);
      }
    }
    SleepMs(1000);
    if (troubled) {
      deployment.store.TurnAway({ machine.name });
      record.Line("store turns %s away", machine.name.c_str());
    }
    SleepMs(300);
    if (!machine.instance->Leave()) {
      record.Line("the leave was not confirmed");
      return 2;
    }
    const auto confirmedAt = Now();
    record.Line("leave of %s confirmed", machine.instance->Life().c_str());
    if (troubled) {
      SleepMs(300);
      deployment.StopDaemon(kLeaving);
      SleepMs(300);
      deployment.StartDaemon(kLeaving);
      SleepUntil(std::max(confirmedAt + 4000, Now() + 300));
      deployment.store.TurnAway({});
      record.Line("store serves all machines");
    }
    const auto calmFrom = troubled ? Now() : confirmedAt;
    // The instance goes on serving for the drain time and "at times many
    // seconds" longer.
    SleepUntil(confirmedAt + 13000);
    deployment.StopLoad();
    const auto inTouch =
      std::max(confirmedAt + kDrain, calmFrom + (troubled ? kStableWindow : 0));
    int late = 0;
    int later = 0;
    {
      const std::lock_guard lock(deployment.journal.mutex);
      for (const auto& run : deployment.journal.runs) {
        if (run.life != machine.instance->Life() ||
            run.start <= confirmedAt + kDrain) {
          continue;
        }
        ++later;
        if (run.start > inTouch) {
          ++late;
          record.Line("DRAIN broken: request %s reached %s %lld ms after the "
                      "confirmation",
                      run.id.c_str(),
                      run.life.c_str(),
                      static_cast<long long>(run.start - confirmedAt));
        }
      }
    }
    record.Line("requests after drain: %d, of them by machines in touch: %d",
                later,
                late);
    std::printf("requests later than drain, all machines in touch: %d\n", late);
    machine.instance->Crash();
    return late > 0 ? 1 : 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
