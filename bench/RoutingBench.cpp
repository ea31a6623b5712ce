#include <benchmark/benchmark.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Planner"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

using std::chrono::milliseconds;

// One request through a gate that always has a given number waiting.
void
GateAdmitFinish(benchmark::State& aState)
{
  AdmissionSettings settings;
  settings.slots = 16;
  settings.classes = { AdmissionClass{ 3.0, 10000 },
                       AdmissionClass{ 1.0, 10000 } };
  AdmissionController gate(settings);
  MonoTime now{ std::chrono::hours(1) };
  std::vector<RequestId> running;
  uint64_t count = 0;
  const auto admit = [&] {
    const RequestId id{ 1, ++count };
    const ClassIndex index(static_cast<uint32_t>(count % 2));
    const auto deadline = now + std::chrono::hours(1);
    const auto actions = gate.Admit({ id, index, deadline }, now);
    running.insert(running.end(), actions.starts.begin(), actions.starts.end());
  };
  const auto waiting = aState.range(0);
  for (int64_t index = 0; index < 16 + waiting; ++index) {
    admit();
  }
  for (auto _ : aState) {
    admit();
    const auto id = running.front();
    running.erase(running.begin());
    const auto actions = gate.Finished(id, ServiceResult::kCancelled, now);
    running.insert(running.end(), actions.starts.begin(), actions.starts.end());
  }
}
BENCHMARK(GateAdmitFinish)->Arg(0)->Arg(10)->Arg(100);

void
OutcomeTableBeginFinish(benchmark::State& aState)
{
  OutcomeTable table;
  uint64_t count = 0;
  for (auto _ : aState) {
    const RequestId id{ 1, ++count };
    table.Begin(id, table.Position());
    table.Finish(id, CachedResponse{ 200, "ok" });
  }
}
BENCHMARK(OutcomeTableBeginFinish);

void
KeySketchAdd(benchmark::State& aState)
{
  KeySketch sketch(128);
  RandomEngine random(1);
  std::vector<std::string> keys;
  keys.reserve(4096);
  for (int key = 0; key < 4096; ++key) {
    keys.push_back(fmt::format("outlet-{}", random() % 1000));
  }
  size_t next = 0;
  for (auto _ : aState) {
    sketch.Add(keys[next++ % keys.size()], 1.0);
  }
}
BENCHMARK(KeySketchAdd);

void
BalancerChoose(benchmark::State& aState)
{
  Balancer balancer;
  std::vector<DaemonId> ids;
  ids.reserve(aState.range(0));
  for (int64_t index = 0; index < aState.range(0); ++index) {
    ids.emplace_back(index);
  }
  MonoTime now{ std::chrono::hours(1) };
  RandomEngine random(1);
  balancer.SetInstances(ids, now);
  for (auto _ : aState) {
    const auto id = *balancer.Choose(random, now);
    balancer.OnStart(id);
    balancer.OnEnd(id, InstanceResult::kDone, milliseconds(5), now);
  }
}
BENCHMARK(BalancerChoose)->Arg(4)->Arg(64);

}
}
