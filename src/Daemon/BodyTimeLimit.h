#ifndef PISTACHIOSHIFT_DAEMON_BODYTIMELIMIT_H
#define PISTACHIOSHIFT_DAEMON_BODYTIMELIMIT_H

#include <algorithm>
#include <cstddef>

#include "src/Base/Clock.h"

namespace pistachioshift {

/**
 * \brief Limits how long the body of an answer may be awaited.
 *
 * Waiting uses up the time left, bytes add to it. A body that arrives at
 * kMinBodyRate on average is therefore never late, however long it is; one that
 * trickles is. Time in which the reader takes no bytes, because the caller or a
 * link is slow, doesn't count. Pure.
 */
class BodyTimeLimit
{
public:
  /** \brief Time after the request's deadline for which a body that makes no
   * progress may be awaited. */
  static constexpr Duration kGrace = std::chrono::seconds(5);

  /** \brief Bytes per second. */
  static constexpr double kMinBodyRate = 64.0 * 1024.0;

  /** \brief The head has arrived; \param aDeadline of the request. */
  void Begin(MonoTime aNow, MonoTime aDeadline)
  {
    m_limit = std::max(aDeadline - aNow, Duration::zero()) + kGrace;
    m_left = m_limit;
    Resume(aNow);
  }

  /** \brief The reader takes no bytes until Resume(). */
  void Pause(MonoTime aNow)
  {
    m_left = Left(aNow);
    m_awaited = false;
  }

  void Resume(MonoTime aNow)
  {
    m_left = Left(aNow);
    m_since = aNow;
    m_awaited = true;
  }

  void OnBytes(MonoTime aNow, size_t aBytes)
  {
    m_left = Left(aNow);
    m_since = aNow;
    const std::chrono::duration<double> worth(static_cast<double>(aBytes) /
                                              kMinBodyRate);
    m_left += std::chrono::duration_cast<Duration>(worth);
    m_left = std::min(m_left, m_limit);
  }

  /** \brief Zero or less: the body is late. */
  Duration Left(MonoTime aNow) const
  {
    return m_awaited ? m_left - (aNow - m_since) : m_left;
  }

private:
  Duration m_limit{};
  Duration m_left{}; ///< At m_since, if awaited.
  MonoTime m_since;
  bool m_awaited = false;
};

}

#endif
