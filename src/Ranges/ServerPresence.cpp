#include "src/Ranges/ServerPresence.h"

namespace pistachioshift {

namespace {

/** Least time between two heartbeats that show a server which is running. Below
 * any heartbeat interval, and above the delay of a reordered pair. */
constexpr Duration kMinHeartbeatGap = std::chrono::milliseconds(500);

}

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
  if (m_leaves.VerdictOn(aIncarnation) == LeaveVerdict::kLeft) {
    BeginLeave(aNow);
  }
}

/**
 * An earlier process of this daemon may have acknowledged that the server
 * leaves, and its record need not say so. A server that leaves with a heartbeat
 * repeats it in the next one; a server that leaves without one sends no more.
 * A single heartbeat may have been sent before the leave and held up. Only
 * heartbeats that go on prove that a server is ready.
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
  const bool unknown =
    m_leaves.VerdictOn(*m_current) == LeaveVerdict::kPossible;
  if ((onlyHere && !unknown) ||
      aNow - *m_firstHeartbeatAt >= kMinHeartbeatGap) {
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

bool
ServerPresence::OnLeave(const ServerLeave& aLeave,
                        MonoTime aNow,
                        WallTime aWallNow)
{
  // It may also be of a later start under the same id, whose first heartbeat
  // has not arrived yet.
  m_leaves.Add(aLeave, aWallNow);
  if (m_left || !m_current || !aLeave.Concerns(*m_current)) {
    return false;
  }
  BeginLeave(aNow);
  return true;
}

/** The drain time is over if the leave may have been acknowledged before. */
void
ServerPresence::BeginLeave(MonoTime aNow)
{
  m_left = true;
  m_drainEndsAt = m_proven ? aNow + m_settings.drainTime : aNow;
}

}
