// Policy against baselines in virtual time; prints a table and writes it as
// CSV to the path given, by default policy.csv.

#include "bench/policy/GateRun.h"
#include "bench/policy/InstanceRun.h"
#include "bench/policy/KeyedRunImpl.h"

int
main(int argc, char** argv)
{
  using namespace pistachioshift::bench;
  const std::string path = argc > 1 ? argv[1] : "policy.csv";
  Table table;
  for (const auto& deployment : Deployments()) {
    RunGates(table, deployment);
    RunKeyed(table, deployment);
    RunInstances(table, deployment);
  }
  if (!table.WriteCsv(path)) {
    fmt::print(stderr, "can't write {}\n", path);
    return 1;
  }
  return 0;
}
