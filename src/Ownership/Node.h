#ifndef PISTACHIOSHIFT_OWNERSHIP_NODE_H
#define PISTACHIOSHIFT_OWNERSHIP_NODE_H

#include <map>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Base/Random.h"
#include "src/Ownership/Messages.h"
#include "src/Ownership/NodeSettings.h"
#include "src/Ownership/Records.h"
#include "src/Ownership/View.h"

namespace pistachioshift {

/** \brief Send a control message; it may be lost. */
struct SendMessage
{
  DaemonId to;
  ControlMessage message;
};

/** \brief Append a record to the ownership stream; the writer retries. */
struct AppendRecord
{
  OwnershipRecord record;
};

/** \brief This daemon now holds the entry and serves it from `notBefore` on. */
struct EntryStarted
{
  EntryKey key;
  FenceToken token;
  MonoTime notBefore; ///< R6: later than now if fences are not checked.
};

/**
 * \brief Start no more requests under this entry; let running ones finish.
 *
 * Call Node::OnEntryIdle once no request of the entry runs any more.
 */
struct EntryStopping
{
  EntryKey key;
  FenceToken token;
  DaemonId next; ///< Likely next holder, for queued requests; 0 for none.
};

/**
 * \brief This incarnation can never hold an entry again.
 *
 * The daemon waits for its running requests, then joins again with a new Node,
 * naming this incarnation as `previous`.
 */
struct RejoinNeeded
{};

using Effect = std::
  variant<SendMessage, AppendRecord, EntryStarted, EntryStopping, RejoinNeeded>;

/**
 * \brief Ownership protocol (rules R1-R8) of one daemon incarnation; no I/O.
 *
 * The caller passes in records in offset order, messages, and ticks every
 * NodeSettings::tickInterval, all with times of one monotonic clock. After
 * each call it executes the effects that TakeEffects() returns.
 *
 * \sa OwnershipView, NodeSettings
 */
class Node
{
public:
  /**
   * \param aSelf offset of the daemon's own join record.
   * \param aView view to which at least that record has been applied.
   */
  Node(DaemonId aSelf,
       OwnershipView aView,
       NodeSettings aSettings,
       RandomEngine aRandom,
       MonoTime aNow);
  Node(Node&&) noexcept;
  Node& operator=(Node&&) noexcept;
  ~Node();

  /** \brief Applies a record; records must come in offset order. */
  Verdict OnRecord(Offset aOffset,
                   const OwnershipRecord& aRecord,
                   MonoTime aNow);

  /** \brief Handles a control message addressed to this incarnation. */
  void OnMessage(DaemonId aFrom, const ControlMessage& aMessage, MonoTime aNow);

  void OnTick(MonoTime aNow);

  /** \brief No request runs any more under an entry named by EntryStopping. */
  void OnEntryIdle(const EntryKey& aKey, MonoTime aNow);

  /** \brief Applied document offset, sent along in renewals and acks. */
  void SetDocumentApplied(Offset aOffset);

  /** \brief Waits of R6 for the services whose fences are not checked. */
  void SetFenceWaits(std::map<ServiceName, Duration> aWaits);

  /** \brief Begins a planned leave (R7). */
  void BeginLeave(MonoTime aNow);

  /** \brief Whether the planned leave has ended. */
  bool Left() const;

  /** \brief Effects since the last call, in order. */
  std::vector<Effect> TakeEffects();

  /**
   * \brief Token for starting a request of the entry now; nullopt: not allowed.
   *
   * R1: call it immediately before the write to the backend server.
   */
  std::optional<FenceToken> MayServe(const EntryKey& aKey, MonoTime aNow) const;

  /** \brief End of the lease; MonoTime::max() if the witness set is empty. */
  MonoTime LeaseEnd() const;

  /** \brief Highest applied offsets that other daemons have reported. */
  const AppliedOffsets& HighestPeerOffsets() const;

  /** \brief Held entries, including those that are stopping. */
  std::vector<HeldEntry> Held() const;

  DaemonId Self() const;
  const OwnershipView& View() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}

#endif
