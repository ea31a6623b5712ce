#include <algorithm>
#include <utility>

#include "src/HostDaemon/RangeServerTask.h"

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Time without heartbeats after which the backend server is considered gone,
 * provided that its holds have expired: two missed heartbeats and their
 * timeout. */
constexpr Duration kHeartbeatSilence = milliseconds(2900);

/** Time that a request waits for a key that is assigned to this host but not
 * yet granted to the backend server: two of the server's heartbeats. */
constexpr Duration kHoldTimeout = milliseconds(1800);

/** Time in which a release that was sent is expected to be in the table. */
constexpr Duration kRepeatInterval = milliseconds(600);

}

std::vector<RangeRow>
RangeServerTask::RowsOf(const ServerIncarnation& aIncarnation) const
{
  const RangeHolder holder{ m_state.Self(), aIncarnation };
  std::vector<RangeRow> rows;
  for (const auto& row : m_state.State().Table().RowsOf(m_settings.service)) {
    if (row.holder == holder && !row.unconfirmed) {
      rows.push_back(row);
    }
  }
  const auto& own = m_state.OwnRecord();
  if (!m_state.Returning() && own.server &&
      own.server->incarnation == aIncarnation) {
    const auto pending = UnconfirmedClaims(
      m_state.State().Table(), m_settings.service, holder, own.claims);
    rows.insert(rows.end(), pending.begin(), pending.end());
  }
  return rows;
}

bool
RangeServerTask::AssignedHere(ShardKey aKey) const
{
  const auto* row = m_state.State().Table().Find(m_settings.service, aKey);
  return row != nullptr && !row->unconfirmed &&
         row->holder.host == m_state.Self();
}

void
RangeServerTask::HoldCall(const CallPtr& aCall, RefusalReason aRefusal)
{
  aCall->m_holdRefusal = aRefusal;
  aCall->m_state = OwnerCall::State::kHeld;
  m_calls[aCall->Request().id] = aCall;
  m_heldCalls.push_back(aCall->Request().id);
  aCall->StartHoldTimer(kHoldTimeout);
  aCall->StartDeadlineTimer();
}

void
RangeServerTask::RetryHeldCalls()
{
  for (const auto& id : std::exchange(m_heldCalls, {})) {
    const auto found = m_calls.find(id);
    if (found == m_calls.end() ||
        found->second->m_state != OwnerCall::State::kHeld) {
      continue;
    }
    const auto call = found->second;
    const bool waits = !IsExcluded(*call) && !RefusesNewCalls(m_clock.Now()) &&
                       (AwaitsGrant(*call) || AwaitsSuspect(*call));
    if (waits) {
      m_heldCalls.push_back(id);
      continue;
    }
    call->m_holdTimer.Stop();
    call->m_state = OwnerCall::State::kNew;
    Accept(call);
  }
}

bool
RangeServerTask::AwaitsGrant(const OwnerCall& aCall) const
{
  const auto key = ParseShardKey(aCall.Request().key);
  return m_sharded && key && AssignedHere(*key) &&
         !MayServe(*key, m_clock.Now());
}

/** The backend server may still have the hold that it got from an earlier
 * process of this daemon, which may have acknowledged its leave. */
bool
RangeServerTask::MayServe(ShardKey aKey, MonoTime aNow) const
{
  return m_presence.Proven() && m_grants.MayServe(aKey, aNow);
}

void
RangeServerTask::PublishServerState(const ServerHeartbeat& aHeartbeat)
{
  ServerStatus server;
  server.incarnation = aHeartbeat.incarnation;
  server.slots = aHeartbeat.slots;
  const bool takesKeys =
    !m_exitAt && !m_presence.Left() && m_evacuation.TakesKeys();
  server.state = takesKeys ? ServerState::kReady : ServerState::kDraining;
  server.leaving = m_presence.Left();
  m_state.PublishServer(server);
}

bool
RangeServerTask::IsOwnServer(const ServerHeartbeat& aHeartbeat) const
{
  return aHeartbeat.address == m_settings.endpoint &&
         aHeartbeat.service == m_settings.service;
}

