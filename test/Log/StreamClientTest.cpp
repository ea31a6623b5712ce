#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "test/Log/WorldSupport.h"

namespace pistachioshift {
namespace {

class StreamClientTest : public ::testing::Test
{
protected:
  static std::vector<test::Step> DrawScript()
  {
    const auto step = rc::gen::build<test::Step>(
      rc::gen::set(&test::Step::action,
                   rc::gen::inRange<uint32_t>(0, test::World::kActions)),
      rc::gen::set(&test::Step::pick, rc::gen::inRange<uint32_t>(0, 100000)));
    constexpr int kLongest = 400;
    return *rc::gen::resize(kLongest,
                            rc::gen::container<std::vector<test::Step>>(step));
  }

  // Records that expire before the faults begin, and a checkpoint of them.
  static std::vector<test::Step> ExpiredStart()
  {
    using World = test::World;
    std::vector<test::Step> script(6, test::Step{ World::kSubmit, 1 });
    script.insert(script.end(), 4, test::Step{ World::kCalmRound, 1 });
    script.push_back(test::Step{ World::kDisturb, World::kExpireFive });
    for (int round = 0; round < 6; ++round) {
      script.push_back(test::Step{ World::kCalmRound, 1 });
      script.push_back(test::Step{ World::kAdvance, 499 });
    }
    return script;
  }
};

RC_GTEST_FIXTURE_PROP(StreamClientTest,
                      Run_LostLateAndDoubledAppends_TakeEffectOnceEverywhere,
                      ())
{
  test::World world(*rc::gen::inRange<size_t>(1, 5), false);
  world.Run(DrawScript());
  world.Heal();
  world.CheckSettled();
}

RC_GTEST_FIXTURE_PROP(StreamClientTest,
                      Run_RecordsExpire_ReadersAgreeWithOneThatSawAll,
                      ())
{
  test::World world(*rc::gen::inRange<size_t>(1, 5), true);
  if (*rc::gen::arbitrary<bool>()) {
    world.Run(ExpiredStart());
  }
  world.Run(DrawScript());
  const bool someHoldState = world.SomeHoldState();
  RC_CLASSIFY(!someHoldState, "state lost");
  world.Heal();
  if (someHoldState) {
    world.CheckSettled();
    world.AddProcess();
    world.Heal();
    world.CheckSettled();
  }
  RC_CLASSIFY(world.CheckpointsLoaded() > 0, "checkpoint loaded");
}

TEST_F(StreamClientTest, OnRead_AnswerFromBeforeTheAmbiguity_KeepsLooking)
{
  StreamClientOptions options;
  options.appender.writer = BootId(1);
  StreamHandlers handlers;
  handlers.record = [](const LogRecord&) {};
  handlers.caughtUp = [] {};
  handlers.completed = [](const Completion&) {};
  StreamClient client(options, handlers, RandomEngine(1));
  const MonoTime now{};
  const auto early = client.StartRead(now);
  client.Submit("one", MonoTime::max());
  ASSERT_TRUE(client.StartAppend(now));
  client.OnAppend(AppendAmbiguous{ "lost" }, now);
  // Left the log service before the record was written.
  client.OnRead(early->number, ReadAnswer{ {}, Offset(1), Offset(1) }, now);
  EXPECT_FALSE(client.StartAppend(now));
  const auto late = client.StartRead(now);
  ASSERT_TRUE(late);
  client.OnRead(late->number, ReadAnswer{ {}, Offset(1), Offset(1) }, now);
  EXPECT_TRUE(client.StartAppend(now));
}

}
}
