#ifndef PISTACHIOSHIFT_HOSTDAEMON_STATETASK_H
#define PISTACHIOSHIFT_HOSTDAEMON_STATETASK_H

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Pistachioshift/Ranges"
#include "src/Base/Logger.h"
#include "src/Daemon/Timer.h"

namespace pistachioshift {

/** \brief Intervals and delays of a StateTask. */
struct StateTaskSettings
{
  /// Interval between the coordinator's reads of the store. Each read renews
  /// its lease and, through its replies, those of the others. Changes arrive
  /// sooner, from the daemons that write them.
  Duration pollInterval = std::chrono::milliseconds(1000);
  /// Delay before a failed call is repeated.
  Duration retryDelay = std::chrono::milliseconds(200);
  /// Maximum delay of a failed poll of a follower; its delay starts at
  /// retryDelay and doubles with each failure.
  Duration maxRetryDelay = std::chrono::milliseconds(1600);
  /// Same, of a failed append.
  Duration maxWriteRetryDelay = std::chrono::milliseconds(800);
  /// Time to wait for the missing records when peers send records out of order,
  /// before the store is read. The reply to the next report brings them, too.
  Duration gapDelay = std::chrono::milliseconds(900);
  /// Same, of the coordinator, on whom the others wait.
  Duration coordinatorGapDelay = std::chrono::milliseconds(50);
  /// A follower reads the store when its state is this old. What it learns from
  /// the coordinator's replies is itself up to one poll interval and one report
  /// interval old.
  Duration maxStaleness = std::chrono::milliseconds(3000);
  /// Same, of a standby; shorter, so that its replies renew the leases of the
  /// followers before they read the store themselves.
  Duration standbyStaleness = std::chrono::milliseconds(2000);
  /// Maximum time for which a host whose own ranges are confirmed goes on with
  /// the state before a return of the store, so that it routes to the holders
  /// of then until those have been confirmed as well.
  Duration maxSettleTime = std::chrono::milliseconds(1500);
};

/** \brief Part of a host in keeping the others up to date. */
enum class StateRole : uint8_t
{
  kFollower,
  kStandby,     ///< Other hosts report to it as well as to the coordinator.
  kCoordinator, ///< Polls the store for the others.
};

/** \brief Consecutive records that end before an offset. */
struct StateUpdate
{
  std::vector<StoreEntry> entries;
  StorePosition next;
};

/** \brief Is notified after the state has changed. */
class StateListener
{
public:
  virtual ~StateListener() = default;
  virtual void OnStateChanged() = 0;
};

/**
 * \brief Keeps a local copy of the hosts and ranges in the store, and writes
 * this host's changes to it.
 *
 * \sa MeshState, KeyedStore
 */
class StateTaskBase
{
public:
  /** \brief Changes a draft; returns false if there is nothing to change. */
  using Edit = std::function<bool(TableDraft&, const MeshState&)>;

  virtual ~StateTaskBase() = default;

  /**
   * \brief The state that this host acts on. After a return of the store this
   * is the one before it, until the ranges that the backend server held then
   * have been confirmed, or the lease of then has expired.
   */
  const MeshState& State() const
  {
    return m_earlier ? m_earlier->state : m_state;
  }

  /** \brief The state as read from the store; edits are applied to it. */
  const MeshState& Latest() const { return m_state; }

  /** \brief Whether State() is still the one before a return of the store. */
  bool Returning() const { return m_earlier.has_value(); }

  /** \brief When this host first knew the era of Latest(). */
  MonoTime EraSince() const { return m_eraSince; }

  /** \brief How often the store has returned during this process. */
  uint64_t Returns() const { return m_returns; }

  /** \brief Whether the newest table in the store is one of an earlier era,
   * which was appended late; it has to be written again. */
  bool TableOutdated() const { return m_tableOutdated; }

  /** \brief Position up to which the store was read. */
  StorePosition End() const { return { m_era, m_end }; }
  const HostName& Self() const { return m_self.host; }

  /** \brief Whether the state has been read and contains this host's record. */
  bool Joined() const { return m_joined && m_end >= m_joinOffset; }

  /** \brief Whether an earlier process of this daemon had written a record. */
  bool Rejoined() const { return m_rejoined; }

  /** \brief Remaining time in which this host may grant ranges to its backend
   * server; zero or less: it may not. */
  Duration RemainingLease() const;

  /** \brief Writes the backend server's status to this host's record if it has
   * changed. */
  void PublishServer(const std::optional<ServerStatus>& aServer);

  /** \brief Writes the latest ends of this host's backend servers, and what has
   * been answered since ends of others, to this host's record. */
  void PublishCrashEvidence(std::vector<ServerEndRecord> aEnds,
                            std::vector<AnsweredRequest> aAnswered);

  /** \brief This host's record as last written, or about to be written. */
  const HostRecord& OwnRecord() const { return m_self; }

  /**
   * \brief Applies an edit to the table and writes it. If another host changes
   * the table first, the edit is applied again to the changed table, until it
   * is written or has nothing to change.
   */
  void SubmitEdit(std::string aReason, Edit aEdit);

