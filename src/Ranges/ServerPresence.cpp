#include "src/Ranges/ServerPresence.h"

#include <algorithm>

namespace pistachioshift {

namespace {

constexpr size_t kMaxEarlyLeaves = 8;

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
  const bool left = std::any_of(
    m_earlyLeaves.begin(), m_earlyLeaves.end(), [&](const ServerLeave& aLeave) {
      return aLeave.Concerns(aIncarnation);
    });
  if (left) {
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
  if (onlyHere || aNow - *m_firstHeartbeatAt >= kMinHeartbeatGap) {
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
  if (m_current && aLeave.Concerns(*m_current)) {
    const bool leaves = !m_left;
    if (leaves) {
      BeginLeave(aNow);
    }
    return leaves;
  }
  auto leave = aLeave;
  if (leave.startedBy == WallTime::max()) {
    // A server that starts later under the same id has not left.
    leave.startedBy = aWallNow;
  }
  std::erase_if(m_earlyLeaves,
                [&](const ServerLeave& aItem) { return aItem.id == leave.id; });
  m_earlyLeaves.push_back(leave);
  if (m_earlyLeaves.size() > kMaxEarlyLeaves) {
    m_earlyLeaves.erase(m_earlyLeaves.begin());
  }
  return false;
}

/** The drain time is over if the leave may have been acknowledged before. */
void
ServerPresence::BeginLeave(MonoTime aNow)
{
  m_left = true;
  m_drainEndsAt = m_proven ? aNow + m_settings.drainTime : aNow;
}

}
