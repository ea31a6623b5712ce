#include <map>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift {
namespace {

class KeySketchTest : public ::testing::Test
{
protected:
  // Skewed towards low numbers, which makes some keys heavy.
  static std::string AnyKey()
  {
    const auto bound = *rc::gen::inRange(1, 40);
    return std::to_string(*rc::gen::inRange(0, bound));
  }
};

RC_GTEST_FIXTURE_PROP(KeySketchTest,
                      AnyStream_Estimates_WithinErrorBoundAndHeavyKeysKept,
                      ())
{
  constexpr double kSlack = 1e-6;
  const auto capacity = *rc::gen::inRange<size_t>(1, 12);
  KeySketch sketch(capacity);
  std::map<std::string, double> exact;
  double total = 0.0;
  const auto steps = *rc::gen::inRange(1, 400);
  for (int step = 0; step < steps; ++step) {
    if (*rc::gen::inRange(0, 30) == 0) {
      const double factor = *rc::gen::element(0.5, 0.9, 1e-4);
      sketch.Decay(factor);
      total *= factor;
      for (auto& [key, weight] : exact) {
        weight *= factor;
      }
    }
    const auto key = AnyKey();
    const double weight = *rc::gen::inRange(1, 100) / 10.0;
    sketch.Add(key, weight);
    exact[key] += weight;
    total += weight;
  }
  const auto bound = total / static_cast<double>(capacity) + kSlack;
  std::map<std::string, KeyWeight> held;
  for (const auto& entry : sketch.Top(capacity)) {
    held[entry.key] = entry;
    RC_ASSERT(entry.weight + kSlack >= exact[entry.key]);
    RC_ASSERT(entry.LowerBound() <= exact[entry.key] + kSlack);
    RC_ASSERT(entry.error <= bound);
  }
  RC_ASSERT(held.size() <= capacity);
  for (const auto& [key, weight] : exact) {
    RC_ASSERT(weight <= bound || held.contains(key));
  }
}

TEST_F(KeySketchTest, Top_FewerKeysThanCapacity_ExactAndOrdered)
{
  KeySketch sketch(8);
  sketch.Add("outlet-1", 1.0);
  sketch.Add("outlet-2", 5.0);
  sketch.Add("outlet-1", 2.0);
  const auto top = sketch.Top(1);
  ASSERT_EQ(top.size(), 1U);
  EXPECT_EQ(top[0].key, "outlet-2");
  EXPECT_EQ(sketch.Top(9)[1].weight, 3.0);
  EXPECT_EQ(sketch.Total(), 8.0);
}

}
}
