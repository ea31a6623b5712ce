#ifndef PISTACHIOSHIFT_RANGES_SERVERPRESENCE_H
#define PISTACHIOSHIFT_RANGES_SERVERPRESENCE_H

#include <optional>

#include "src/Base/Clock.h"
#include "src/Ranges/AcknowledgedLeaves.h"
#include "src/Ranges/GrantManager.h"

namespace pistachioshift {

/** \brief Time limits of a ServerPresence. */
struct PresenceSettings
{
  /// Requests are still started for this time after a leave was acknowledged.
  Duration drainTime = std::chrono::milliseconds(1600);
  /// Longest time for which a heartbeat is on its way.
  Duration maxHeartbeatDelay = std::chrono::seconds(10);
};

/** \brief What a leave means for the current incarnation of a server. */
enum class LeaveEffect
{
  kNone,
  kLeaves, ///< It leaves.
  kDoubts, ///< It has to be proven again that it runs.
};

/**
 * \brief Decides whether requests may be started at the backend server of a
 * host, from its heartbeats, leaves and health checks. Performs no I/O.
 *
 * A leave that was acknowledged binds the daemon, whatever arrives afterwards,
 * also if an earlier process of the daemon acknowledged it.
 *
 * \sa GrantManager, which decides which incarnation of the server is current
 */
class ServerPresence
{
public:
  explicit ServerPresence(const PresenceSettings& aSettings);

  /** \brief Sets the current incarnation, of which nothing has been heard. */
  void Begin(const ServerIncarnation& aIncarnation, MonoTime aNow);

  /**
   * \brief Handles a heartbeat of the current incarnation.
   * \param aEarlierProcess whether an earlier process of this daemon may have
   * acknowledged leaves.
   */
  void OnHeartbeat(bool aEarlierProcess, MonoTime aNow);

  /** \brief Handles an answer by which the server says that it runs and does
   * not leave. \pre the check was sent by this process. */
  void OnHealthy();

  /** \brief Handles a leave that is acknowledged now. */
  LeaveEffect OnLeave(const ServerLeave& aLeave,
                      MonoTime aNow,
                      WallTime aWallNow);

  /** \brief Whether the current incarnation has left, or is about to. */
  bool Left() const { return m_left; }

  /** \brief Whether the current incarnation is known to be running. */
  bool Proven() const { return m_proven; }

  /** \brief Whether the drain time of the current incarnation has passed. */
  bool Drained(MonoTime aNow) const
  {
    return m_drainEndsAt && aNow >= *m_drainEndsAt;
  }

private:
  void BeginLeave(MonoTime aNow);

  PresenceSettings m_settings;
  std::optional<ServerIncarnation> m_current;
  bool m_left = false;
  bool m_proven = false;
  /// A leave that was acknowledged in this process may concern it.
  bool m_doubted = false;
  /// No earlier process has acknowledged a leave of a later incarnation.
  bool m_provenOnce = false;
  std::optional<MonoTime> m_drainEndsAt;
  /// First heartbeat of the current incarnation since it has had to be proven;
  /// it may have been sent before.
  std::optional<MonoTime> m_firstHeartbeatAt;
  AcknowledgedLeaves m_leaves;
};

}

#endif
