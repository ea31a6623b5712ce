#include "src/HostDaemon/StateTask.h"

#include <algorithm>
#include <utility>

namespace pistachioshift {

namespace {

/** Records kept for peers: several for each host of a large mesh. Also limits
 * the records that are buffered out of order. */
constexpr size_t kMaxRecentEntries = 2048;

/** Bytes of the kept records, which may contain whole tables. */
constexpr size_t kMaxRecentBytes = size_t{ 1024 } * 1024;

/** Minimum time between two repairs of this host's record in the store. */
constexpr Duration kRewriteInterval = std::chrono::milliseconds(1000);

/** Peers' reads that are remembered until this host has caught up with them. */
constexpr size_t kMaxPeerSyncs = 8;

size_t
SizeOf(const StoreEntry& aEntry)
{
  return aEntry.key.size() + (aEntry.value ? aEntry.value->size() : 0);
}

}

StateTaskBase::StateTaskBase(const Clock& aClock,
                             const Logger& aLogger,
                             HostRecord aSelf)
  : m_clock(aClock)
  , m_logger(aLogger)
  , m_self(std::move(aSelf))
{
}

Duration
StateTaskBase::RemainingLease() const
{
  const auto& lease = m_earlier ? m_earlier->lease : m_lease;
  return Joined() ? lease.Remaining(m_clock.Now()) : Duration{};
}

bool
StateTaskBase::ApplyPeerUpdate(const std::vector<StoreEntry>& aEntries,
                               const StorePosition& aNext)
{
  if (aNext <= End()) {
    return true;
  }
  if (m_hasRead && aNext.era > m_era) {
    ReadLaterEra();
    return false;
  }
  if (m_end == 0 || aEntries.empty()) {
    ReadMissing();
    return false;
  }
  if (aEntries.front().offset > m_end) {
    // The missing records usually arrive shortly from the daemon that wrote
    // them.
    BufferEntries(aEntries);
    ReadMissingLater();
    return false;
  }
  ApplyEntries(aEntries, aNext.offset);
  ApplyBuffered();
  NotifyListeners();
  WritePending();
  return true;
}

void
StateTaskBase::BufferEntries(const std::vector<StoreEntry>& aEntries)
{
  for (const auto& entry : aEntries) {
    if (m_outOfOrder.size() < kMaxRecentEntries) {
      m_outOfOrder.try_emplace(entry.offset, entry);
    }
  }
}

void
StateTaskBase::ApplyBuffered()
{
  std::vector<StoreEntry> entries;
  auto next = m_end;
  for (auto& [offset, entry] : m_outOfOrder) {
    if (offset == next) {
      entries.push_back(std::move(entry));
      ++next;
    }
  }
  m_outOfOrder.erase(m_outOfOrder.begin(), m_outOfOrder.lower_bound(next));
  ApplyEntries(entries, next);
}

void
StateTaskBase::RenewLeaseFromPeer(MonoTime aSyncedAt, const StorePosition& aEnd)
{
  if (aEnd.era != m_era) {
    return;
  }
  if (aEnd.offset <= m_end) {
    RenewLease(aSyncedAt);
    return;
  }
  auto& syncedAt =
    m_peerSyncs.try_emplace(aEnd.offset, aSyncedAt).first->second;
  syncedAt = std::max(syncedAt, aSyncedAt);
  if (m_peerSyncs.size() > kMaxPeerSyncs) {
    m_peerSyncs.erase(m_peerSyncs.begin());
  }
}

void
StateTaskBase::RenewLeaseFromKnownSyncs()
{
  while (!m_peerSyncs.empty() && m_peerSyncs.begin()->first <= m_end) {
    RenewLease(m_peerSyncs.begin()->second);
    m_peerSyncs.erase(m_peerSyncs.begin());
  }
}

std::optional<StateUpdate>
StateTaskBase::UpdateFrom(const StorePosition& aFrom) const
{
  const auto from = aFrom.offset;
  const bool kept =
    from >= m_end || (!m_recent.empty() && m_recent.front().offset <= from);
  if (m_end == 0 || aFrom.era != m_era || !kept) {
    return std::nullopt;
  }
  StateUpdate update;
  update.next = End();
  for (const auto& entry : m_recent) {
    if (entry.offset >= from) {
      update.entries.push_back(entry);
    }
  }
  return update;
}

StateUpdate
StateTaskBase::Snapshot() const
{
  StateUpdate update;
  update.next = End();
  for (const auto& [name, host] : m_state.Hosts()) {
    update.entries.push_back(EncodeHost(host));
  }
  if (!m_state.Table().services.empty()) {
    update.entries.push_back(EncodeTable(m_state.Table()));
  }
  return update;
}

void
StateTaskBase::RenewLease(MonoTime aSentAt)
{
  m_lastSyncedAt = std::max(m_lastSyncedAt, aSentAt);
  if (!m_state.Suspected(m_self.host)) {
    m_lease.Renew(aSentAt);
  }
}

void
StateTaskBase::ApplyEntry(const StoreEntry& aEntry)
{
  const bool isTable = IsTable(aEntry);
  const auto before = isTable ? m_state.Table() : RangeTable();
  try {
    m_state.Apply(aEntry);
    m_tableOutdated = m_tableOutdated && !isTable;
  } catch (const MissingBaseError&) {
    throw;
  } catch (const OutdatedTableError&) {
    m_logger.Warning("table-outdated", "offset={}", aEntry.offset);
    m_tableOutdated = true;
  } catch (const RangesError& error) {
    m_logger.Warning("record-skipped",
                     "offset={} key={} problem=\"{}\"",
                     aEntry.offset,
                     aEntry.key,
                     error.what());
  }
  m_recent.push_back(aEntry);
  m_recentBytes += SizeOf(aEntry);
  // Peers already have the previous revision of the table, so the difference is
  // enough for them.
  const auto change =
    isTable ? DiffTables(before, m_state.Table()) : std::nullopt;
  if (change && change->revision == change->base + 1) {
    m_recentBytes -= SizeOf(m_recent.back());
    m_recent.back() = EncodeChange(*change);
    m_recent.back().offset = aEntry.offset;
    m_recentBytes += SizeOf(m_recent.back());
  }
  while (m_recent.size() > kMaxRecentEntries ||
         m_recentBytes > kMaxRecentBytes) {
    m_recentBytes -= SizeOf(m_recent.front());
    m_recent.pop_front();
  }
}

void
StateTaskBase::ApplyEntries(const std::vector<StoreEntry>& aEntries,
                            int64_t aNext)
{
  for (const auto& entry : aEntries) {
    if (entry.offset < m_end) {
      continue;
    }
    try {
      ApplyEntry(entry);
    } catch (const MissingBaseError& gap) {
      m_logger.Warning("change-without-base",
                       "offset={} revision={} problem=\"{}\"",
                       entry.offset,
                       m_state.Table().revision,
                       gap.what());
      aNext = entry.offset;
      ReadMissing();
      break;
    }
  }
  m_end = std::max(m_end, aNext);
  RenewLeaseFromKnownSyncs();
  const auto* suspicion = m_state.Table().FindSuspicion(m_self.host);
  if (suspicion != nullptr && suspicion->number > m_self.refutedUpTo) {
    m_logger.Warning("suspicion-refuted", "number={}", suspicion->number);
    m_self.refutedUpTo = suspicion->number;
    m_recordDirty = true;
  }
  const bool removed =
    m_joined && m_writtenEnd > 0 && m_state.FindHost(m_self.host) == nullptr;
  if (removed && !m_recordDirty) {
    m_logger.Warning("host-removed", "offset={} rejoins=true", aNext);
    m_recordDirty = true;
  }
  DropConfirmedClaims();
  CheckOwnRecord();
}

void
StateTaskBase::BeginEra(StoreEra aEra)
{
  const auto now = m_clock.Now();
  const auto hostsVersion = m_state.HostsVersion() + 1;
  const auto lost = End();
  if (Joined() && !m_earlier) {
    m_earlier = EarlierState{ std::move(m_state), m_lease };
  }
  // Without a lease, others may have taken the ranges over.
  const bool claims = RemainingLease() > Duration{} && m_claimSource;
  m_self.claims = claims ? m_claimSource() : std::vector<ClaimedRange>{};
  m_self.era = aEra;
  m_recordDirty = m_joined;
  m_logger.Warning(
    "store-returned",
    "era={} before={} position={} claims={} lease_ms={} edits={}",
    aEra.Value(),
    lost.era.Value(),
    lost.offset,
    m_self.claims.size(),
    std::chrono::duration_cast<std::chrono::milliseconds>(RemainingLease())
      .count(),
    m_edits.size() + m_draftEdits.size());
  m_state = MeshState(aEra, true, hostsVersion);
  m_era = aEra;
  m_eraSince = now;
  ++m_returns;
  m_end = 0;
  m_joinOffset = 0;
  m_writtenEnd = 0;
  m_lease = Lease();
  m_writing = false;
  m_tableOutdated = false;
  m_recent.clear();
  m_recentBytes = 0;
  m_outOfOrder.clear();
  m_peerSyncs.clear();
  // Who submitted an edit does it again if it is still due.
  m_edits.clear();
  m_draftEdits.clear();
}

void
StateTaskBase::CheckReturn(Duration aMaxSettleTime)
{
  if (!m_earlier) {
    return;
  }
  const auto now = m_clock.Now();
  const bool written = m_writtenEnd > 0 && m_end >= m_writtenEnd;
  const bool confirmed =
    written && AreConfirmed(m_state.Table(), m_self.service, m_self.claims);
  const bool settled =
    m_state.Table().settled || now - m_eraSince >= aMaxSettleTime;
  const bool expired = m_earlier->lease.Remaining(now) <= Duration{};
  if (!expired && !(confirmed && settled)) {
    return;
  }
  m_logger.Info(
    "store-return-ended",
    "era={} confirmed={} settled={} after_ms={}",
    m_era.Value(),
    confirmed,
    m_state.Table().settled,
    std::chrono::duration_cast<std::chrono::milliseconds>(now - m_eraSince)
      .count());
  m_earlier.reset();
  DropConfirmedClaims();
}

void
StateTaskBase::DropConfirmedClaims()
{
  if (!m_earlier && !m_self.claims.empty() &&
      AreConfirmed(m_state.Table(), m_self.service, m_self.claims)) {
    m_self.claims.clear();
    m_recordDirty = true;
  }
}

void
StateTaskBase::CheckOwnRecord()
{
  const bool settled =
    m_joined && !m_writing && !m_recordDirty && m_end >= m_writtenEnd;
  const auto* stored = settled ? m_state.FindHost(m_self.host) : nullptr;
  if (stored == nullptr || *stored == m_self) {
    return;
  }
  const auto now = m_clock.Now();
  if (now - m_lastRewriteAt < kRewriteInterval) {
    return;
  }
  m_lastRewriteAt = now;
  m_logger.Warning("record-differs",
                   "end={} epoch={} stored_epoch={} server={} stored_server={}",
                   m_end,
                   m_self.epoch,
                   stored->epoch,
                   m_self.server ? m_self.server->incarnation.id.Value() : "-",
                   stored->server ? stored->server->incarnation.id.Value()
                                  : "-");
  m_recordDirty = true;
}

std::optional<ServerIncarnation>
StateTaskBase::AssignedIncarnation(const ServerStatus& aServer) const
{
  auto latest = aServer.incarnation;
  for (const auto& [service, rows] : m_state.Table().services) {
    for (const auto& row : rows) {
      const auto& holder = row.holder;
      if (holder.host == m_self.host &&
          holder.incarnation.startedAt > latest.startedAt) {
        latest = holder.incarnation;
      }
    }
  }
  return latest == aServer.incarnation ? std::nullopt : std::optional(latest);
}

void
StateTaskBase::SetRole(StateRole aRole)
{
  const bool begins =
    aRole == StateRole::kCoordinator && m_role != StateRole::kCoordinator;
  m_role = aRole;
  if (begins) {
    ReadMissing(); // An old state would make it step aside again.
  }
}

void
StateTaskBase::NotifyListeners()
{
  for (auto* listener : m_listeners) {
    listener->OnStateChanged();
  }
}

void
StateTaskBase::PublishServer(const std::optional<ServerStatus>& aServer)
{
  if (m_self.server == aServer) {
    return;
  }
  const bool same = m_self.server && aServer &&
                    m_self.server->incarnation == aServer->incarnation;
  if (!same) {
    m_self.claims.clear();
  }
  m_self.server = aServer;
  m_recordDirty = true;
  WritePending();
}

void
StateTaskBase::PublishCrashEvidence(std::vector<ServerEndRecord> aEnds,
                                    std::vector<AnsweredRequest> aAnswered)
{
  if (m_self.serverEnds == aEnds && m_self.answered == aAnswered) {
    return;
  }
  m_self.serverEnds = std::move(aEnds);
  m_self.answered = std::move(aAnswered);
  m_recordDirty = true;
  WritePending();
}

void
StateTaskBase::SubmitEdit(std::string aReason, Edit aEdit)
{
  m_edits.push_back(PendingEdit{ std::move(aReason), std::move(aEdit) });
  WritePending();
}

void
StateTaskBase::SubmitOrReplaceEdit(const std::string& aReason, Edit aEdit)
{
  std::erase_if(
    m_edits, [&](const PendingEdit& aItem) { return aItem.reason == aReason; });
  SubmitEdit(aReason, std::move(aEdit));
}

std::optional<TableDraft>
StateTaskBase::ApplyEdits()
{
  TableDraft draft{ m_state.Table(), {} };
  draft.table.writtenEra = m_era;
  m_draftEdits = std::exchange(m_edits, {});
  m_draftReasons.clear();
  for (const auto& item : m_draftEdits) {
    if (item.edit(draft, m_state)) {
      m_draftReasons += m_draftReasons.empty() ? "" : ",";
      m_draftReasons += item.reason;
    }
  }
  if (m_draftReasons.empty()) {
    m_draftEdits.clear();
    return std::nullopt;
  }
  return draft;
}

void
StateTaskBase::RequeueEdits()
{
  m_draftEdits.insert(m_draftEdits.end(), m_edits.begin(), m_edits.end());
  m_edits = std::exchange(m_draftEdits, {});
}

}
