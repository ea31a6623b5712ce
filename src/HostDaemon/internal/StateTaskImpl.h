#ifndef PISTACHIOSHIFT_HOSTDAEMON_INTERNAL_STATETASKIMPL_H
#define PISTACHIOSHIFT_HOSTDAEMON_INTERNAL_STATETASKIMPL_H

#include <algorithm>
#include <utility>

#include "src/HostDaemon/StateTask.h"

namespace pistachioshift {

namespace internal {

/** Gap between the epochs of two processes of a host. Each process uses the
 * epochs from its own one on for its appends. */
constexpr int64_t kEpochStep = 65536;

constexpr Duration kReturnCheckInterval = std::chrono::milliseconds(100);

/** Least time between reads that are due to peers which know a later era. */
constexpr Duration kLaterEraInterval = std::chrono::milliseconds(400);

}

template<KeyedStore Store>
StateTask<Store>::StateTask(event_base* aBase,
                            const Clock& aClock,
                            const Logger& aLogger,
                            Store& aStore,
                            HostRecord aSelf,
                            StateTaskSettings aSettings)
  : StateTaskBase(aClock, aLogger, std::move(aSelf))
  , m_store(aStore)
  , m_settings(aSettings)
  , m_pollTimer(aBase, [this] { OnPollTimer(); })
  , m_writeTimer(aBase, [this] { WritePending(); })
  , m_resendTimer(aBase, [this] { SendTable(); })
  , m_gapTimer(aBase, [this] { OnGapTimer(); })
  , m_returnTimer(aBase, [this] { OnReturnTimer(); })
{
}

template<KeyedStore Store>
void
StateTask<Store>::Start()
{
  ReadNewest();
}

template<KeyedStore Store>
void
StateTask<Store>::SetConnected(bool aConnected, const char* aCall)
{
  if (m_connected != aConnected) {
    m_logger.Info(
      aConnected ? "store-connected" : "store-lost",
      "call={} end={} lease_ms={}",
      aCall,
      m_end,
      std::chrono::duration_cast<std::chrono::milliseconds>(RemainingLease())
        .count());
  }
  m_connected = aConnected;
}

template<KeyedStore Store>
void
StateTask<Store>::ReadNewest()
{
  if (m_polling) {
    return;
  }
  m_polling = true;
  m_readsNewest = true;
  const auto sentAt = m_clock.Now();
  m_store.Newest(kTopic, [this, sentAt](StoreReadResult aResult) {
    OnNewest(sentAt, std::move(aResult));
  });
}

template<KeyedStore Store>
void
StateTask<Store>::OnNewest(MonoTime aSentAt, StoreReadResult aResult)
{
  m_polling = false;
  const auto* records = std::get_if<StoreRecords>(&aResult);
  SetConnected(records != nullptr, "newest");
  if (records == nullptr || records->era < m_era) {
    if (m_hasRead && m_onUnavailable) {
      m_onUnavailable();
    }
    RetryPoll();
    return;
  }
  m_readsNewest = false;
  if (!std::exchange(m_hasRead, true)) {
    m_era = records->era;
    m_eraSince = m_clock.Now();
    m_state = MeshState(m_era, false, m_state.HostsVersion());
  } else if (records->era > m_era) {
    EnterEra(records->era);
  }
  // The pages are not a snapshot. Records that were appended in the meantime
  // are read next, from the end of the topic at the first page.
  ApplyEntries(records->entries, records->next);
  if (records->next == records->end) {
    RenewLease(aSentAt);
  }
  if (!m_joined) {
    Join();
  }
  NotifyListeners();
  WritePending();
  m_pollTimer.StartOnce(Duration{});
}

template<KeyedStore Store>
void
StateTask<Store>::Join()
{
  const auto* known = m_state.FindHost(m_self.host);
  const auto wall = m_clock.WallNow().time_since_epoch().count();
  m_self.epoch = wall;
  m_self.era = m_era;
  m_rejoined = known != nullptr;
  if (known != nullptr) {
    m_self.epoch = std::max(m_self.epoch, known->epoch + internal::kEpochStep);
    // The backend server may have kept running while this daemon restarted.
    m_self.server = known->server;
    const auto assigned =
      known->server ? AssignedIncarnation(*known->server) : std::nullopt;
    if (assigned) {
      m_logger.Warning("record-outdated",
                       "server={} assigned={}",
                       known->server->incarnation.id.Value(),
                       assigned->id.Value());
      m_self.server = ServerStatus{ *assigned, known->server->slots };
    }
    m_self.serverEnds = known->serverEnds;
    m_self.answered = known->answered;
    m_self.refutedUpTo = std::max(m_self.refutedUpTo, known->refutedUpTo);
  }
  m_writerEpoch = m_self.epoch;
  m_sequence = 0;
  m_recordDirty = true;
}

template<KeyedStore Store>
void
StateTask<Store>::OnPollTimer()
{
  if (m_end == 0 || m_readsNewest) {
    ReadNewest();
    return;
  }
  const auto staleness = m_clock.Now() - m_lastSyncedAt;
  const bool caughtUp = m_end >= m_conflictEnd || m_gapTimer.Running();
  const bool fresh =
    m_role != StateRole::kCoordinator && caughtUp && staleness < MaxStaleness();
  if (!fresh) {
    Poll();
    return;
  }
  m_pollTimer.StartOnce(
    std::min(m_settings.pollInterval, MaxStaleness() - staleness));
}

template<KeyedStore Store>
Duration
StateTask<Store>::MaxStaleness() const
{
  return m_role == StateRole::kFollower ? m_settings.maxStaleness
                                        : m_settings.standbyStaleness;
}

template<KeyedStore Store>
void
StateTask<Store>::RetryPoll()
{
  const bool backsOff = Joined() && m_role == StateRole::kFollower;
  m_retryDelay = backsOff && m_retryDelay > Duration{}
                   ? std::min(2 * m_retryDelay, m_settings.maxRetryDelay)
                   : m_settings.retryDelay;
  m_pollTimer.StartOnce(m_retryDelay);
}

template<KeyedStore Store>
void
StateTask<Store>::ReadMissingLater()
{
  if (!m_gapTimer.Running()) {
    m_gapTimer.StartOnce(m_role == StateRole::kCoordinator
                           ? m_settings.coordinatorGapDelay
                           : m_settings.gapDelay);
  }
}

template<KeyedStore Store>
void
StateTask<Store>::OnGapTimer()
{
  ApplyBuffered();
  const bool incomplete = !m_outOfOrder.empty() || m_end < m_conflictEnd;
  m_outOfOrder.clear();
  if (incomplete) {
    Poll();
  } else {
    NotifyListeners();
  }
}

template<KeyedStore Store>
void
StateTask<Store>::Poll()
{
  if (m_polling) {
    return;
  }
  m_polling = true;
  const auto sentAt = m_clock.Now();
  m_store.Read(kTopic,
               m_end,
               Duration{},
               [this, sentAt, era = m_era](StoreReadResult aResult) {
                 OnPolled(sentAt, era, std::move(aResult));
               });
}

template<KeyedStore Store>
void
StateTask<Store>::OnPolled(MonoTime aSentAt,
                           StoreEra aEra,
                           StoreReadResult aResult)
{
  m_polling = false;
  if (aEra != m_era) {
    m_pollTimer.StartOnce(Duration{});
    return;
  }
  aResult = ResultInEra(std::move(aResult), aEra);
  const auto* records = std::get_if<StoreRecords>(&aResult);
  SetConnected(records != nullptr, "read");
  if (records == nullptr) {
    if (std::get<StoreFailure>(aResult) == StoreFailure::kExpired) {
      if (!std::exchange(m_expired, true)) {
        ReadNewest();
        return;
      }
      // The newest records have not led to an end that can be read from.
      m_readsNewest = true;
      RetryPoll();
      return;
    }
    if (m_onUnavailable) {
      m_onUnavailable();
    }
    RetryPoll();
    return;
  }
  m_retryDelay = {};
  m_expired = false;
  const bool changed = records->next > m_end;
  ApplyEntries(records->entries, records->next);
  const bool complete = m_end >= records->end;
  if (complete) {
    RenewLease(aSentAt);
  }
  BroadcastRead();
  if (changed) {
    NotifyListeners();
  }
  WritePending();
  m_pollTimer.StartOnce(
    complete && m_end >= m_conflictEnd ? m_settings.pollInterval : Duration{});
}

template<KeyedStore Store>
void
StateTask<Store>::ReadLaterEra()
{
  const auto now = m_clock.Now();
  if (now - m_laterEraReadAt >= internal::kLaterEraInterval) {
    m_laterEraReadAt = now;
    ReadNewest();
  }
}

template<KeyedStore Store>
void
StateTask<Store>::OnLaterEra(StoreEra aEra)
{
  if (m_hasRead && aEra > m_era) {
    ReadLaterEra();
  }
}

template<KeyedStore Store>
void
StateTask<Store>::EnterEra(StoreEra aEra)
{
  BeginEra(aEra);
  m_resendTimer.Stop();
  m_gapTimer.Stop();
  m_writeTimer.Stop();
  m_writeDelay = {};
  m_conflictEnd = -1;
  m_broadcastFrom.reset();
  // Keeps appends of the earlier era from being done after those of this one.
  ++m_writerEpoch;
  m_sequence = 0;
  m_unconfirmed.reset();
  m_returnTimer.StartEvery(internal::kReturnCheckInterval);
}

template<KeyedStore Store>
void
StateTask<Store>::ApplyPeerSnapshot(const std::vector<StoreEntry>& aEntries,
                                    const StorePosition& aNext)
{
  if (!m_hasRead || aNext.era <= m_era) {
    return;
  }
  EnterEra(aNext.era);
  ApplyEntries(aEntries, aNext.offset);
  // The records before the end are not kept one by one.
  m_recent.clear();
  m_recentBytes = 0;
  NotifyListeners();
  WritePending();
}

template<KeyedStore Store>
void
StateTask<Store>::OnReturnTimer()
{
  CheckReturn(m_settings.maxSettleTime);
  if (!Returning()) {
    m_returnTimer.Stop();
    NotifyListeners();
    WritePending();
  }
}

template<KeyedStore Store>
void
StateTask<Store>::WritePending()
{
  if (m_writing || m_writeTimer.Running() || m_self.epoch == 0) {
    return;
  }
  if (m_recordDirty) {
    WriteRecord();
  } else if (!m_edits.empty() && m_end >= m_conflictEnd) {
    WriteTable();
  }
}

template<KeyedStore Store>
Duration
StateTask<Store>::NextWriteDelay()
{
  m_writeDelay = m_writeDelay > Duration{}
                   ? std::min(2 * m_writeDelay, m_settings.maxWriteRetryDelay)
                   : m_settings.retryDelay;
  return m_writeDelay;
}

template<KeyedStore Store>
void
StateTask<Store>::WriteRecord()
{
  m_writing = true;
  m_recordDirty = false;
  const auto written = m_self;
  const auto entry = EncodeHost(written);
  if (m_unconfirmed && *m_unconfirmed != entry) {
    // The store recognizes a repeated append by its position alone, so another
    // record needs another one. The new epoch also keeps the earlier append
    // from being done after this one.
    ++m_writerEpoch;
    m_sequence = 0;
    m_unconfirmed.reset();
  }
  m_store.Append(
    kTopic,
    { entry },
    WriterPosition{ "host/" + m_self.host.Value(), m_writerEpoch, m_sequence },
    [this, written, era = m_era](AppendReply aReply) {
      OnRecordWritten(written, era, aReply);
    });
}

template<KeyedStore Store>
void
StateTask<Store>::OnRecordWritten(const HostRecord& aWritten,
                                  StoreEra aEra,
                                  AppendReply aReply)
{
  if (aEra != m_era) {
    return; // Written anew since.
  }
  m_writing = false;
  if (aReply.era > m_era) {
    m_recordDirty = true;
    m_writeTimer.StartOnce(NextWriteDelay());
    ReadLaterEra();
    return;
  }
  switch (aReply.verdict) {
    case AppendVerdict::kAccepted:
      OnRecordAccepted(aWritten, aReply.end);
      break;
    case AppendVerdict::kFenced:
      m_self.epoch += internal::kEpochStep;
      m_writerEpoch = m_self.epoch;
      m_sequence = 0;
      m_unconfirmed.reset();
      m_recordDirty = true;
      m_logger.Warning("host-fenced", "next_epoch={}", m_self.epoch);
      break;
    case AppendVerdict::kSequenceMismatch:
      m_sequence = aReply.sequence;
      m_unconfirmed.reset();
      m_recordDirty = true;
      break;
    case AppendVerdict::kUnknown:
      m_unconfirmed = EncodeHost(aWritten);
      [[fallthrough]];
    default:
      m_recordDirty = true;
      m_writeTimer.StartOnce(NextWriteDelay());
      return;
  }
  m_writeDelay = {};
  WritePending();
}

template<KeyedStore Store>
void
StateTask<Store>::OnRecordAccepted(const HostRecord& aWritten, int64_t aEnd)
{
  ++m_sequence;
  m_writtenEnd = aEnd;
  const bool repeated = std::exchange(m_unconfirmed, std::nullopt).has_value();
  if (repeated) {
    // The answer may be that to an earlier append; what that one stored is
    // read.
    m_broadcastFrom = aEnd - 1;
    m_conflictEnd = std::max(m_conflictEnd, aEnd);
    BroadcastRead();
    Poll();
  } else {
    ApplyAppended({ EncodeHost(aWritten) }, aEnd);
  }
  m_logger.Info("host-written",
                "epoch={} end={} server={} cleared={} repeated={}",
                aWritten.epoch,
                aEnd,
                aWritten.server ? aWritten.server->incarnation.id.Value() : "-",
                aWritten.refutedUpTo,
                repeated);
  if (!m_joined) {
    // Grants start only now, when no append of this daemon's earlier process
    // can still succeed.
    m_joined = true;
    m_joinOffset = aEnd;
    NotifyListeners();
  }
}

template<KeyedStore Store>
void
StateTask<Store>::BroadcastRead()
{
  if (!m_broadcastFrom || m_end <= *m_broadcastFrom) {
    return;
  }
  const auto update =
    UpdateFrom({ m_era, *std::exchange(m_broadcastFrom, std::nullopt) });
  if (update && m_onAppended) {
    m_onAppended(*update);
  }
}

template<KeyedStore Store>
void
StateTask<Store>::ApplyAppended(std::vector<StoreEntry> aEntries, int64_t aEnd)
{
  auto offset = aEnd - static_cast<int64_t>(aEntries.size());
  for (auto& entry : aEntries) {
    entry.offset = offset++;
  }
  const auto first = aEntries.front().offset;
  const bool contiguous = first <= m_end;
  if (contiguous) {
    ApplyEntries(aEntries, aEnd);
  }
  if (m_onAppended) {
    const auto kept = contiguous ? UpdateFrom({ m_era, first }) : std::nullopt;
    m_onAppended(kept.value_or(StateUpdate{ aEntries, { m_era, aEnd } }));
  }
  if (contiguous) {
    NotifyListeners();
  } else if (m_role == StateRole::kCoordinator || !Joined()) {
    Poll();
  } else {
    BufferEntries(aEntries);
    ReadMissingLater();
  }
}

template<KeyedStore Store>
void
StateTask<Store>::WriteTable()
{
  auto draft = ApplyEdits();
  if (!draft) {
    return;
  }
  ++draft->table.revision;
  m_draftEntries.clear();
  for (const auto& host : draft->removedHosts) {
    m_draftEntries.push_back(RemoveHost(host));
  }
  m_draftEntries.push_back(EncodeTable(draft->table));
  m_draftOffset = m_end;
  m_writing = true;
  SendTable();
}

template<KeyedStore Store>
void
StateTask<Store>::SendTable()
{
  const auto sentAt = m_clock.Now();
  m_store.Append(kTopic,
                 m_draftEntries,
                 ExpectedEnd{ m_draftOffset },
                 [this, sentAt, era = m_era](AppendReply aReply) {
                   OnTableWritten(sentAt, era, aReply);
                 });
}

template<KeyedStore Store>
void
StateTask<Store>::OnTableWritten(MonoTime aSentAt,
                                 StoreEra aEra,
                                 AppendReply aReply)
{
  if (aEra != m_era) {
    return;
  }
  m_logger.Info("table-written",
                "at={} verdict={} end={} reasons={}",
                m_draftOffset,
                ToString(aReply.verdict),
                aReply.end,
                m_draftReasons);
  if (aReply.era > m_era) {
    // The store has returned meanwhile. The draft is void.
    m_writing = false;
    m_conflictEnd = m_draftOffset + 1;
    ReadLaterEra();
    return;
  }
  switch (aReply.verdict) {
    case AppendVerdict::kAccepted: {
      m_writing = false;
      m_draftEdits.clear();
      const bool current = m_end == m_draftOffset;
      ApplyAppended(m_draftEntries, aReply.end);
      if (current) {
        RenewLease(aSentAt);
      }
      break;
    }
    case AppendVerdict::kConflict:
    case AppendVerdict::kFenced:
    case AppendVerdict::kSequenceMismatch:
      m_writing = false;
      m_conflictEnd = std::max(aReply.end, m_draftOffset + 1);
      RequeueEdits();
      if (m_end < m_conflictEnd) {
        ReadMissingLater(); // The writer that won usually sends its change.
      }
      break;
    case AppendVerdict::kRefused:
    case AppendVerdict::kUnknown:
      // Repeated under the same condition until the outcome is certain.
      m_resendTimer.StartOnce(NextWriteDelay());
      return;
  }
  m_writeDelay = {};
  WritePending();
}

}

#endif
