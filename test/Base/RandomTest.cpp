#include <set>
#include <vector>

#include <gtest/gtest.h>

#include "Pistachioshift/Base"

namespace pistachioshift {
namespace {

constexpr int64_t kNanosecondsPerMillisecond = 1'000'000;

/** Of a process; its random source gives the same words to each. */
SeedSources
Sources(int64_t aWall, int64_t aBoot, int64_t aProcess)
{
  SeedSources sources;
  sources.random = { 1, 2, 3, 4 };
  sources.wallNanoseconds = aWall;
  sources.bootNanoseconds = aBoot;
  sources.processId = aProcess;
  return sources;
}

// Guards against REFUSED, and against log records that are dropped as repeats:
// a new process with the boot id of the one before, and with its request ids.
TEST(RandomTest, MakeRandomEngine_RandomSourceRepeats_IdsDiffer)
{
  const std::vector<SeedSources> processes{
    Sources(0, 0, 7),
    Sources(kNanosecondsPerMillisecond, 0, 7), // Restored image, later.
    Sources(0, kNanosecondsPerMillisecond, 7), // No time of day at the start.
    Sources(0, 0, 8),                          // Side by side.
    Sources(int64_t{ 1 } << 40U, 0, 7),
  };
  std::set<uint64_t> boots;
  std::set<RequestId> requests;
  for (const auto& process : processes) {
    auto random = MakeRandomEngine(process);
    boots.insert(random());
    requests.insert(DrawRequestId(random));
  }
  EXPECT_EQ(boots.size(), processes.size());
  EXPECT_EQ(requests.size(), processes.size());
}

// Guards against two processes on one host that are started at the same time.
TEST(RandomTest, ReadSeedSources_Twice_Differ)
{
  const auto first = ReadSeedSources();
  const auto second = ReadSeedSources();
  EXPECT_NE(first.random, second.random);
  EXPECT_LE(first.bootNanoseconds, second.bootNanoseconds);
  EXPECT_GT(first.wallNanoseconds, 0);
  EXPECT_GT(first.processId, 0);
}

}
}
