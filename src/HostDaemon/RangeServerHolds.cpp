#include <utility>

#include "src/HostDaemon/RangeServerTask.h"

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Silence after which the backend server counts as gone once its hold ended:
 * two missed heartbeats and their timeout. */
constexpr Duration kHeartbeatSilence = milliseconds(2900);

}

std::vector<RangeRow>
RangeServerTask::RowsOf(const ServerIncarnation& aIncarnation) const
{
  const RangeHolder holder{ m_state.Self(), aIncarnation };
  std::vector<RangeRow> rows;
  for (const auto& row : m_state.State().Table().RowsOf(m_settings.service)) {
    if (row.holder == holder) {
      rows.push_back(row);
    }
  }
  return rows;
}

bool
RangeServerTask::IsMine(ShardKey aKey) const
{
  const auto* row = m_state.State().Table().Find(m_settings.service, aKey);
  return row != nullptr && row->holder.host == m_state.Self();
}

void
RangeServerTask::Publish(const ServerHeartbeat& aHeartbeat)
{
  ServerStatus server;
  server.incarnation = aHeartbeat.incarnation;
  server.slots = aHeartbeat.slots;
  server.state = m_leaving || m_keeper.RevokingAll() ? ServerState::kDraining
                                                     : ServerState::kReady;
  m_state.PublishServer(server);
}

HeartbeatReply
RangeServerTask::OnHeartbeat(const ServerHeartbeat& aHeartbeat)
{
  if (!m_state.Joined() || m_keeper.IsStale(aHeartbeat) ||
      aHeartbeat.service != m_settings.service) {
    return {};
  }
  const auto now = m_clock.Now();
  if (m_keeper.Incarnation() != aHeartbeat.incarnation) {
    m_logger.Info("server-started",
                  "server={} born={} slots={}",
                  aHeartbeat.incarnation.id.Value(),
                  aHeartbeat.incarnation.startedAt.time_since_epoch().count(),
                  aHeartbeat.slots);
    m_leavesAt.reset();
  }
  m_lastHeartbeat = now;
  m_server = aHeartbeat.incarnation.id;
  MakeGate(aHeartbeat.slots);
  const bool wasLeaving = m_keeper.RevokingAll();
  auto reply = m_keeper.OnHeartbeat(
    aHeartbeat, RowsOf(aHeartbeat.incarnation), m_state.LeaseLeft(), now);
  if (m_keeper.RevokingAll() && (!wasLeaving || !m_leavesAt)) {
    m_leavesAt = now + m_settings.drainTime;
    m_logger.Info("server-draining", "server={}", m_server->Value());
  }
  Publish(aHeartbeat);
  WriteRelinquished(aHeartbeat.incarnation, m_keeper.TakeRelinquished());
  RetryHeld();
  return reply;
}

void
RangeServerTask::OnLeave(const ServerId& aServer)
{
  if (m_server != aServer || m_keeper.RevokingAll()) {
    return;
  }
  m_logger.Info("server-leaving", "server={}", aServer.Value());
  m_keeper.RevokeAll();
  m_leavesAt = m_clock.Now() + m_settings.drainTime;
  auto server = m_state.OwnRecord().server;
  if (server) {
    server->state = ServerState::kDraining;
    m_state.PublishServer(server);
  }
}

void
RangeServerTask::WriteRelinquished(const ServerIncarnation& aIncarnation,
                                   std::vector<Relinquished> aRanges)
{
  if (aRanges.empty()) {
    return;
  }
  for (const auto& item : aRanges) {
    m_logger.Info("range-released",
                  "range={}-{} token={} to={}",
                  item.range.first,
                  item.range.last,
                  item.handover.empty() ? "-" : item.handover,
                  item.next ? item.next->host.Value() : "-");
  }
  const RangeHolder holder{ m_state.Self(), aIncarnation };
  m_state.Change(
    "release",
    [holder, service = m_settings.service, ranges = std::move(aRanges)](
      TableDraft& aDraft, const MeshState& aState) {
      return ReassignRelinquished(
        aDraft.table, aState, service, holder, ranges);
    });
}

void
RangeServerTask::Move(const std::vector<MoveOrder>& aOrders)
{
  if (!m_keeper.Incarnation()) {
    return;
  }
  for (const auto& order : aOrders) {
    const auto* to = m_state.State().FindHost(order.to);
    if (to == nullptr || !m_state.State().CanTakeKeys(*to)) {
      continue;
    }
    for (const auto& row : RowsOf(*m_keeper.Incarnation())) {
      if (row.range.Contains(order.range)) {
        m_logger.Info("move-ordered",
                      "range={}-{} to={}",
                      order.range.first,
                      order.range.last,
                      order.to.Value());
        m_keeper.Revoke(order.range,
                        row.fence,
                        RangeHolder{ to->host, to->server->incarnation });
      }
    }
  }
}

void
RangeServerTask::OnState()
{
  const auto& known = m_state.OwnRecord().server;
  if (!m_server && m_state.Joined() && known) {
    // It may have gone on running while this daemon was restarted.
    m_server = known->incarnation.id;
    m_keeper.Adopt(known->incarnation);
    MakeGate(known->slots);
  }
  RetryHeld();
}

void
RangeServerTask::OnTick()
{
  const auto now = m_clock.Now();
  if (Leaves(now) && m_gate && m_gate->QueuedCount() > 0) {
    Apply(m_gate->RefuseQueued(RefusalReason::kDraining));
  }
  const bool silent = now - m_lastHeartbeat >= kHeartbeatSilence;
  if (!m_state.Joined() || !silent || !m_keeper.HoldsExpired(now)) {
    return;
  }
  auto server = m_state.OwnRecord().server;
  if (!server || server->state == ServerState::kSilent) {
    return;
  }
  m_logger.Warning(
    "server-silent",
    "server={} silent_ms={}",
    server->incarnation.id.Value(),
    std::chrono::duration_cast<milliseconds>(now - m_lastHeartbeat).count());
  server->state = ServerState::kSilent;
  m_keeper.RelinquishExpired(RowsOf(server->incarnation));
  m_state.PublishServer(server);
  WriteRelinquished(server->incarnation, m_keeper.TakeRelinquished());
}

}
