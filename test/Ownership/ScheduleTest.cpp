#include <atomic>
#include <cstdlib>
#include <mutex>
#include <thread>

#include <gtest/gtest.h>

#include "test/Ownership/NodeSupport.h"

namespace pistachioshift {
namespace {

constexpr uint64_t kSchedules = 10000;
constexpr uint64_t kSeed = 20261204;
constexpr size_t kThreads = 4;

uint64_t
FromEnvironment(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

class ScheduleTest : public ::testing::Test
{
protected:
  /** \brief Runs the schedules with these seeds; returns their violations. */
  static std::vector<std::string> RunAll(uint64_t aFirst, uint64_t aCount)
  {
    std::atomic<uint64_t> next = 0;
    std::mutex mutex;
    const bool trace = std::getenv("PISTACHIOSHIFT_TRACE") != nullptr;
    std::vector<std::string> violations;
    const auto work = [&] {
      for (auto index = next++; index < aCount; index = next++) {
        const auto violation =
          RunSchedule(aFirst + index, internal::Mutation::kNone, trace);
        if (violation) {
          const std::lock_guard lock(mutex);
          violations.push_back(*violation);
        }
      }
    };
    std::vector<std::jthread> threads;
    threads.reserve(kThreads);
    for (size_t thread = 0; thread < kThreads; ++thread) {
      threads.emplace_back(work);
    }
    threads.clear();
    return violations;
  }
};

TEST_F(ScheduleTest, RandomFaults_AnySchedule_KeepOneHolder)
{
  const auto count = FromEnvironment("PISTACHIOSHIFT_SCHEDULES", kSchedules);
  const auto seed = FromEnvironment("PISTACHIOSHIFT_SEED", kSeed);
  fmt::print("{} schedules from seed {}\n", count, seed);
  const auto violations = RunAll(seed, count);
  for (const auto& violation : violations) {
    ADD_FAILURE() << violation;
  }
}

}
}
