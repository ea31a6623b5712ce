#ifndef PISTACHIOSHIFT_HOSTDAEMON_SERVICETIMEMEAN_H
#define PISTACHIOSHIFT_HOSTDAEMON_SERVICETIMEMEAN_H

#include <algorithm>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Mean time for which a request holds a slot of a backend server,
 * including the time of its nested calls. Performs no I/O.
 */
class ServiceTimeMean
{
public:
  void Add(Duration aTaken)
  {
    const auto taken = std::chrono::duration<double>(aTaken).count();
    m_count += 1.0;
    m_seconds += std::max(kMinWeight, 1.0 / m_count) * (taken - m_seconds);
  }

  /** \brief Mean in seconds; a typical value before the first answer. */
  double Seconds() const { return m_seconds; }

private:
  /// Weight of the newest time, so that the mean covers some hundred requests,
  /// or a few seconds.
  static constexpr double kMinWeight = 0.02;
  /// The typical value counts as this many requests, so that one slow answer
  /// after a start does not make up the mean.
  static constexpr double kTypicalCount = 5.0;
  static constexpr double kTypicalSeconds = 0.2;

  double m_count = kTypicalCount;
  double m_seconds = kTypicalSeconds;
};

}

#endif
