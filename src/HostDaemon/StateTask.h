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

/** \brief Times of a StateTask. */
struct StateTaskSettings
{
  /// Between reads of the store by the host that others hear from: each renews
  /// the lease. Changes come from the daemons that write them, sooner.
  Duration pollInterval = std::chrono::milliseconds(1000);
  /// Pause after a failed call.
  Duration retryDelay = std::chrono::milliseconds(200);
  /// Records that come out of turn from peers close up within this time.
  Duration gapDelay = std::chrono::milliseconds(150);
  /// Another host reads if it heard nothing for so long: what it hears is up to
  /// one interval and a report old.
  Duration maxStaleness = std::chrono::milliseconds(2200);
};

/** \brief Records in a row, up to an offset. */
struct StateUpdate
{
  std::vector<StoreEntry> entries;
  int64_t next = 0;
};

/** \brief Called after the state has changed. */
class StateListener
{
public:
  virtual ~StateListener() = default;
  virtual void OnStateChanged() = 0;
};

/**
 * \brief Follows hosts and ranges in the store and writes this host's changes.
 *
 * \sa MeshState, KeyedStore
 */
class StateTaskBase
{
public:
  /** \brief Changes a draft; false if nothing is to be done. */
  using Edit = std::function<bool(TableDraft&, const MeshState&)>;

  virtual ~StateTaskBase() = default;

  const MeshState& State() const { return m_state; }
  int64_t End() const { return m_end; }
  const HostName& Self() const { return m_self.host; }

  /** \brief Whether the state was read and this host's record is in it. */
  bool Joined() const { return m_joined && m_end >= m_joinOffset; }

  /** \brief Time for which this host may grant; zero or less: none. */
  Duration LeaseLeft() const;

  /** \brief Writes the backend server's life and state if they changed. */
  void PublishServer(const std::optional<LiveServer>& aServer);

  /** \brief What this host last said, or is about to say, of itself. */
  const HostRecord& OwnRecord() const { return m_self; }

  /**
   * \brief Applies an edit to the table, again after each lost race, until it
   * is written or there is nothing to do.
   */
  void SubmitEdit(std::string aReason, Edit aEdit);

  /** \brief Same; replaces an edit of that reason which still waits. */
  void SubmitOrReplaceEdit(const std::string& aReason, Edit aEdit);

  /**
   * \brief Takes in records that another daemon has read or written.
   * \return false if records before them are missing here.
   */
  bool ApplyPeerUpdate(const std::vector<StoreEntry>& aEntries, int64_t aNext);

  /** \brief A peer saw the end of the topic, at the latest at this time. */
  void RenewLeaseFromPeer(MonoTime aSyncedAt, int64_t aEnd);

  /** \brief Whether other hosts rely on what this one has read. */
  void SetAlwaysPolls(bool aAlways) { m_alwaysPolls = aAlways; }

  /** \brief Records from an offset on, for a peer; none if not kept. */
  std::optional<StateUpdate> UpdateFrom(int64_t aFrom) const;

  /** \brief Called with records that this host has appended. */
  using OnAppended = std::function<void(const StateUpdate&)>;
  void SetOnAppended(OnAppended aCallback)
  {
    m_onAppended = std::move(aCallback);
  }

  /** \brief Called when the store gives no answer; peers may know more. */
  void SetOnUnavailable(std::function<void()> aCallback)
  {
    m_onUnavailable = std::move(aCallback);
  }

  /** \brief When the end of the topic was last seen. */
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

  /** Takes in records; \return whether any of them changed the state. */
  void ApplyEntries(const std::vector<StoreEntry>& aEntries, int64_t aNext);
  void ApplyEntry(const StoreEntry& aEntry);
  void RenewLease(MonoTime aSentAt);
  void NotifyListeners();

  /** Moves the waiting edits into a draft; none if there is nothing to do. */
  std::optional<TableDraft> ApplyEdits();

  /** The draft lost a race: its edits wait again. */
  void RequeueEdits();

  /** Called after something is to be written. */
  virtual void WritePending() = 0;

  /** Called when records are missing. */
  virtual void ReadMissing() = 0;

  /** Called when records are missing that may yet come from a peer. */
  virtual void ReadMissingLater() = 0;

  void BufferEntries(const std::vector<StoreEntry>& aEntries);
  void ApplyBuffered();

  const Clock& m_clock;
  const Logger& m_logger;
  HostRecord m_self;
  MeshState m_state;
  Lease m_lease;
  int64_t m_end = 0;
  bool m_joined = false;
  int64_t m_joinOffset = 0; ///< End after this host's record was written.
  bool m_recordDirty = false;
  std::vector<PendingEdit> m_edits;
  std::vector<PendingEdit> m_draftEdits; ///< Of the draft on its way.
  std::string m_draftReasons;
  std::vector<StateListener*> m_listeners;
  std::deque<StoreEntry> m_recent;            ///< Last records, for peers.
  std::map<int64_t, StoreEntry> m_outOfOrder; ///< From peers, after a gap.
  MonoTime m_lastSyncedAt;
  bool m_alwaysPolls = false;
  OnAppended m_onAppended;
  std::function<void()> m_onUnavailable;
};

/** \brief StateTaskBase over a store. */
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

  /** \brief Reads the state, then joins and follows it. */
  void Start();

  /** \brief Whether the last call to the store succeeded. */
  bool Connected() const { return m_connected; }

private:
  void ReadNewest();
  void OnNewest(MonoTime aSentAt, StoreReadResult aResult);
  void OnPollTimer();
  void Poll();
  void OnPolled(MonoTime aSentAt, StoreReadResult aResult);
  void Join();
  void WritePending() override;
  void ReadMissing() override
  {
    if (m_end > 0) {
      Poll();
    }
  }
  void ReadMissingLater() override;
  void OnGapTimer();
  void WriteRecord();
  void OnRecordWritten(const HostRecord& aWritten, AppendReply aReply);
  void WriteTable();
  void ApplyAppended(std::vector<StoreEntry> aEntries, int64_t aEnd);
  void SendTable();
  void OnTableWritten(MonoTime aSentAt, AppendReply aReply);
  void SetConnected(bool aConnected, const char* aCall);

  static inline const std::string kTopic = "keyed.pistachioshift";

  Store& m_store;
  StateTaskSettings m_settings;
  Timer m_pollTimer;
  Timer m_writeTimer;
  Timer m_resendTimer;
  Timer m_gapTimer;
  std::vector<StoreEntry> m_draftEntries;
  int64_t m_draftOffset = 0;
  bool m_connected = false;
  bool m_polling = false;
  bool m_writing = false;
  int64_t m_sequence = 0;
  int64_t m_conflictEnd = -1; ///< A change waits until this end is read.
};

}

#include "src/HostDaemon/internal/StateTaskImpl.h"

#endif