  /** \brief Same, but replaces a pending edit that has the same reason. */
  void SubmitOrReplaceEdit(const std::string& aReason, Edit aEdit);

  /**
   * \brief Applies records that another daemon has read or written.
   * \return false if earlier records are missing here.
   */
  bool ApplyPeerUpdate(const std::vector<StoreEntry>& aEntries,
                       const StorePosition& aNext);

  /**
   * \brief Renews the lease as soon as this host has read everything that a
   * peer has, unless it is suspected. \param aSyncedAt time at which the peer
   * had read the whole topic. \param aEnd end of the topic at that time. A
   * peer's reading in another era of the store renews nothing.
   */
  void RenewLeaseFromPeer(MonoTime aSyncedAt, const StorePosition& aEnd);

  /** \brief Sets how far other hosts rely on this host's reads; a host that
   * becomes coordinator reads at once. */
  void SetRole(StateRole aRole);

  /** \brief Whether the last call to the store succeeded. */
  virtual bool Connected() const = 0;

  /** \brief Records from a position on, for a peer; empty if not kept. */
  std::optional<StateUpdate> UpdateFrom(const StorePosition& aFrom) const;

  /** \brief Records that make up Latest(), for a peer in an earlier era of the
   * store. */
  StateUpdate Snapshot() const;

  /** \brief Begins a later era of the store with the snapshot of a peer, for a
   * host that cannot read the store itself. */
  virtual void ApplyPeerSnapshot(const std::vector<StoreEntry>& aEntries,
                                 const StorePosition& aNext) = 0;

  /** \brief Ranges that the backend server may hold, by State(). */
  using ClaimSource = std::function<std::vector<ClaimedRange>()>;
  void SetClaimSource(ClaimSource aSource)
  {
    m_claimSource = std::move(aSource);
  }

  /** \brief Callback for records that this host has appended. */
  using OnAppended = std::function<void(const StateUpdate&)>;
  void SetOnAppended(OnAppended aCallback)
  {
    m_onAppended = std::move(aCallback);
  }

  /** \brief Sets the callback for a store that does not answer; peers may have
   * newer records. */
  void SetOnUnavailable(std::function<void()> aCallback)
  {
    m_onUnavailable = std::move(aCallback);
  }

  /** \brief When this host's copy was last known to be complete. */
  MonoTime LastSyncedAt() const { return m_lastSyncedAt; }

  void AddListener(StateListener& aListener)
  {
    m_listeners.push_back(&aListener);
  }

protected:
  struct PendingEdit
  {
    std::string reason;
    Edit edit;
  };

  StateTaskBase(const Clock& aClock, const Logger& aLogger, HostRecord aSelf);

  /** What this host acts on after a return of the store. */
  struct EarlierState
  {
    MeshState state;
    Lease lease;
  };

  /**
   * Discards what was read in an earlier era, except for what this host acts
   * on, and claims what its backend server holds in its record.
   */
  void BeginEra(StoreEra aEra);

  /** Acts on the state of this era if that is possible by now. */
  void CheckReturn(Duration aMaxSettleTime);

  /**
   * Applies the records that are not known yet.
   * \param aNext offset up to which the topic is known afterwards.
   */
  void ApplyEntries(const std::vector<StoreEntry>& aEntries, int64_t aNext);
  void ApplyEntry(const StoreEntry& aEntry);
  /**
   * Records that the copy is complete, and renews the lease unless this host is
   * suspected.
   * \param aSentAt when the read that showed it was sent.
   */
  void RenewLease(MonoTime aSentAt);
  void RenewLeaseFromKnownSyncs();
  void NotifyListeners();

  /** Claims that are confirmed must not be read again: the rows may move. */
  void DropConfirmedClaims();

  /** Writes this host's record again if the store holds another one than was
   * acknowledged; the other hosts act on what the store holds. */
  void CheckOwnRecord();

  /** The latest incarnation of this host's backend server to which the store
   * has assigned ranges, if that is later than the one in its record. */
  std::optional<ServerIncarnation> AssignedIncarnation(
    const ServerStatus& aServer) const;

  /** Applies the pending edits to a draft; empty if none changes anything. */
  std::optional<TableDraft> ApplyEdits();

  /** Makes the edits of a draft pending again after a conflict. */
  void RequeueEdits();

  /** Writes this host's record or else the table, if due. One write at a time
   * is in progress. */
  virtual void WritePending() = 0;

  /** Reads missing records from the store. */
  virtual void ReadMissing() = 0;

  /** Reads the newest records, as a peer knows a later era of the store. */
  virtual void ReadLaterEra() = 0;

  /** Same, unless peers send the missing records within `gapDelay`. */
  virtual void ReadMissingLater() = 0;

  /** Keeps records from peers until the records before them arrive. */
  void BufferEntries(const std::vector<StoreEntry>& aEntries);
  /** Applies buffered records that directly follow the known ones. */
  void ApplyBuffered();

