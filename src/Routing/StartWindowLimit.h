#ifndef PISTACHIOSHIFT_ROUTING_STARTWINDOWLIMIT_H
#define PISTACHIOSHIFT_ROUTING_STARTWINDOWLIMIT_H

#include <deque>
#include <optional>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Bounds the requests that start at a backend server within any second.
 * Does no input or output and reads no clock.
 *
 * All starts are recorded, also those before a rate is set, so that a rate that
 * is set later counts them. While a rate is set, starts follow it with a burst
 * of a few requests, and no window exceeds the rate by more than that burst.
 *
 * RequestRateLimit lets the requests of a whole second through at once when its
 * rate is set, which allows almost twice the rate in the first second.
 */
class StartWindowLimit
{
public:
  /**
   * \brief Sets the rate.
   * \param aPerSecond requests per second, finite and not negative; nullopt: no
   * limit.
   */
  void Set(std::optional<double> aPerSecond, MonoTime aNow);

  /** \brief Requests per second that are let through; nullopt: no limit. */
  std::optional<double> PerSecond() const { return m_perSecond; }

  /** \brief Time from which a request may start; not after aNow if it may now.
   */
  MonoTime NextStart(MonoTime aNow) const;

  bool MayStart(MonoTime aNow) const { return NextStart(aNow) <= aNow; }

  /** \brief Records a request that starts. */
  void OnStart(MonoTime aNow);

private:
  MonoTime WindowStart(MonoTime aNow) const;

  std::optional<double> m_perSecond;
  MonoTime m_dueAt;              ///< Start of the next request at an even pace.
  std::deque<MonoTime> m_starts; ///< Of the last window; oldest first.
};

}

#endif
