#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Log/SimulationSupport.h"

namespace pistachioshift {
namespace {

class StreamClientTest : public ::testing::Test
{
protected:
  static std::vector<test::Step> DrawScript()
  {
    const auto step = rc::gen::build<test::Step>(
      rc::gen::set(&test::Step::action,
                   rc::gen::inRange<uint32_t>(0, test::Simulation::kActions)),
      rc::gen::set(&test::Step::pick, rc::gen::inRange<uint32_t>(0, 100000)));
    constexpr int kLongest = 400;
    return *rc::gen::resize(kLongest,
                            rc::gen::container<std::vector<test::Step>>(step));
  }

  // Writes records, which expire before the faults begin, and a checkpoint of
  // them.
  static std::vector<test::Step> StartWithExpiredRecords()
  {
    using Simulation = test::Simulation;
    std::vector<test::Step> script(6, test::Step{ Simulation::kSubmit, 1 });
    script.insert(
      script.end(), 4, test::Step{ Simulation::kCompleteInFlight, 1 });
    script.push_back(
      test::Step{ Simulation::kInjectFault, Simulation::kExpireFive });
    for (int round = 0; round < 6; ++round) {
      script.push_back(test::Step{ Simulation::kCompleteInFlight, 1 });
      script.push_back(test::Step{ Simulation::kAdvance, 499 });
    }
    return script;
  }
};

RC_GTEST_FIXTURE_PROP(StreamClientTest,
                      Run_LostLateAndDuplicatedAppends_AreAppliedOnceByAll,
                      ())
{
  test::Simulation simulation(*rc::gen::inRange<size_t>(1, 5), false);
  simulation.Run(DrawScript());
  simulation.RunWithoutFaults();
  simulation.CheckConverged();
}

RC_GTEST_FIXTURE_PROP(StreamClientTest,
                      Run_RecordsExpire_ReadersMatchTheReference,
                      ())
{
  test::Simulation simulation(*rc::gen::inRange<size_t>(1, 5), true);
  if (*rc::gen::arbitrary<bool>()) {
    simulation.Run(StartWithExpiredRecords());
  }
  simulation.Run(DrawScript());
  const bool anyHoldsState = simulation.AnyClientHoldsState();
  RC_CLASSIFY(!anyHoldsState, "state lost");
  simulation.RunWithoutFaults();
  if (anyHoldsState) {
    simulation.CheckConverged();
    simulation.AddProcess();
    simulation.RunWithoutFaults();
    simulation.CheckConverged();
  }
  RC_CLASSIFY(simulation.CheckpointsLoaded() > 0, "checkpoint loaded");
}

TEST_F(StreamClientTest, OnRead_StartedBeforeAmbiguousAppend_DoesNotResend)
{
  StreamClientOptions options;
  options.appender.writer = BootId(1);
  StreamHandlers handlers;
  handlers.record = [](const LogRecord&) {};
  handlers.caughtUp = [] {};
  handlers.completed = [](const Completion&) {};
  StreamClient client(options, handlers, RandomEngine(1));
  const MonoTime now{};
  const auto before = client.StartRead(now);
  client.Submit("one", MonoTime::max());
  ASSERT_TRUE(client.StartAppend(now));
  client.OnAppend(AppendAmbiguous{ "lost" }, now);
  // The log service answered this read before the record was written.
  client.OnRead(before->number, ReadAnswer{ {}, Offset(1), Offset(1) }, now);
  EXPECT_FALSE(client.StartAppend(now));
  const auto after = client.StartRead(now);
  ASSERT_TRUE(after);
  client.OnRead(after->number, ReadAnswer{ {}, Offset(1), Offset(1) }, now);
  EXPECT_TRUE(client.StartAppend(now));
}

}
}
