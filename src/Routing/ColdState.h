#ifndef PISTACHIOSHIFT_ROUTING_COLDSTATE_H
#define PISTACHIOSHIFT_ROUTING_COLDSTATE_H

#include <optional>

#include "src/Base/Clock.h"

namespace pistachioshift {

/** \brief Events after which a backend server may be cold although it has not
 * said so. */
enum class ColdDoubt : uint8_t
{
  kDaemonStarted,   ///< Nothing is known of the server yet.
  kServerStarted,   ///< Its first heartbeat may state no remaining time.
  kFailed,          ///< Connections failed, or it was silent.
  kSlow,            ///< Answers take much longer than usual.
  kEvacuationEnded, ///< Its zone was evacuated until now.
};

/**
 * \brief Whether a backend server is cold, as it states in heartbeats and
 * answers to health checks, or may be cold. Reads no clock.
 *
 * A statement that the server is warm ends a doubt only if it was certainly
 * made later: a health check that was asked later, or a heartbeat that arrives
 * with a gap, because a heartbeat may be held up on its way.
 */
class ColdState
{
public:
  explicit ColdState(MonoTime aNow) { Doubt(ColdDoubt::kDaemonStarted, aNow); }

  void Doubt(ColdDoubt aDoubt, MonoTime aNow);

  /**
   * \brief A heartbeat of the server.
   * \param aLeft stated time for which it stays cold.
   */
  void OnHeartbeat(Duration aLeft, MonoTime aNow);

  /**
   * \brief An answer to a health check.
   * \param aLeft stated time for which it stays cold.
   * \param aAskedAt when the check was sent.
   */
  void OnHealth(Duration aLeft, MonoTime aAskedAt, MonoTime aNow);

  /** \brief Ends a doubt that only slow answers gave rise to, because the
   * server does not state in its answer whether it is cold. */
  void WithdrawSlow();

  /** \brief Whether the server has stated that it is cold now. */
  bool StatedCold(MonoTime aNow) const;

  bool InDoubt() const { return m_open.has_value(); }

  /** \brief Whether an answer to a health check can end the doubt. */
  bool WantsHealthCheck() const { return m_open && m_open->asks; }

private:
  struct OpenDoubt
  {
    MonoTime since;
    Duration heartbeatGap{}; ///< Until a heartbeat can end it.
    bool byHealth = true;    ///< A health check can end it, too.
    bool asks = false;       ///< A health check is worth its cost.
    bool onlySlow = false;
  };

  void SetCold(Duration aLeft, MonoTime aNow);

  std::optional<OpenDoubt> m_open;
  std::optional<MonoTime> m_coldUntil;
  MonoTime m_statedAt; ///< When m_coldUntil was set.
};

}

#endif
