#ifndef PISTACHIOSHIFT_ROUTING_SLOWSTART_H
#define PISTACHIOSHIFT_ROUTING_SLOWSTART_H

#include <cstdint>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Concurrency limit of a backend server that has just started or
 * recovered, found from its answers. Reads no clock.
 *
 * A round is as many answers as the limit. The limit doubles after a round with
 * few late answers, halves after one of mostly late answers, and halves at a
 * failure or refusal. Time without any request doubles it as well, so that a
 * server that has no load yet has its full share when the load begins. The slow
 * start ends once the limit has been that of the full share for a while, and at
 * the latest after a given time: later, something else than a cold start makes
 * answers late, and a low limit would keep the server idle.
 */
class SlowStart
{
public:
  /**
   * \brief Begins, or begins again.
   * \param aSlots limit of the full share.
   * \param aFirst limit at the beginning.
   * \param aMaxTime ends at the latest after this time.
   */
  void Begin(uint32_t aSlots,
             uint32_t aFirst,
             Duration aMaxTime,
             MonoTime aNow);
  void End() { m_active = false; }
  bool Active() const { return m_active; }
  uint32_t Limit() const { return static_cast<uint32_t>(m_limit); }

  /** \brief Lower bound of the limit. */
  static uint32_t MinLimit(uint32_t aSlots);

  void OnAnswer(MonoTime aStarted, bool aLate, MonoTime aNow);

  /** \brief A connection failed, or the server refused a request that was
   * started at aStarted. */
  void OnFailed(MonoTime aStarted, MonoTime aNow);

  /**
   * \brief Time has passed.
   * \param aIdle no request runs at the server, and it does not say that it is
   * cold.
   */
  void OnTime(bool aIdle, MonoTime aNow);

private:
  void Change(double aFactor, MonoTime aNow);

  bool m_active = false;
  double m_slots = 1.0;
  double m_limit = 1.0;
  double m_answers = 0.0; ///< In the current round.
  double m_late = 0.0;    ///< Of these.
  MonoTime m_changedAt;   ///< Beginning of the current round.
  MonoTime m_usedAt;      ///< When a request last ran.
  MonoTime m_endsAt;
  MonoTime m_fullSince; ///< Meaningful while the limit is that of the slots.
};

}

#endif
