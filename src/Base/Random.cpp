#include "src/Base/Random.h"

#include <chrono>
#include <ctime>

#include <unistd.h>

namespace pistachioshift {

namespace {

constexpr int kWordBits = 32;

uint32_t
Low(int64_t aValue)
{
  return static_cast<uint32_t>(aValue);
}

uint32_t
High(int64_t aValue)
{
  return static_cast<uint32_t>(aValue >> kWordBits);
}

int64_t
Nanoseconds(clockid_t aClock)
{
  timespec now{};
  clock_gettime(aClock, &now);
  const auto time =
    std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return time.count();
}

}

SeedSources
ReadSeedSources()
{
  SeedSources sources;
  std::random_device device;
  for (auto& word : sources.random) {
    word = device();
  }
  sources.wallNanoseconds = Nanoseconds(CLOCK_REALTIME);
  sources.bootNanoseconds = Nanoseconds(CLOCK_BOOTTIME);
  sources.processId = getpid();
  return sources;
}

RandomEngine
MakeRandomEngine(const SeedSources& aSources)
{
  std::seed_seq seed{
    aSources.random[0],
    aSources.random[1],
    aSources.random[2],
    aSources.random[3],
    Low(aSources.wallNanoseconds),
    High(aSources.wallNanoseconds),
    Low(aSources.bootNanoseconds),
    High(aSources.bootNanoseconds),
    Low(aSources.processId),
  };
  return RandomEngine(seed);
}

}
