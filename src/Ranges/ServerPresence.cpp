#include "src/Ranges/ServerPresence.h"

namespace pistachioshift {

ServerPresence::ServerPresence(const PresenceSettings& aSettings)
  : m_settings(aSettings)
{
}

void
ServerPresence::Begin(const ServerIncarnation& aIncarnation, MonoTime aNow)
{
  m_current = aIncarnation;
  m_left = false;
  m_proven = false;
  m_drainEndsAt.reset();
  m_firstHeartbeatAt.reset();
  const auto verdict = m_leaves.VerdictOn(aIncarnation);
  m_doubted = verdict == LeaveVerdict::kPossible;
  if (verdict == LeaveVerdict::kLeft) {
    BeginLeave(aNow);
  }
}

/**
 * An earlier process of this daemon may have acknowledged that the server
 * leaves, and its record need not say so. Heartbeats that were sent before the
 * leave may arrive after the restart, seconds late. Only one that arrives after
 * a longer time than that shows that the server goes on.
 */
void
ServerPresence::OnHeartbeat(bool aEarlierProcess, MonoTime aNow)
{
  if (!m_firstHeartbeatAt) {
    m_firstHeartbeatAt = aNow;
  }
  // Without an earlier process, or once this one has heard a server, no leave
  // can have been acknowledged elsewhere.
  const bool onlyHere = !aEarlierProcess || m_provenOnce;
  const bool sentSince =
    aNow - *m_firstHeartbeatAt >= m_settings.maxHeartbeatDelay;
  if ((onlyHere && !m_doubted) || sentSince) {
    m_proven = true;
    m_provenOnce = true;
  }
}

void
ServerPresence::OnHealthy()
{
  m_proven = true;
  m_provenOnce = true;
}

LeaveEffect
ServerPresence::OnLeave(const ServerLeave& aLeave,
                        MonoTime aNow,
                        WallTime aWallNow)
{
  // It may also be of a later start under the same id, whose first heartbeat
  // has not arrived yet.
  m_leaves.Add(aLeave, aWallNow);
  if (m_left || !m_current || aLeave.id != m_current->id) {
    return LeaveEffect::kNone;
  }
  if (aLeave.Concerns(*m_current)) {
    BeginLeave(aNow);
    return LeaveEffect::kLeaves;
  }
  // The leave is a late one of an earlier start, or the running server started
  // after the time of day had been set back. Then it has the lower start time,
  // and its heartbeats count as late ones too.
  m_proven = false;
  m_doubted = true;
  m_firstHeartbeatAt.reset();
  return LeaveEffect::kDoubts;
}

/** The drain time is over if the leave may have been acknowledged before. */
void
ServerPresence::BeginLeave(MonoTime aNow)
{
  m_left = true;
  m_drainEndsAt = m_proven ? aNow + m_settings.drainTime : aNow;
}

}
