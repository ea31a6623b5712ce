// Instances crash one after the other while consumers fetch one popular file.
// Later all daemons are killed and start again. See claim.txt.

#include "Deployment.h"

using namespace review;

namespace {

std::string
Config(int aVersion)
{
  char version[16];
  std::snprintf(version, sizeof version, "%08x", aVersion);
  return std::string(R"({"version":")") + version + R"(","routes":{
"pull":{"hostname":"shop.example","pathPrefix":"/read/","routeType":"download",
"timeout":"1000ms","targetLatency":"300ms","priority":2,"service":"patrones","attempts":2}},
"services":{"patrones":{"sharded":false,"healthPath":"/health"}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3000ms",
"idleTimeout":"15000ms"}})";
}

constexpr size_t kMachines = 3;
constexpr int kCrashes = 4;
constexpr int64_t kRecovery = 15000;
constexpr int64_t kMeasured = 10000;

/** Share served of the requests that were sent in a span. */
double
Served(Deployment& aDeployment, int64_t aFrom, int64_t aTo, const char* aName)
{
  int sent = 0;
  int served = 0;
  std::map<int, int> statuses;
  for (const auto& outcome : aDeployment.outcomes) {
    if (outcome.sentAt >= aFrom && outcome.sentAt < aTo) {
      ++sent;
      served += outcome.status == 200 && outcome.signedBody ? 1 : 0;
      ++statuses[outcome.status];
    }
  }
  std::string text;
  for (const auto& [status, count] : statuses) {
    text += " " + std::to_string(status) + ":" + std::to_string(count);
  }
  aDeployment.record.Line("%s: %d of %d requests served (by status:%s)",
                          aName,
                          served,
                          sent,
                          text.c_str());
  return sent == 0 ? 0.0 : static_cast<double>(served) / sent;
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
    const int trouble = TroubleLevel();
    const bool crashes = trouble == 1;
    const bool finalFault = trouble != 0; // 2: the final fault alone.
    Deployment deployment(aValues[1], aValues[2]);
    auto& record = deployment.record;
    record.Line("trouble=%d", trouble);
    deployment.beatMs = 1500;
    deployment.slots = 14;
    deployment.readPath = "/read/price-list";
    // As on the sheet of telar-oscuro: pattern-pull, 72 ms.
    deployment.workMs = [](std::mt19937& aRandom) {
      return std::uniform_int_distribution<int64_t>(30, 114)(aRandom);
    };
    const char* zones[] = { "valpo-mesa", "valpo-bodega", "valpo-oficina" };
    for (size_t index = 0; index < kMachines; ++index) {
      deployment.AddMachine("sidecar-" + std::string(zones[index]) + "-1",
                            zones[index],
                            "patrones");
    }
    deployment.WriteConfig(Config(1));
    for (size_t index = 0; index < kMachines; ++index) {
      deployment.StartInstance(index, "i-" + std::to_string(index), false);
      deployment.StartDaemon(index);
      SleepMs(300);
    }
    int ready = 0;
    for (int tries = 0; tries < 100 && ready < 8; ++tries) {
      ready += deployment.Ask(0, true, -1, 2000).status == 200 ? 1 : 0;
      SleepMs(50);
    }
    if (ready < 8) {
      record.Line("not served at the start");
      return 2;
    }
    const auto loadAt = Now();
    deployment.StartLoad(97.0, false, 2000, false);
    SleepMs(4000);
    for (int crash = 0; crash < kCrashes; ++crash) {
      const auto index = static_cast<size_t>(crash) % kMachines;
      if (crashes) {
        deployment.machines[index].instance->Crash();
      }
      SleepMs(3000);
      if (crashes) {
        deployment.StartInstance(
          index, "i-" + std::to_string(index) + "-" + std::to_string(crash), false);
      }
      SleepMs(3000);
    }
    // The final fault comes right after a configuration was confirmed.
    const auto faultAt = Now();
    deployment.WriteConfig(Config(2));
    record.Line("configuration 2 is confirmed");
    if (finalFault) {
      for (size_t index = 0; index < kMachines; ++index) {
        deployment.KillDaemon(index);
      }
      SleepMs(1100);
      for (size_t index = 0; index < kMachines; ++index) {
        deployment.StartDaemon(index);
      }
    }
    const auto backAt = Now();
    SleepUntil(backAt + kRecovery + kMeasured + 500);
    deployment.StopLoad();
    const auto before = Served(deployment, loadAt, faultAt, "before the final fault");
    const auto after = Served(deployment,
                              backAt + kRecovery,
                              backAt + kRecovery + kMeasured,
                              "later than recovery after it");
    const bool broken = before >= 0.25 && after < 0.25;
    if (broken) {
      record.Line("RECOVER broken");
    }
    std::printf("served before the final fault: %.3f, later than 15 s after it: "
                "%.3f\n",
                before,
                after);
    return broken ? 1 : 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
