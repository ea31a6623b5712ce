// Two of six instances spoil two in a hundred of their answers: a field value of
// the head begins with a NUL byte. See claim.txt.

#include "Deployment.h"

using namespace review;

namespace {

constexpr const char* kConfig =
  R"({"version":"00000001","routes":{
"check":{"hostname":"shop.example","pathPrefix":"/read/","routeType":"idempotent",
"timeout":"1000ms","targetLatency":"300ms","priority":2,"service":"taller","attempts":2}},
"services":{"taller":{"sharded":true,"healthPath":"/health"}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3000ms",
"idleTimeout":"15000ms"}})";

constexpr size_t kMachines = 6;
constexpr size_t kFirstFaulty = 4; ///< From here on; their machines aren't judged.
constexpr int kConsumers = 14; ///< On each machine.
constexpr int kSpoilOneOf = 50;
constexpr int64_t kSpoilMs = 5500;
constexpr int kSpans = 2; ///< With 4 s between them.

struct Closed
{
  std::string id;
  size_t machine;
};

/** Starts daemons that ended by themselves again, as the platform does. */
class Keeper
{
public:
  explicit Keeper(Deployment& aDeployment)
    : m_thread([&] {
      while (!m_stopped) {
        for (size_t index = 0; index < kMachines; ++index) {
          auto& machine = aDeployment.machines[index];
          if (!machine.daemon->Running()) {
            ++ends[index];
            aDeployment.record.Line("daemon of %s has ended by itself, code %d",
                                    machine.name.c_str(),
                                    WEXITSTATUS(machine.daemon->Status()));
            SleepMs(300);
            aDeployment.StartDaemon(index);
          }
        }
        SleepMs(10);
      }
    })
  {
  }
  ~Keeper()
  {
    m_stopped = true;
    m_thread.join();
  }

  std::atomic<int> ends[kMachines] = {};

private:
  std::atomic<bool> m_stopped = false;
  std::thread m_thread;
};

}