  const Clock& m_clock;
  const Logger& m_logger;
  HostRecord m_self;
  MeshState m_state;
  Lease m_lease;
  bool m_hasRead = false; ///< The topic has been read in m_era.
  StoreEra m_era;
  int64_t m_end = 0;
  MonoTime m_eraSince;
  std::optional<EarlierState> m_earlier; ///< Set while Returning().
  ClaimSource m_claimSource;
  uint64_t m_returns = 0;
  bool m_tableOutdated = false;
  bool m_joined = false;
  bool m_rejoined = false;
  /// End of the topic after this host's record was written.
  int64_t m_joinOffset = 0;
  /// End of the topic after the last acknowledged record of this host.
  int64_t m_writtenEnd = 0;
  bool m_recordDirty = false;
  bool m_writing = false;
  MonoTime m_lastRewriteAt{ -std::chrono::hours(1) };
  /// Times at which peers had read the whole topic, by its end then; only ends
  /// that this host has not reached yet.
  std::map<int64_t, MonoTime> m_peerSyncs;
  std::vector<PendingEdit> m_edits;
  std::vector<PendingEdit> m_draftEdits; ///< Edits of the draft being written.
  std::string m_draftReasons;
  std::vector<StateListener*> m_listeners;
  std::deque<StoreEntry> m_recent; ///< Latest records, for peers.
  size_t m_recentBytes = 0;
  std::map<int64_t, StoreEntry> m_outOfOrder; ///< From peers, by offset.
  MonoTime m_lastSyncedAt;
  StateRole m_role = StateRole::kFollower;
  OnAppended m_onAppended;
  std::function<void()> m_onUnavailable;
};

/** \brief StateTaskBase on a given type of store. */
template<KeyedStore Store>
class StateTask : public StateTaskBase
{
public:
  StateTask(event_base* aBase,
            const Clock& aClock,
            const Logger& aLogger,
            Store& aStore,
            HostRecord aSelf,
            StateTaskSettings aSettings = {});

  /** \brief Reads the state, writes this host's record, then follows the
   * store. */
  void Start();

  void ApplyPeerSnapshot(const std::vector<StoreEntry>& aEntries,
                         const StorePosition& aNext) override;

  /** \brief Reads the newest records if the era is later than that of End(). */
  void OnLaterEra(StoreEra aEra);

  bool Connected() const override { return m_connected; }

private:
  void ReadNewest();
  void OnNewest(MonoTime aSentAt, StoreReadResult aResult);
  void OnPollTimer();
  void Poll();
  void OnPolled(MonoTime aSentAt, StoreEra aEra, StoreReadResult aResult);
  void Join();
  void WritePending() override;
  void ReadMissing() override
  {
    if (m_end > 0) {
      Poll();
    }
  }
  void ReadMissingLater() override;
  void ReadLaterEra() override;
  void EnterEra(StoreEra aEra);
  void OnReturnTimer();
  void OnGapTimer();
  void WriteRecord();
  void OnRecordWritten(const HostRecord& aWritten,
                       StoreEra aEra,
                       AppendReply aReply);
  void OnRecordAccepted(const HostRecord& aWritten, int64_t aEnd);
  void BroadcastRead();
  void WriteTable();
  void ApplyAppended(std::vector<StoreEntry> aEntries, int64_t aEnd);
  void SendTable();
  void OnTableWritten(MonoTime aSentAt, StoreEra aEra, AppendReply aReply);
  void SetConnected(bool aConnected, const char* aCall);

  static inline const std::string kTopic = "keyed.pistachioshift";

  Store& m_store;
  StateTaskSettings m_settings;
  Timer m_pollTimer;
  Timer m_writeTimer;
  Timer m_resendTimer;
  Timer m_gapTimer;
  Timer m_returnTimer; ///< Runs while Returning().
  std::vector<StoreEntry> m_draftEntries;
  int64_t m_draftOffset = 0;
  Duration MaxStaleness() const;
  void RetryPoll();
  Duration NextWriteDelay();

  Duration m_retryDelay{}; ///< Before the last repeated poll.
  Duration m_writeDelay{}; ///< Before the last repeated append.
  bool m_connected = false;
  bool m_polling = false;
  /// The next read is one of the newest records, not from the end on.
  bool m_readsNewest = true;
  bool m_expired = false; ///< The last read from the end on has expired.
  MonoTime m_laterEraReadAt{ -std::chrono::hours(1) };
  /// Position of the next record of this host among its appends. The epoch is
  /// at least that of the record, which stays the same in one process.
  int64_t m_writerEpoch = 0;
  int64_t m_sequence = 0;
  /// Record at that position whose append may have been done, or may be later.
  std::optional<StoreEntry> m_unconfirmed;
  /// Peers get the records from this offset on as soon as they have been read.
  std::optional<int64_t> m_broadcastFrom;
  int64_t m_conflictEnd = -1; ///< Edits wait until this offset is read.
};

}

#include "src/HostDaemon/internal/StateTaskImpl.h"

#endif
