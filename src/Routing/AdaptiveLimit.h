#ifndef PISTACHIOSHIFT_ROUTING_ADAPTIVELIMIT_H
#define PISTACHIOSHIFT_ROUTING_ADAPTIVELIMIT_H

#include <cstdint>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Concurrency limit that follows what the backend server does.
 *
 * Load shedding and failures cut it, answers raise it: by one each in slow
 * start, by one per round after that, and far more slowly around the limit
 * that was shed last. It stays between 1 and the slots. Load
 * reports and service times don't move it: the gate is the only sender, so it
 * knows the load, and a slow server needs fewer admissions, not fewer slots.
 */
class AdaptiveLimit
{
public:
  explicit AdaptiveLimit(uint32_t aSlots);

  void OnDone();

  /** \param aStarted when the request that was shed had started. */
  void OnShed(MonoTime aStarted, MonoTime aNow);

  /** \brief A request ended without an answer; cuts like OnShed(). */
  void OnFailed(MonoTime aStarted, MonoTime aNow);

  /** \brief The backend server started anew and is cold. */
  void OnRestart(MonoTime aNow);

  uint32_t Value() const { return static_cast<uint32_t>(m_limit); }

private:
  double Step() const;
  void Cut(double aFactor, MonoTime aStarted, MonoTime aNow);

  double m_slots;
  double m_limit;
  double m_slowStartEnd;
  double m_shedAt; ///< Limit at the last shed; beyond reach if none.
  MonoTime m_lastCut;
};

}

#endif