ServerLeave
RangeServerTask::LeaveOf(const ServerIncarnation& aIncarnation)
{
  return { aIncarnation.id, aIncarnation.startedAt };
}

std::optional<HeartbeatReply>
RangeServerTask::OnHeartbeat(const ServerHeartbeat& aHeartbeat)
{
  if (!IsOwnServer(aHeartbeat)) {
    return std::nullopt;
  }
  const auto& incarnation = aHeartbeat.incarnation;
  if (!m_state.Joined()) {
    if (aHeartbeat.state == ServerState::kDraining) {
      RememberLeave(LeaveOf(incarnation));
    }
    return HeartbeatReply{};
  }
  if (m_grants.IsStale(aHeartbeat)) {
    if (aHeartbeat.state == ServerState::kDraining) {
      OnLeave(LeaveOf(incarnation)); // The reply acknowledges it.
    }
    return HeartbeatReply{};
  }
  const auto now = m_clock.Now();
  EnsureGate(aHeartbeat.slots);
  NotePaceHeartbeat(aHeartbeat); // Before any request starts at a new server.
  bool leaves = false;
  if (m_grants.Incarnation() != incarnation) {
    m_logger.Info("server-started",
                  "server={} born={} slots={}",
                  incarnation.id.Value(),
                  incarnation.startedAt.time_since_epoch().count(),
                  aHeartbeat.slots);
    OnServerEndProven();
    CancelHealthCheck();
    m_presence.Begin(incarnation, now);
    leaves = m_presence.Left();
    m_serverSince = now;
    LimitRate(std::nullopt);
  }
  m_lastHeartbeat = now;
  m_silent = false;
  m_serverId = incarnation.id;
  auto heartbeat = aHeartbeat;
  if (heartbeat.state == ServerState::kDraining) {
    const auto effect = RememberLeave(LeaveOf(incarnation));
    leaves = leaves || effect == LeaveEffect::kLeaves;
  }
  if (leaves) {
    m_logger.Info("server-draining",
                  "server={} heard={}",
                  m_serverId->Value(),
                  m_presence.Proven());
  }
  if (m_presence.Left()) {
    heartbeat.state = ServerState::kDraining;
  }
  auto reply = m_grants.OnHeartbeat(
    heartbeat, RowsOf(incarnation), m_state.RemainingLease(), now);
  m_presence.OnHeartbeat(m_state.Rejoined(), now);
  PublishServerState(aHeartbeat);
  SendReleased(incarnation, m_grants.TakeRelinquished());
  RetryHeldCalls();
  m_healthChecks = 0;
  CheckHealth();
  return reply;
}

void
RangeServerTask::OnLeave(const ServerLeave& aLeave)
{
  const auto effect = RememberLeave(aLeave);
  if (effect == LeaveEffect::kLeaves) {
    ApplyServerLeave();
  }
  if (effect == LeaveEffect::kDoubts) {
    ProveServerAgain();
  }
}

LeaveEffect
RangeServerTask::RememberLeave(const ServerLeave& aLeave)
{
  return m_presence.OnLeave(aLeave, m_clock.Now(), m_clock.WallNow());
}

void
RangeServerTask::ApplyServerLeave()
{
  m_logger.Info("server-leaving",
                "server={} heard={}",
                m_serverId->Value(),
                m_presence.Proven());
  m_grants.RevokeAll();
  auto server = m_state.OwnRecord().server;
  if (server) {
    server->state = ServerState::kDraining;
    server->leaving = true;
    m_state.PublishServer(server);
  }
}

void
RangeServerTask::ProveServerAgain()
{
  m_logger.Info("server-doubted", "server={}", m_serverId->Value());
  auto server = m_state.OwnRecord().server;
  if (server && m_silent) {
    server->state = ServerState::kDraining;
    m_state.PublishServer(server);
  }
  m_healthChecks = 0;
  CancelHealthCheck();
  CheckHealth();
}

