#include "src/HostDaemon/RangeServerTask.h"

namespace pistachioshift {

void
RangeServerTask::SetEvacuatedZones(const std::set<ZoneName>& aZones,
                                   std::optional<MonoTime> aUnchangedAt)
{
  const auto now = m_clock.Now();
  const auto& zone = m_state.OwnRecord().zone;
  const auto change = m_evacuation.Update(zone, aZones, aUnchangedAt, now);
  m_grants.SetEvacuating(m_evacuation.Active());
  if (change == ZoneEvacuation::Change::kBegun) {
    const auto left = *m_evacuation.EndOfStarts() - now;
    m_logger.Info(
      "evacuation-begin",
      "zone={} starts_ms={} in_flight={}",
      zone.Value(),
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count(),
      InFlight());
    m_startsEvacuated = true;
  }
  if (change == ZoneEvacuation::Change::kNone && !m_settings.evacuateLimit) {
    return;
  }
  PublishEvacuation();
  if (change == ZoneEvacuation::Change::kEnded) {
    OnEvacuationEnded();
  }
  EndEvacuationStarts(now);
  RetryHeldCalls();
  CheckHealth(); // It was not asked before the zones were known.
}

/** Publishes whether the server takes keys, unless something else decides: a
 * leave, or a heartbeat that is to come. */
void
RangeServerTask::PublishEvacuation()
{
  auto server = m_state.OwnRecord().server;
  if (!m_state.Joined() || !server) {
    return;
  }
  if (m_evacuation.Active()) {
    server->state = ServerState::kDraining;
  } else if (m_evacuation.TakesKeys() && !m_presence.Left() && !m_exitAt &&
             !m_silent && m_presence.Proven() &&
             server->incarnation == m_grants.Incarnation()) {
    server->state = ServerState::kReady;
  }
  m_state.PublishServer(server);
}

void
RangeServerTask::OnEvacuationEnded()
{
  m_logger.Info("evacuation-end", "zone={}", m_state.OwnRecord().zone.Value());
  // A server that has fallen silent meanwhile is published as such.
  m_silent = false;
  m_pace.OnEvacuationEnded(m_clock.Now());
  UpdatePace();
}

/** Refuses the requests that wait for a key once no more are started. */
void
RangeServerTask::EndEvacuationStarts(MonoTime aNow)
{
  if (!m_startsEvacuated || !m_evacuation.RefusesStarts(aNow)) {
    m_startsEvacuated = m_startsEvacuated && m_evacuation.Active();
    return;
  }
  m_startsEvacuated = false;
  m_logger.Info("evacuation-starts-ended",
                "queued={} held={} running={}",
                Queued(),
                m_heldCalls.size(),
                Running());
  if (m_gate) {
    ApplyGateActions(m_gate->RefuseQueued(RefusalReason::kDraining));
  }
  RetryHeldCalls();
}

}
