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
RangeServerTask::RowsOf(const ServerLife& aLife) const
{
  const RangeHolder holder{ m_state.Self(), aLife };
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
  LiveServer server;
  server.life = aHeartbeat.life;
  server.slots = aHeartbeat.slots;
  server.state = m_leaving || m_keeper.LeavingAll() ? ServerState::kDraining
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
  if (m_keeper.Life() != aHeartbeat.life) {
    m_logger.Info("server-started",
                  "server={} born={} slots={}",
                  aHeartbeat.life.id.Value(),
                  aHeartbeat.life.born.time_since_epoch().count(),
                  aHeartbeat.slots);
    m_leavesAt.reset();
  }
  m_lastHeartbeat = now;
  m_server = aHeartbeat.life.id;
  MakeGate(aHeartbeat.slots);
  const bool wasLeaving = m_keeper.LeavingAll();
  auto reply = m_keeper.OnHeartbeat(
    aHeartbeat, RowsOf(aHeartbeat.life), m_state.LeaseLeft(), now);
  if (m_keeper.LeavingAll() && (!wasLeaving || !m_leavesAt)) {
    m_leavesAt = now + m_settings.drainTime;
    m_logger.Info("server-draining", "server={}", m_server->Value());
  }
  Publish(aHeartbeat);
  WriteRelinquished(aHeartbeat.life, m_keeper.TakeRelinquished());
  RetryHeld();
  return reply;
}

void
RangeServerTask::OnLeave(const ServerId& aServer)
{
  if (m_server != aServer || m_keeper.LeavingAll()) {
    return;
  }
  m_logger.Info("server-leaving", "server={}", aServer.Value());
  m_keeper.LeaveAll();
  m_leavesAt = m_clock.Now() + m_settings.drainTime;
  auto server = m_state.OwnRecord().server;
  if (server) {
    server->state = ServerState::kDraining;
    m_state.PublishServer(server);
  }
}

void
RangeServerTask::WriteRelinquished(const ServerLife& aLife,
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
  const RangeHolder holder{ m_state.Self(), aLife };
  m_state.SubmitEdit(
    "release",
    [holder, service = m_settings.service, ranges = std::move(aRanges)](
      TableDraft& aDraft, const MeshState& aState) {
      return HandOn(aDraft.table, aState, service, holder, ranges);
    });
}

void
RangeServerTask::ApplyMoveOrders(const std::vector<MoveOrder>& aOrders)
{
  if (!m_keeper.Life()) {
    return;
  }
  for (const auto& order : aOrders) {
    const auto* to = m_state.State().FindHost(order.to);
    if (to == nullptr || !m_state.State().CanTake(*to)) {
      continue;
    }
    for (const auto& row : RowsOf(*m_keeper.Life())) {
      if (row.range.Contains(order.range)) {
        m_logger.Info("move-ordered",
                      "range={}-{} to={}",
                      order.range.first,
                      order.range.last,
                      order.to.Value());
        m_keeper.Leave(
          order.range, row.fence, RangeHolder{ to->host, to->server->life });
      }
    }
  }
}

void
RangeServerTask::OnStateChanged()
{
  const auto& known = m_state.OwnRecord().server;
  if (!m_server && m_state.Joined() && known) {
    // It may have gone on running while this daemon was restarted.
    m_server = known->life.id;
    m_keeper.Adopt(known->life);
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
  if (!m_state.Joined() || !silent || !m_keeper.Expired(now)) {
    return;
  }
  auto server = m_state.OwnRecord().server;
  if (!server || server->state == ServerState::kSilent) {
    return;
  }
  m_logger.Warning(
    "server-silent",
    "server={} silent_ms={}",
    server->life.id.Value(),
    std::chrono::duration_cast<milliseconds>(now - m_lastHeartbeat).count());
  server->state = ServerState::kSilent;
  m_keeper.Lapse(RowsOf(server->life));
  m_state.PublishServer(server);
  WriteRelinquished(server->life, m_keeper.TakeRelinquished());
}

}
