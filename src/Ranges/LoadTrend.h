#ifndef PISTACHIOSHIFT_RANGES_LOADTREND_H
#define PISTACHIOSHIFT_RANGES_LOADTREND_H

#include <cstddef>
#include <deque>

#include "src/Base/Clock.h"

namespace pistachioshift {

/** \brief Horizon and limits of a LoadTrend. */
struct LoadTrendSettings
{
  /// Time over which the slope is measured; samples are taken every second.
  Duration window = std::chrono::milliseconds(2600);
  /// Time from the last sample to the expected load: 3.0 s by which the mean
  /// of the key loads lags behind, and 2.2 s that a move takes.
  Duration lead = std::chrono::milliseconds(5200);
  /// Smaller changes, as a share of the load, count as none.
  double minChange = 0.15;
  /// Four standard deviations of the expected change of a constant load of
  /// one request per second; falls with the square root of the load.
  double noise = 4.2;
  /// Bounds of the expected load, as shares of the present one. With 1.5, the
  /// slope before the turn of a wave of 55% gave 22% more than its peak.
  double minFactor = 0.7;
  double maxFactor = 1.4;
};

/**
 * \brief Load of a service some seconds ahead, by the slope of its total load.
 * Performs no I/O.
 *
 * The total is used because moves between hosts do not change it, and because
 * the noise of the load of a single host exceeds the trend.
 */
class LoadTrend
{
public:
  explicit LoadTrend(LoadTrendSettings aSettings = {})
    : m_settings(aSettings)
  {
  }

  /**
   * \brief Adds a sample.
   * \param aLoad requests per second of all hosts.
   * \param aHosts hosts that contribute to it. If their number changes, the
   * earlier samples are dropped, because the load seems to change with it.
   */
  void Add(double aLoad, size_t aHosts, MonoTime aNow);

  /** \brief Expected load as a multiple of the last sample; 1 without a
   * significant trend. */
  double Factor() const;

private:
  struct Sample
  {
    MonoTime at;
    double load;
  };

  LoadTrendSettings m_settings;
  size_t m_hosts = 0;
  std::deque<Sample> m_samples;
};

}

#endif
