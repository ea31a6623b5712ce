#ifndef PISTACHIOSHIFT_ROUTING_ADAPTIVELIMIT_H
#define PISTACHIOSHIFT_ROUTING_ADAPTIVELIMIT_H

#include <cstdint>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Concurrency limit of one backend server, adapted to its answers.
 *
 * Load shedding and failures decrease the limit by a factor, and answers
 * increase it: by one per answer in slow start, then by one per round of as
 * many answers as the limit, and much more slowly around the limit at which the
 * server last shed load. The limit stays between 1 and the number of slots.
 * Load reports and service times have no influence: the admission controller is
 * the only sender, so it knows the load, and a slow server needs fewer
 * admissions, not fewer slots.
 */
class AdaptiveLimit
{
public:
  explicit AdaptiveLimit(uint32_t aSlots);

  void OnDone();

  /** \param aStarted time at which the shed request was started. */
  void OnShed(MonoTime aStarted, MonoTime aNow);

  /** \brief A request ended without an answer; decreases like OnShed(). */
  void OnFailed(MonoTime aStarted, MonoTime aNow);

  /** \brief The backend server restarted: begins slow start at limit 1. */
  void OnRestart(MonoTime aNow);

  uint32_t Value() const { return static_cast<uint32_t>(m_limit); }

private:
  double Increment() const;
  void Decrease(double aFactor, MonoTime aStarted, MonoTime aNow);

  double m_slots;
  double m_limit;
  double m_slowStartEnd;
  double
    m_shedLimit; ///< Limit before the last decrease; above all limits if none.
  MonoTime m_lastDecrease;
};

}

#endif
