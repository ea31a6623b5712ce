#include "src/Daemon/PeersTask.h"

#include "src/Daemon/Peer.h"

namespace pistachioshift {

PeersTask::PeersTask(event_base* aBase,
                     const Clock& aClock,
                     BootId aBoot,
                     const Logger& aLogger,
                     Metrics& aMetrics,
                     const ConnectionSettings& aSettings)
  : m_base(aBase)
  , m_clock(aClock)
  , m_boot(aBoot)
  , m_logger(aLogger)
  , m_metrics(aMetrics)
  , m_settings(aSettings)
  , m_failTimer(aBase, [this] { FailUnreachable(); })
{
}

PeersTask::~PeersTask() = default;

void
PeersTask::SetCompression(std::function<bool(const Endpoint&)> aIsCompressed,
                          std::shared_ptr<FrameByteTotals> aTotals)
{
  m_isCompressed = std::move(aIsCompressed);
  m_settings.byteTotals = std::move(aTotals);
}

std::shared_ptr<Peer>
PeersTask::Find(const Endpoint& aPeer)
{
  auto& peer = m_peers[aPeer];
  if (!peer) {
    peer = std::make_shared<Peer>(*this, aPeer);
  }
  return peer;
}

std::shared_ptr<Call>
PeersTask::Start(const Endpoint& aPeer,
                 const CallRequest& aRequest,
                 std::shared_ptr<CallListener> aListener)
{
  const auto peer = Find(aPeer);
  if (peer->IsUnreachable()) {
    const auto call = std::make_shared<RemoteCall>(std::weak_ptr<PeerLink>(),
                                                   std::move(aListener));
    m_unreachable.push_back(call);
    m_failTimer.StartOnce(Duration::zero());
    return call;
  }
  auto& link = peer->Link();
  const auto call =
    std::make_shared<RemoteCall>(link.weak_from_this(), std::move(aListener));
  call->Open(aRequest, m_clock.Now());
  return call;
}

void
PeersTask::FailUnreachable()
{
  for (const auto& call : std::exchange(m_unreachable, {})) {
    call->OnLinkEnded(CloseReason::kConnectFailed);
  }
}

void
PeersTask::QueryOutcome(const Endpoint& aPeer,
                        const RequestId& aRequest,
                        TablePosition aKnown,
                        OutcomeCallback aCallback)
{
  const auto peer = Find(aPeer);
  const auto link = peer->NewQueryLink();
  const QueryId query(1);
  link->AddQuery(
    query, aRequest, peer->FindLostRequest(aRequest), std::move(aCallback));
  link->Send(OutcomeQuery{ query, aRequest, aKnown });
}

void
PeersTask::QueryRecords(const Endpoint& aPeer,
                        const RecordsQuery& aQuery,
                        RecordsCallback aCallback)
{
  const auto link = Find(aPeer)->NewQueryLink();
  link->AddRecordsQuery(std::move(aCallback));
  link->Send(aQuery);
}

void
PeersTask::QueryState(const Endpoint& aPeer,
                      const StateQuery& aQuery,
                      StateCallback aCallback)
{
  const auto link = Find(aPeer)->NewQueryLink();
  link->AddStateQuery(std::move(aCallback));
  link->Send(aQuery);
}

void
PeersTask::SendUpdate(const Endpoint& aPeer, const StateReply& aUpdate)
{
  Find(aPeer)->Link().Send(aUpdate);
}

void
PeersTask::SendConfiguration(const Endpoint& aPeer,
                             const ConfigurationUpdate& aUpdate)
{
  Find(aPeer)->Link().Send(aUpdate);
}

void
PeersTask::SendRelease(const Endpoint& aPeer, const RangeRelease& aRelease)
{
  Find(aPeer)->Link().Send(aRelease);
}

void
PeersTask::Report(const Endpoint& aPeer,
                  const HostReport& aReport,
                  OrdersCallback aCallback)
{
  auto& link = Find(aPeer)->Link();
  link.SetOrdersCallback(std::move(aCallback));
  link.Send(aReport);
}

void
PeersTask::SendLoad(const Endpoint& aPeer, const LoadReport& aReport)
{
  Find(aPeer)->Link().Send(aReport);
}

TablePosition
PeersTask::KnownPosition(const Endpoint& aPeer) const
{
  const auto found = m_peers.find(aPeer);
  return found == m_peers.end() ? TablePosition()
                                : found->second->KnownPosition();
}

bool
PeersTask::HasRecentFailure(const Endpoint& aPeer) const
{
  const auto found = m_peers.find(aPeer);
  return found != m_peers.end() && found->second->HasRecentFailure();
}

size_t
PeersTask::Connections() const
{
  size_t connections = 0;
  for (const auto& [endpoint, peer] : m_peers) {
    connections += peer->Connected() ? 1 : 0;
  }
  return connections;
}

}
