#include "src/Daemon/MeshTask.h"

#include <algorithm>

#include "src/Daemon/Predecessor.h"

namespace pistachioshift {

MeshTask::MeshTask(event_base* aBase,
                   const Clock& aClock,
                   RandomEngine& aRandom,
                   LogService& aLog,
                   const Settings& aSettings,
                   BootId aBoot,
                   const Logger& aLogger,
                   Metrics& aMetrics)
  : m_clock(aClock)
  , m_random(aRandom)
  , m_settings(aSettings)
  , m_boot(aBoot)
  , m_kernelBoot(ReadKernelBootId())
  , m_logger(aLogger)
  , m_metrics(aMetrics)
  , m_datagrams(
      aBase,
      aSettings.place.inner,
      [this](const ControlDatagram& aDatagram) { OnDatagram(aDatagram); })
  , m_tick(aBase, [this] { OnTick(); })
{
  LogTaskOptions options;
  options.stream = StreamName(aSettings.log.ownershipStream);
  options.writer = aBoot;
  options.writesCheckpoints = true;
  options.checkpointInterval = aSettings.log.checkpointInterval;
  LogTaskHandlers handlers;
  handlers.record = [this](const LogRecord& aRecord) { OnRecord(aRecord); };
  handlers.saveState = [this] {
    return EncodeOwnershipSnapshot(View().Snapshot());
  };
  handlers.loadState = [this](const std::string& aState) { LoadState(aState); };
  handlers.caughtUp = [this] {
    m_caughtUp = true;
    TryJoin();
  };
  m_log = std::make_unique<LogTask>(aBase,
                                    aLog,
                                    aClock,
                                    RandomEngine(aRandom()),
                                    std::move(options),
                                    std::move(handlers));
}

void
MeshTask::Start(MeshListener& aListener)
{
  m_listener = &aListener;
  m_log->Start();
  m_tick.StartEvery(m_nodeSettings.tickInterval);
}

void
MeshTask::SetServerReady()
{
  m_serverReady = true;
  TryJoin();
}

DaemonId
MeshTask::Self() const
{
  return m_node ? m_node->Self() : DaemonId();
}

const OwnershipView&
MeshTask::View() const
{
  return m_node ? m_node->View() : m_view;
}

std::optional<FenceToken>
MeshTask::MayServe(const EntryKey& aKey) const
{
  return m_node ? m_node->MayServe(aKey, m_clock.Now()) : std::nullopt;
}

std::optional<Rank>
MeshTask::RankOf(const EntryKey& aKey) const
{
  const auto* chain = View().FindChain(aKey);
  if (!m_node || chain == nullptr) {
    return std::nullopt;
  }
  return chain->Current().RankOf(m_node->Self());
}

std::vector<Candidate>
MeshTask::Route(const EntryKey& aKey) const
{
  std::vector<Candidate> candidates;
  for (const auto daemon : View().Route(aKey)) {
    const auto* member = View().FindMember(daemon);
    if (member != nullptr) {
      candidates.push_back(Candidate{ daemon, member->join.inner });
    }
  }
  return candidates;
}

std::vector<Candidate>
MeshTask::Instances(const ServiceName& aService) const
{
  std::vector<Candidate> candidates;
  for (const auto& [daemon, member] : View().Members()) {
    const auto& services = member.join.services;
    const bool offers =
      std::find(services.begin(), services.end(), aService) != services.end();
    if (offers && !member.leaving) {
      candidates.push_back(Candidate{ daemon, member.join.inner });
    }
  }
  return candidates;
}

void
MeshTask::OnEntryIdle(const EntryKey& aKey)
{
  if (m_node) {
    m_node->OnEntryIdle(aKey, m_clock.Now());
    Execute();
  }
}

void
MeshTask::SetDocumentApplied(Offset aOffset)
{
  m_documentApplied = aOffset;
  if (m_node) {
    m_node->SetDocumentApplied(aOffset);
  }
}

void
MeshTask::SetFenceWaits(std::map<ServiceName, Duration> aWaits)
{
  m_fenceWaits = std::move(aWaits);
  if (m_node) {
    m_node->SetFenceWaits(m_fenceWaits);
  }
}

void
MeshTask::BeginLeave()
{
  m_leaving = true;
  if (m_node) {
    m_node->BeginLeave(m_clock.Now());
    Execute();
  }
}

bool
MeshTask::Left() const
{
  return !m_node || m_node->Left();
}

void
MeshTask::Append(const OwnershipRecord& aRecord)
{
  m_log->Submit(EncodeOwnershipRecord(aRecord),
                [](const RecordId&, const SubmitResult&) {});
}

void
MeshTask::OnRecord(const LogRecord& aRecord)
{
  OwnershipRecord record;
  try {
    record = DecodeOwnershipRecord(aRecord.body);
  } catch (const InnerError&) {
    m_metrics.CountRecord("ownership", "malformed");
    return;
  }
  Verdict verdict;
  if (m_node) {
    verdict = m_node->OnRecord(aRecord.offset, record, m_clock.Now());
  } else {
    verdict = m_view.Apply(aRecord.offset, record);
  }
  m_metrics.CountRecord("ownership", ToString(verdict.refusal));
  if (m_joinId && aRecord.id == *m_joinId) {
    m_joinId.reset();
    if (verdict.Accepted()) {
      OnJoined(DaemonId(aRecord.offset.Value()));
    } else {
      TryJoin();
    }
  }
  Execute();
}

void
MeshTask::LoadState(const std::string& aState)
{
  const auto snapshot = DecodeOwnershipSnapshot(aState);
  if (m_node) {
    m_logger.Warning("checkpoint-jump",
                     "from={} to={}",
                     View().Applied().Value(),
                     snapshot.applied.Value());
    EndIncarnation();
  }
  m_view = OwnershipView::FromSnapshot(snapshot);
  FindOwnJoin();
  TryJoin();
}

void
MeshTask::FindOwnJoin()
{
  if (!m_joinId) {
    return;
  }
  for (const auto& [daemon, member] : m_view.Members()) {
    if (member.join.boot == m_boot && daemon != m_previousIncarnation) {
      m_joinId.reset();
      OnJoined(daemon);
      return;
    }
  }
}

void
MeshTask::OnDatagram(const ControlDatagram& aDatagram)
{
  if (!m_node || aDatagram.addressee != m_node->Self()) {
    m_metrics.CountControlRefusal("other-incarnation");
    return;
  }
  m_node->OnMessage(aDatagram.sender, aDatagram.message, m_clock.Now());
  Execute();
}

void
MeshTask::OnTick()
{
  if (m_node) {
    m_node->OnTick(m_clock.Now());
    Execute();
  } else {
    TryJoin();
  }
}

JoinRecord
MeshTask::MakeJoin() const
{
  JoinRecord join;
  join.boot = m_boot;
  join.previous = m_previousIncarnation;
  join.inner = m_settings.place.inner;
  join.callers = m_settings.place.callers;
  join.server = m_settings.server.endpoint;
  join.host = m_settings.place.host;
  join.zone = m_settings.place.zone;
  join.region = m_settings.place.region;
  join.services = m_settings.server.services;
  join.slots = m_settings.server.slots;
  join.checksFences = m_settings.server.checksFences;
  join.kernelBoot = m_kernelBoot;
  if (!join.previous) {
    join.previous = FindPredecessor(m_view, join);
  }
  return join;
}

void
MeshTask::TryJoin()
{
  const bool ready = m_serverReady && m_caughtUp && !m_leaving;
  if (!ready || m_node || m_joinId) {
    return;
  }
  // A join record that names a previous incarnation certifies the end of that
  // incarnation. If the backend server does not check fences, this includes the
  // requests already forwarded to it, so the join waits until they have ended.
  const bool checksFences = m_settings.server.checksFences;
  if (m_previousIncarnation && !checksFences && !m_listener->EntriesIdle()) {
    return;
  }
  m_joinId = m_log->Submit(EncodeOwnershipRecord(MakeJoin()),
                           [](const RecordId&, const SubmitResult&) {});
}

void
MeshTask::OnJoined(DaemonId aSelf)
{
  m_node.emplace(aSelf,
                 std::move(m_view),
                 m_nodeSettings,
                 RandomEngine(m_random()),
                 m_clock.Now());
  m_view = OwnershipView();
  m_node->SetDocumentApplied(m_documentApplied);
  m_node->SetFenceWaits(m_fenceWaits);
  m_logger.Info("joined", "daemon={}", aSelf.Value());
}

void
MeshTask::EndIncarnation()
{
  m_previousIncarnation = m_node->Self();
  m_view = m_node->View();
  m_node.reset();
  m_logger.Warning(
    "incarnation-ended", "daemon={}", m_previousIncarnation->Value());
  m_listener->OnIncarnationEnded();
}

void
MeshTask::Execute()
{
  while (m_node) {
    const auto effects = m_node->TakeEffects();
    if (effects.empty()) {
      break;
    }
    for (const auto& effect : effects) {
      std::visit([this](const auto& aEffect) { Execute(aEffect); }, effect);
    }
  }
  if (m_rejoinNeeded) {
    m_rejoinNeeded = false;
    EndIncarnation();
    TryJoin();
  }
}

void
MeshTask::Execute(const SendMessage& aEffect)
{
  const auto* member = View().FindMember(aEffect.to);
  if (member != nullptr) {
    m_datagrams.Send(member->join.inner,
                     ControlDatagram{ Self(), aEffect.to, aEffect.message });
  }
}

void
MeshTask::Execute(const AppendRecord& aEffect)
{
  Append(aEffect.record);
}

void
MeshTask::Execute(const EntryStarted& aEffect)
{
  m_metrics.CountEntryChange("started");
  m_listener->OnEntryStarted(aEffect);
}

void
MeshTask::Execute(const EntryStopping& aEffect)
{
  m_metrics.CountEntryChange("stopping");
  m_listener->OnEntryStopping(aEffect);
}

void
MeshTask::Execute(const RejoinNeeded&)
{
  m_rejoinNeeded = true;
}

}
