#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Log"

namespace pistachioshift {
namespace {

class RecordCacheTest : public ::testing::Test
{};

RC_GTEST_FIXTURE_PROP(RecordCacheTest,
                      RecordsFrom_AnyOffset_IsPartOfStreamOrEmpty,
                      (const std::vector<std::string>& aPayloads))
{
  constexpr size_t kEntryBytes = sizeof(LogEntry);
  constexpr size_t kMaxBytes = 3 * kEntryBytes;
  RecordCache cache(kMaxBytes);
  std::vector<LogEntry> all;
  size_t newestBytes = 0;
  for (const auto& payload : aPayloads) {
    const Offset offset(static_cast<int64_t>(all.size()) + 1);
    all.push_back(LogEntry{ offset, payload });
    cache.Add(all.back());
    newestBytes = payload.size() + kEntryBytes;
  }
  const auto from = *rc::gen::inRange<size_t>(1, all.size() + 2);
  const auto records =
    cache.RecordsFrom(Offset(static_cast<int64_t>(from)), kMaxBytes);
  for (size_t at = 0; at < records.size(); ++at) {
    RC_ASSERT(records[at] == all[from - 1 + at]);
  }
  const bool newest = from == all.size();
  RC_ASSERT(!newest || newestBytes > kMaxBytes || records.size() == 1);
}

TEST_F(RecordCacheTest, Add_OffsetsSkipped_DropsEarlierEntries)
{
  RecordCache cache(1000);
  cache.Add(LogEntry{ Offset(1), "one" });
  cache.Add(LogEntry{ Offset(5), "five" });
  EXPECT_TRUE(cache.RecordsFrom(Offset(1), 1000).empty());
  EXPECT_EQ(cache.RecordsFrom(Offset(5), 1000).size(), 1U);
}

TEST_F(RecordCacheTest, Add_ManyEmptyPayloads_StaysBounded)
{
  RecordCache cache(1000);
  for (int64_t offset = 1; offset <= 1000; ++offset) {
    cache.Add(LogEntry{ Offset(offset), "" });
  }
  EXPECT_TRUE(cache.RecordsFrom(Offset(900), 1000).empty());
  EXPECT_FALSE(cache.RecordsFrom(Offset(1000), 1000).empty());
}

TEST_F(RecordCacheTest, RecordsFrom_SmallBound_ReturnsAtLeastOne)
{
  RecordCache cache(1000);
  cache.Add(LogEntry{ Offset(1), "one" });
  cache.Add(LogEntry{ Offset(2), "two" });
  EXPECT_EQ(cache.RecordsFrom(Offset(1), 1).size(), 1U);
  EXPECT_TRUE(cache.RecordsFrom(Offset(3), 1000).empty());
}

}
}
