#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Base"

namespace pistachioshift {
namespace {

class HashTest : public ::testing::Test
{};

RC_GTEST_FIXTURE_PROP(HashTest,
                      RangeOfKey_AnyKey_IsBelowCount,
                      (const std::string& aKey))
{
  const auto count = *rc::gen::inRange<uint32_t>(1, 100000);
  RC_ASSERT(RangeOfKey(aKey, count).Value() < count);
}

TEST_F(HashTest, RangeOfKey_ManyKeys_ReachesEveryRange)
{
  std::set<RangeIndex> seen;
  for (int key = 0; key < 1000; ++key) {
    seen.insert(RangeOfKey(fmt::format("outlet-{}", key), 16));
  }
  EXPECT_EQ(seen.size(), 16U);
}

TEST_F(HashTest, HashKey_SameKey_IsTheSameAcrossBuilds)
{
  // Daemons of different builds must map a key to the same range.
  EXPECT_EQ(HashKey("outlet-17"), HashKey(std::string("outlet-17")));
  EXPECT_EQ(HashKey(""), 0x2d06800538d394c2ULL);
}

}
}
