#include "src/Daemon/RelayTask.h"

#include <iterator>

namespace pistachioshift {

namespace {

constexpr Duration kRelayInterval = std::chrono::milliseconds(500);
constexpr size_t kMaxReplyBytes = size_t{ 512 } * 1024;

}

RelayTask::RelayTask(event_base* aBase,
                     RandomEngine& aRandom,
                     MeshTask& aMesh,
                     DocumentTask& aDocument,
                     PeersTask& aPeers,
                     const Settings& aSettings)
  : m_random(aRandom)
  , m_mesh(aMesh)
  , m_document(aDocument)
  , m_peers(aPeers)
  , m_settings(aSettings)
  , m_timer(aBase, [this] { OnTick(); })
{
}

void
RelayTask::Start()
{
  m_timer.StartEvery(kRelayInterval);
}

LogTask*
RelayTask::FindLog(const StreamName& aStream)
{
  if (aStream.Value() == m_settings.log.ownershipStream) {
    return &m_mesh.Log();
  }
  if (aStream.Value() == m_settings.log.documentStream) {
    return &m_document.Log();
  }
  return nullptr;
}

RecordsReply
RelayTask::Answer(const RecordsQuery& aQuery)
{
  RecordsReply reply;
  reply.stream = aQuery.stream;
  const auto* log = FindLog(aQuery.stream);
  if (log != nullptr) {
    reply.entries = log->RecordsFrom(aQuery.from, kMaxReplyBytes);
  }
  return reply;
}

void
RelayTask::OnTick()
{
  const auto* node = m_mesh.FindNode();
  if (node == nullptr) {
    return;
  }
  const auto highest = node->HighestPeerOffsets();
  FetchMissing(m_mesh.Log(), m_settings.log.ownershipStream, highest.ownership);
  FetchMissing(
    m_document.Log(), m_settings.log.documentStream, highest.document);
}

void
RelayTask::FetchMissing(LogTask& aLog,
                        const std::string& aStream,
                        Offset aHighest)
{
  if (aLog.Connected() || aHighest <= aLog.Applied()) {
    return;
  }
  const auto& members = m_mesh.View().Members();
  std::uniform_int_distribution<size_t> pick(0, members.size() - 1);
  const auto member =
    std::next(members.begin(), static_cast<ptrdiff_t>(pick(m_random)));
  if (member->first == m_mesh.Self()) {
    return;
  }
  const RecordsQuery query{ StreamName(aStream),
                            Offset(aLog.Applied().Value() + 1) };
  m_peers.QueryRecords(
    member->second.join.inner, query, [this](const RecordsReply& aReply) {
      auto* log = FindLog(aReply.stream);
      if (log != nullptr) {
        log->ApplyPeerEntries(aReply.entries);
      }
    });
}

}
