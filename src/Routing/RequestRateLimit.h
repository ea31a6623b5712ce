#ifndef PISTACHIOSHIFT_ROUTING_REQUESTRATELIMIT_H
#define PISTACHIOSHIFT_ROUTING_REQUESTRATELIMIT_H

#include <optional>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Token bucket that paces the requests to a backend server which has
 * named a limit. Does no input or output and reads no clock.
 *
 * A rate close to zero still lets a request through every few seconds, because
 * only an answer shows that the limit has changed.
 */
class RequestRateLimit
{
public:
  /**
   * \brief Sets the limit.
   * \param aPerSecond requests per second, finite and not negative; nullopt: no
   * limit.
   */
  void Set(std::optional<double> aPerSecond, MonoTime aNow);

  bool IsLimited() const { return m_perSecond.has_value(); }

  /** \brief Requests per second that are let through; nullopt: no limit. */
  std::optional<double> PerSecond() const { return m_perSecond; }

  /** \brief Time from which a request may start; not after aNow if it may now.
   */
  MonoTime NextStart(MonoTime aNow) const;

  bool MayStart(MonoTime aNow) const { return NextStart(aNow) <= aNow; }

  /** \brief Counts a request that starts. */
  void OnStart(MonoTime aNow);

private:
  void Refill(MonoTime aNow);
  double TokensAt(MonoTime aNow) const;

  std::optional<double> m_perSecond;
  double m_tokens = 0.0;
  MonoTime m_refilledAt;
};

}

#endif