int
main(int aCount, char** aValues)
{
  if (aCount < 3) {
    return 2;
  }
  try {
    StartOfRun();
    const bool spoils = TroubleLevel() != 0;
    Deployment deployment(aValues[1], aValues[2]);
    auto& record = deployment.record;
    record.Line("trouble=%d", spoils ? 1 : 0);
    deployment.beatMs = 1500;
    deployment.slots = 14;
    // As on the sheet of telar-oscuro: stock-check, 90 ms.
    deployment.workMs = [](std::mt19937& aRandom) {
      return std::uniform_int_distribution<int64_t>(50, 130)(aRandom);
    };
    const char* zones[] = { "valpo-mesa", "valpo-bodega", "valpo-oficina" };
    for (size_t index = 0; index < kMachines; ++index) {
      deployment.AddMachine(
        "sidecar-" + std::string(zones[index % 3]) + "-" + std::to_string(index),
        zones[index % 3],
        "taller");
    }
    deployment.WriteConfig(kConfig);
    for (size_t index = 0; index < kMachines; ++index) {
      deployment.StartInstance(index, "i-" + std::to_string(index), true);
      deployment.StartDaemon(index);
      SleepMs(300);
    }
    if (!deployment.WaitServed(20000)) {
      record.Line("not served at the start");
      return 2;
    }
    std::mutex mutex;
    std::vector<Closed> closed;
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::atomic<bool> sending = true;
    std::vector<std::thread> consumers;
    for (int index = 0; index < static_cast<int>(kMachines) * kConsumers; ++index) {
      consumers.emplace_back([&, index] {
        const auto machine = static_cast<size_t>(index) % kMachines;
        std::mt19937 random(static_cast<unsigned>(index) + 3);
        int fd = -1;
        std::string buffer;
        int answersHere = 0; // On this connection; 0: it is not a kept one yet.
        for (int count = 0; sending; ++count) {
          SleepMs(static_cast<int64_t>(random() % 60));
          if (fd < 0) {
            fd = ConnectTo(deployment.machines[machine].outbound);
            buffer.clear();
            answersHere = 0;
            if (fd < 0) {
              SleepMs(50);
              continue;
            }
          }
          char id[32];
          std::snprintf(id, sizeof id, "k%03d%012x", index, count);
          char text[320];
          std::snprintf(text,
                        sizeof text,
                        "GET /read/x HTTP/1.1\r\nHost: shop.example\r\n"
                        "Pistachioshift-Attempt-Id: %s\r\n"
                        "Pistachioshift-Deadline-Ms: 2000\r\n"
                        "Pistachioshift-Shard-Key: %u\r\n\r\n",
                        id,
                        static_cast<unsigned>(random() % 65536));
          ++sent;
          Message answer;
          const bool whole = WriteAll(fd, text) &&
                             ReadMessage(fd, buffer, answer, Now() + 2500);
          served += whole && answer.status == 200 ? 1 : 0;
          record.Line("request %s by %s -> %d%s",
                      id,
                      deployment.machines[machine].name.c_str(),
                      whole ? answer.status : 0,
                      whole ? "" : ", closed without an answer");
          if (whole) {
            ++answersHere;
          }
          if (!whole && answersHere > 0 && buffer.empty()) {
            const std::lock_guard lock(mutex);
            closed.push_back({ id, machine });
          }
          if (!whole || answer.Header("Connection") == "close") {
            close(fd);
            fd = -1;
          }
        }
        if (fd >= 0) {
          close(fd);
        }
      });
    }
    int ends = 0;
    {
      Keeper keeper(deployment);
      SleepMs(4000);
      int spoiled = 0;
      for (int span = 0; span < kSpans; ++span) {
        for (size_t index = kFirstFaulty; index < kMachines && spoils; ++index) {
          auto& faulty = *deployment.machines[index].instance;
          record.Line("instance %s spoils one of %d answers from now on",
                      faulty.Life().c_str(),
                      kSpoilOneOf);
          faulty.SpoilOneOf(kSpoilOneOf);
        }
        SleepMs(kSpoilMs);
        spoiled = 0;
        for (size_t index = kFirstFaulty; index < kMachines; ++index) {
          deployment.machines[index].instance->SpoilOneOf(0);
          spoiled += deployment.machines[index].instance->Spoiled();
        }
        SleepMs(4000);
      }
      record.Line("spoiled answers: %d", spoiled);
      SleepMs(4000);
      sending = false;
      for (auto& consumer : consumers) {
        consumer.join();
      }
      for (size_t index = 0; index < kMachines; ++index) {
        ends += keeper.ends[index];
        record.Line("daemon of %s ended by itself %d times",
                    deployment.machines[index].name.c_str(),
                    keeper.ends[index].load());
      }
    }
    // Passed on to a sound instance, from a kept connection, and closed without an
    // answer, at the machines beside which the instances are sound.
    std::set<std::string> soundLives;
    for (size_t index = 0; index < kFirstFaulty; ++index) {
      soundLives.insert(deployment.machines[index].instance->Life());
    }
    std::map<std::string, std::string> ranAt;
    {
      const std::lock_guard lock(deployment.journal.mutex);
      for (const auto& run : deployment.journal.runs) {
        ranAt[run.id] = run.life;
      }
    }
    std::map<size_t, int> lost;
    for (const auto& item : closed) {
      const auto found = ranAt.find(item.id);
      const bool sound = found != ranAt.end() && soundLives.contains(found->second);
      if (item.machine < kFirstFaulty && sound) {
        ++lost[item.machine];
        record.Line("LOST: request %s of %s was at work at the sound instance %s",
                    item.id.c_str(),
                    deployment.machines[item.machine].name.c_str(),
                    found->second.c_str());
      }
    }
    int total = 0;
    int most = 0; // At one machine: the rule counts for each.
    for (const auto& [machine, count] : lost) {
      total += count;
      most = std::max(most, count);
    }
    record.Line("requests %d, served %d, lost at machines in touch %d, most "
                "at one machine %d, ends of daemons %d",
                sent.load(),
                served.load(),
                total,
                most,
                ends);
    std::printf("lost: %d of %d requests, %d at one machine; daemons that ended by "
                "themselves: %d\n",
                total,
                sent.load(),
                most,
                ends);
    return most > 3 ? 1 : 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