void
RangeServerTask::SendReleased(const ServerIncarnation& aIncarnation,
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
  if (m_onReleased) {
    m_onReleased(RangeRelease{ m_settings.service,
                               RangeHolder{ m_state.Self(), aIncarnation },
                               std::move(aRanges) });
  }
}

/** A return of the store may have undone releases, or lost them on their way.
 */
void
RangeServerTask::RepeatReleases()
{
  const auto& server = m_grants.Incarnation();
  const auto now = m_clock.Now();
  if (m_state.Returning() || m_returns == m_state.Returns() || !server ||
      now - m_releasesRepeatedAt < kRepeatInterval) {
    return;
  }
  m_releasesRepeatedAt = now;
  if (m_state.State().Table().settled) {
    m_returns = m_state.Returns();
  }
  SendReleased(*server, m_grants.RelinquishedAmong(RowsOf(*server)));
}

void
RangeServerTask::ApplyMoveOrders(const std::vector<MoveOrder>& aOrders)
{
  if (!m_grants.Incarnation()) {
    return;
  }
  for (const auto& order : aOrders) {
    const auto* to = m_state.State().FindHost(order.to);
    if (to == nullptr || !m_state.State().CanTakeKeys(*to)) {
      continue;
    }
    for (const auto& row : RowsOf(*m_grants.Incarnation())) {
      if (row.range.Contains(order.range)) {
        m_logger.Info("move-ordered",
                      "range={}-{} to={}",
                      order.range.first,
                      order.range.last,
                      order.to.Value());
        m_grants.Revoke(order.range,
                        row.fence,
                        RangeHolder{ to->host, to->server->incarnation });
      }
    }
  }
}

void
RangeServerTask::OnStateChanged()
{
  ReadCrashEvidence();
  const auto& known = m_state.OwnRecord().server;
  if (!m_serverId && m_state.Joined() && known) {
    // The backend server may have kept running while this daemon restarted.
    m_serverId = known->incarnation.id;
    m_serverSince = m_clock.Now();
    m_grants.Adopt(known->incarnation);
    EnsureGate(known->slots);
    m_presence.Begin(known->incarnation, m_clock.Now());
    if (known->leaving) {
      RememberLeave(LeaveOf(known->incarnation));
    }
    if (m_presence.Left()) {
      ApplyServerLeave();
    }
    PublishEvacuation();
    CheckHealth();
  }
  RetryHeldCalls();
}

void
RangeServerTask::OnTick()
{
  const auto now = m_clock.Now();
  RepeatReleases();
  m_pace.OnTick(now);
  UpdatePace();
  if (RefusesNewCalls(now) && m_gate && m_gate->QueuedCount() > 0) {
    ApplyGateActions(m_gate->RefuseQueued(RefusalReason::kDraining));
  }
  if (RefusesNewCalls(now)) {
    RefuseUploads(RefusalReason::kDraining);
  }
  EndEvacuationStarts(now);
  const bool silent = now - m_lastHeartbeat >= kHeartbeatSilence;
  if (!m_state.Joined() || !silent || !m_grants.HoldsExpired(now)) {
    return;
  }
  auto server = m_state.OwnRecord().server;
  if (!server || m_silent) {
    return;
  }
  m_silent = true;
  m_pace.OnSilent(now);
  m_logger.Warning(
    "server-silent",
    "server={} silent_ms={} heard={}",
    server->incarnation.id.Value(),
    std::chrono::duration_cast<milliseconds>(now - m_lastHeartbeat).count(),
    m_presence.Proven());
  // A silent server is still sent requests that any server can run, unless it
  // leaves or may have left.
  const bool usable =
    m_presence.Proven() && !m_presence.Left() && m_evacuation.TakesKeys();
  server->state = usable ? ServerState::kSilent : ServerState::kDraining;
  m_grants.RelinquishExpired(RowsOf(server->incarnation));
  m_state.PublishServer(server);
  SendReleased(server->incarnation, m_grants.TakeRelinquished());
}

std::optional<DaemonId>
RangeServerTask::HolderHint(const OwnerCall&) const
{
  return std::nullopt;
}

}
