#include <cmath>
#include <numbers>
#include <random>

#include <gtest/gtest.h>

#include "test/Ranges/RangesSupport.h"

namespace pistachioshift::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Samples of a load as the coordinator takes them: once a second, of a mean
 * with a time constant of 3 s. */
class LoadTrendTest : public ::testing::Test
{
protected:
  static constexpr double kMean = 600.0;
  static constexpr size_t kHosts = 38;

  /** One second with the given number of requests. */
  void Step(double aRequests, size_t aHosts = kHosts)
  {
    m_clock.Advance(seconds(1));
    const auto retained = std::exp(-1.0 / 3.0);
    m_smoothed += (1.0 - retained) * (aRequests - m_smoothed);
    m_trend.Add(m_smoothed, aHosts, m_clock.Now());
  }

  double Expected() const { return m_smoothed * m_trend.Factor(); }

  static double Wave(int aSecond)
  {
    return kMean *
           (1.0 + 0.55 * std::sin(2.0 * std::numbers::pi * aSecond / 17.0));
  }

  /** Most and least that is expected of a noisy load without a trend. */
  struct Bounds
  {
    double least = 1.0;
    double most = 1.0;
  };

  Bounds FactorsOfNoise(double aRate)
  {
    std::mt19937 random(20261204); // NOLINT(cert-msc51-cpp): repeatable
    std::poisson_distribution<int> requests(aRate);
    m_smoothed = aRate;
    Bounds bounds;
    for (int second = 0; second < 600; ++second) {
      Step(requests(random));
      bounds.least = std::min(bounds.least, m_trend.Factor());
      bounds.most = std::max(bounds.most, m_trend.Factor());
    }
    return bounds;
  }

  ManualClock m_clock;
  LoadTrend m_trend;
  double m_smoothed = kMean;
};

/** Load pattern: waves of 55% with a period of 17 s. The peak is 4.25 s after
 * the load passes its mean, and a move takes 2.2 s. Guards against moves that
 * are planned when the peak is over. */
TEST_F(LoadTrendTest, Factor_RisingWave_HighLoadIsExpectedAMoveBeforeThePeak)
{
  constexpr int kPeriod = 17;
  constexpr double kHighLoad = 1.3 * kMean;
  for (int second = 0; second < 5 * kPeriod; ++second) {
    Step(Wave(second));
  }
  EXPECT_LT(m_smoothed, kHighLoad);
  Step(Wave(5 * kPeriod));
  Step(Wave(5 * kPeriod + 1));
  Step(Wave(5 * kPeriod + 2));
  EXPECT_LT(m_smoothed, kHighLoad);
  EXPECT_GE(Expected(), kHighLoad);
}

/** Guards against moves for a load that no peak reaches. */
TEST_F(LoadTrendTest, Factor_Wave_ExpectsLittleMoreThanThePeak)
{
  for (int second = 0; second < 170; ++second) {
    Step(Wave(second));
    if (second > 17) {
      EXPECT_LT(Expected(), 1.2 * 1.55 * kMean) << second;
    }
  }
}

/** Guards against moves that noise causes. */
TEST_F(LoadTrendTest, Factor_EvenLoadWithNoise_NoTrend)
{
  for (const auto rate : { 20.0, 100.0, 600.0, 3000.0 }) {
    m_trend = LoadTrend();
    const auto bounds = FactorsOfNoise(rate);
    EXPECT_EQ(bounds.least, 1.0) << rate;
    EXPECT_EQ(bounds.most, 1.0) << rate;
  }
}

/** Failure case: the reports of some hosts begin or end, as after a change of
 * the coordinator. */
TEST_F(LoadTrendTest, Factor_MoreHostsReport_NoTrend)
{
  for (size_t hosts = 1; hosts <= 10; ++hosts) {
    Step(100.0 * static_cast<double>(hosts), hosts);
    EXPECT_EQ(m_trend.Factor(), 1.0);
  }
}

TEST_F(LoadTrendTest, Factor_SamplesAreOld_NoTrend)
{
  Step(100.0);
  Step(400.0);
  m_clock.Advance(milliseconds(5000));
  Step(900.0);
  EXPECT_EQ(m_trend.Factor(), 1.0);
}

TEST(LoadMapScaleTest, Scale_Buckets_ScalesLoadsOfAllRanges)
{
  LoadMap load(10.0);
  load.Add({ LoadBucket{ { 100, 199 }, 50.0 } });
  const auto before = load.LoadOf({ 150, 40000 });
  load.Scale(1.5);
  EXPECT_NEAR(load.LoadOf({ 150, 40000 }), 1.5 * before, 1e-9);
  EXPECT_NEAR(load.LoadOf({}), 90.0, 1e-9);
}

}
