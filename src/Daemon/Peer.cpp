#include "src/Daemon/Peer.h"

#include <algorithm>
#include <utility>

namespace pistachioshift {

namespace {

/** Time after a failed connection for which other daemons are preferred. */
constexpr Duration kFailureRetention = std::chrono::milliseconds(1000);

/** Interval of connection attempts for requests to a peer that cannot be
 * reached. */
constexpr Duration kReconnectInterval = std::chrono::milliseconds(400);

/** Requests whose process is remembered for a query of their outcome. */
constexpr size_t kMaxLostRequests = 4096;

}

Peer::Peer(PeersTask& aTask, Endpoint aEndpoint)
  : m_task(aTask)
  , m_endpoint(std::move(aEndpoint))
{
}

PeerLink&
Peer::Link()
{
  if (!Connected()) {
    m_link = std::make_shared<PeerLink>(*this);
    m_link->Connect(m_task.m_base, m_task.m_clock, m_endpoint, MakeHello());
  }
  return *m_link;
}

std::shared_ptr<PeerLink>
Peer::NewQueryLink()
{
  auto link = std::make_shared<PeerLink>(*this);
  m_queryLinks.push_back(link);
  link->Connect(m_task.m_base, m_task.m_clock, m_endpoint, MakeHello());
  return link;
}

Hello
Peer::MakeHello() const
{
  const auto& isCompressed = m_task.m_isCompressed;
  const bool compressed = isCompressed && isCompressed(m_endpoint);
  return Hello{ m_task.m_boot,
                Hello::kProtocol,
                DaemonId(),
                TablePosition(),
                compressed ? kDeflateBlocks : 0 };
}

const ConnectionSettings&
Peer::Settings() const
{
  return m_task.m_settings;
}

bool
Peer::HasRecentFailure() const
{
  return m_failedAt != MonoTime() &&
         m_task.m_clock.Now() - m_failedAt < kFailureRetention;
}

bool
Peer::IsUnreachable() const
{
  if (!m_connectFailed) {
    return false;
  }
  const bool connecting = Connected() && !m_link->Transport().Connected();
  return connecting || (!Connected() &&
                        m_task.m_clock.Now() - m_failedAt < kReconnectInterval);
}

void
Peer::OnHello(const Hello& aHello)
{
  m_connectFailed = false;
  // Replaces a larger one: positions of an earlier process are invalid for this
  // one, and a process may have the boot id of the one before.
  m_knownPosition = aHello.position;
  m_failedAt = MonoTime();
}

void
Peer::OnPosition(TablePosition aPosition)
{
  m_knownPosition = std::max(m_knownPosition, aPosition);
}

void
Peer::OnLinkEnded(const PeerLink& aLink, CloseReason aEnd)
{
  std::erase_if(m_queryLinks,
                [&](const auto& aItem) { return aItem.get() == &aLink; });
  if (m_link.get() == &aLink) {
    m_link.reset(); // Closes the socket, for which a stopping peer waits.
  }
  if (aEnd == CloseReason::kLocal) {
    return;
  }
  m_connectFailed = m_connectFailed || aEnd == CloseReason::kConnectFailed;
  m_task.m_metrics.CountConnectionEnd(ToString(aEnd));
  if (aLink.Calls() > 0) {
    const auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(
      aLink.Transport().SilentFor());
    m_task.m_logger.Info("peer-lost",
                         "peer={}:{} reason={} calls={} silent_ms={} unsent={}",
                         m_endpoint.address,
                         m_endpoint.port,
                         ToString(aEnd),
                         aLink.Calls(),
                         silent.count(),
                         aLink.Transport().BufferedBytes());
  }
  m_failedAt = m_task.m_clock.Now();
}

const Clock&
Peer::GetClock() const
{
  return m_task.m_clock;
}

void
Peer::AddLostRequest(const RequestId& aRequest, const SentRequest& aSent)
{
  if (!m_lost.emplace(aRequest, aSent).second) {
    return;
  }
  m_lostRequests.push_back(aRequest);
  if (m_lostRequests.size() > kMaxLostRequests) {
    m_lost.erase(m_lostRequests.front());
    m_lostRequests.pop_front();
  }
}

std::optional<SentRequest>
Peer::FindLostRequest(const RequestId& aRequest) const
{
  const auto found = m_lost.find(aRequest);
  return found == m_lost.end() ? std::nullopt : std::optional(found->second);
}

void
Peer::OnOutcome(const RequestId& aRequest, const OutcomeEvidence& aEvidence)
{
  const auto milliseconds = [](const std::optional<Duration>& aTime) {
    return aTime ? std::chrono::duration_cast<std::chrono::milliseconds>(*aTime)
                     .count()
                 : int64_t{ -1 };
  };
  m_task.m_metrics.CountOutcomeReply(ToString(aEvidence.stated),
                                     ToString(aEvidence.taken));
  m_task.m_logger.Info("outcome-reply",
                       "peer={}:{} request={:016x}-{:016x} stated={} taken={} "
                       "same_boot={} peer_uptime_ms={} age_ms={}",
                       m_endpoint.address,
                       m_endpoint.port,
                       aRequest.high,
                       aRequest.low,
                       ToString(aEvidence.stated),
                       ToString(aEvidence.taken),
                       aEvidence.sameBoot,
                       milliseconds(aEvidence.uptime),
                       milliseconds(aEvidence.age));
  if (aEvidence.sameBoot && aEvidence.uptime && !aEvidence.IsSameProcess()) {
    m_task.m_logger.Warning("reply-of-later-process",
                            "peer={}:{} request={:016x}-{:016x}",
                            m_endpoint.address,
                            m_endpoint.port,
                            aRequest.high,
                            aRequest.low);
  }
}

void
Peer::OnError(std::string_view aProblem)
{
  m_task.m_logger.Error("peer-frame-failed",
                        "peer={}:{} problem=\"{}\"",
                        m_endpoint.address,
                        m_endpoint.port,
                        aProblem);
}

void
Peer::OnGoodbye(size_t aCalls)
{
  m_failedAt = m_task.m_clock.Now();
  m_task.m_logger.Info("peer-stops",
                       "peer={}:{} not_run={}",
                       m_endpoint.address,
                       m_endpoint.port,
                       aCalls);
}

void
PeerLink::Connect(event_base* aBase,
                  const Clock& aClock,
                  const Endpoint& aEndpoint,
                  const Hello& aHello)
{
  m_connection = Connection::Connect(
    aBase, aClock, aEndpoint, m_peer.Settings(), weak_from_this());
  m_connection->Send(aHello);
}

StreamId
PeerLink::Add(const std::shared_ptr<RemoteCall>& aCall)
{
  const StreamId stream(++m_lastStream);
  m_calls.emplace(stream, aCall);
  UpdateBusy();
  return stream;
}

void
PeerLink::Remove(StreamId aStream)
{
  m_calls.erase(aStream);
  UpdateBusy();
}

void
PeerLink::AddQuery(QueryId aQuery,
                   const RequestId& aRequest,
                   std::optional<SentRequest> aSent,
                   PeersTask::OutcomeCallback aCallback)
{
  m_queries.emplace(aQuery,
                    PendingQuery{ aRequest, aSent, std::move(aCallback) });
  UpdateBusy();
}

void
PeerLink::AddRecordsQuery(PeersTask::RecordsCallback aCallback)
{
  m_recordsQueries.push_back(std::move(aCallback));
  UpdateBusy();
}

void
PeerLink::AddStateQuery(PeersTask::StateCallback aCallback)
{
  m_onState = std::move(aCallback);
  UpdateBusy();
}

bool
PeerLink::IsIdle() const
{
  return m_calls.empty() && m_queries.empty() && m_recordsQueries.empty() &&
         !m_onState;
}

void
PeerLink::UpdateBusy()
{
  m_connection->SetHeartbeatsEnabled(!IsIdle());
}

void
PeerLink::OnFrame(Connection&, Frame aFrame)
{
  const auto self = shared_from_this();
  const auto toCall = [&](const auto& aItem) {
    const auto found = m_calls.find(aItem.stream);
    if (found != m_calls.end()) {
      const auto call = found->second;
      call->OnFrame(aItem);
    }
  };
  if (const auto* body = std::get_if<BodyChunk>(&aFrame)) {
    toCall(*body);
  } else if (const auto* open = std::get_if<ResponseOpen>(&aFrame)) {
    toCall(*open);
  } else if (const auto* credit = std::get_if<Credit>(&aFrame)) {
    toCall(*credit);
  } else if (const auto* refused = std::get_if<Refused>(&aFrame)) {
    toCall(*refused);
  } else if (const auto* pong = std::get_if<Pong>(&aFrame)) {
    m_peer.OnPosition(pong->position);
  } else if (const auto* hello = std::get_if<Hello>(&aFrame)) {
    m_boot = hello->boot;
    if (hello->uptime) {
      m_latestStart = m_peer.GetClock().Now() - *hello->uptime;
    }
    m_peer.OnHello(*hello);
  } else if (std::holds_alternative<Goodbye>(aFrame)) {
    OnGoodbye();
  } else if (const auto* reply = std::get_if<OutcomeReply>(&aFrame)) {
    OnOutcome(*reply);
  } else if (const auto* records = std::get_if<RecordsReply>(&aFrame)) {
    const auto callbacks = std::move(m_recordsQueries);
    m_recordsQueries.clear();
    for (const auto& callback : callbacks) {
      callback(*records);
    }
    Close();
  } else if (const auto* orders = std::get_if<HostOrders>(&aFrame)) {
    if (const auto callback = std::exchange(m_onOrders, {})) {
      callback(*orders);
    }
  } else if (const auto* state = std::get_if<StateReply>(&aFrame)) {
    if (const auto callback = std::exchange(m_onState, {})) {
      callback(*state);
    }
    Close();
  }
}

void
PeerLink::OnGoodbye()
{
  m_peerLeft = true;
  const auto calls = std::exchange(m_calls, {});
  m_peer.OnGoodbye(calls.size());
  UpdateBusy();
  for (const auto& [stream, call] : calls) {
    call->OnGoodbye();
  }
  if (IsIdle()) {
    Close();
  }
}

void
PeerLink::OnOutcome(const OutcomeReply& aReply)
{
  auto query = m_queries.extract(aReply.query);
  if (query.empty()) {
    return;
  }
  const auto& sent = query.mapped().sent;
  const auto now = m_peer.GetClock().Now();
  auto result = aReply.result;
  OutcomeEvidence evidence;
  evidence.stated = result.state;
  evidence.sameBoot = sent && sent->boot == m_boot;
  if (m_latestStart) {
    evidence.uptime = now - *m_latestStart;
  }
  if (sent) {
    evidence.age = now - sent->openedAt;
  }
  if (result.state == RequestState::kNeverSeen && !evidence.IsSameProcess()) {
    result.state = RequestState::kForgotten;
  }
  evidence.taken = result.state;
  m_peer.OnOutcome(query.mapped().request, evidence);
  query.mapped().callback(result);
  Close();
}

void
PeerLink::OnDrained(Connection&)
{
}

void
PeerLink::OnError(Connection&, std::string_view aProblem)
{
  m_peer.OnError(aProblem);
}

void
PeerLink::OnClosed(Connection&, CloseReason aEnd)
{
  const auto self = shared_from_this();
  m_peer.OnLinkEnded(*this, aEnd);
  const auto calls = std::move(m_calls);
  m_calls.clear();
  const auto queries = std::move(m_queries);
  m_queries.clear();
  m_recordsQueries.clear();
  for (const auto& [stream, call] : calls) {
    if (!call->AnswerComplete() && m_boot) {
      m_peer.AddLostRequest(call->Request(), { *m_boot, call->OpenedAt() });
    }
    call->OnLinkEnded(aEnd);
  }
  for (const auto& [id, query] : queries) {
    query.callback(OutcomeQueryResult());
  }
}

}
