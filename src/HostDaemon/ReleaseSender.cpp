#include "src/HostDaemon/ReleaseSender.h"

#include <algorithm>
#include <utility>

namespace pistachioshift {

namespace {

/** Time in which the coordinator's append is expected to be known here. */
constexpr Duration kWriteTimeout = std::chrono::milliseconds(600);

constexpr Duration kCheckInterval = std::chrono::milliseconds(100);

}

ReleaseSender::ReleaseSender(event_base* aBase,
                             const Clock& aClock,
                             StateTaskBase& aState,
                             CoordinatorTask& aCoordinator,
                             PeersTask& aPeers)
  : m_clock(aClock)
  , m_state(aState)
  , m_coordinator(aCoordinator)
  , m_peers(aPeers)
  , m_timer(aBase, [this] { OnTimer(); })
{
}

void
ReleaseSender::Send(RangeRelease aRelease)
{
  const auto* self = m_state.State().FindHost(m_state.Self());
  const auto* coordinator =
    m_coordinator.Active() ? nullptr : m_coordinator.Coordinator();
  if (coordinator == nullptr || self == nullptr) {
    m_coordinator.OnRelease(aRelease);
    return;
  }
  auto sent = aRelease;
  sent.epoch = self->epoch;
  m_peers.SendRelease(coordinator->inner, sent);
  m_sent.push_back(SentRelease{ std::move(aRelease), m_clock.Now() });
  if (!m_timer.Running()) {
    m_timer.StartEvery(kCheckInterval);
  }
}

void
ReleaseSender::OnTimer()
{
  const auto now = m_clock.Now();
  std::erase_if(m_sent, [&](const SentRelease& aSent) {
    if (!HoldsReleased(m_state.State().Table(), aSent.release)) {
      return true;
    }
    const bool overdue = now - aSent.sentAt >= kWriteTimeout;
    if (overdue) {
      m_coordinator.OnRelease(aSent.release);
    }
    return overdue;
  });
  if (m_sent.empty()) {
    m_timer.Stop();
  }
}

}
