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

/** \brief This daemon holds the entry now; serve it from `notBefore` on. */
struct EntryStarted
{
  EntryKey key;
  FenceToken token;
  MonoTime notBefore; ///< R6: later than now if fences go unchecked.
};

/**
 * \brief Start nothing more under this entry; let what runs finish.
 *
 * Call Node::OnEntryIdle once nothing of it runs any more.
 */
struct EntryStopping
{
  EntryKey key;
  FenceToken token;
  DaemonId next; ///< The likely next holder, for held-back arrivals; 0: none.
};

/**
 * \brief This incarnation can never hold anything again.
 *
 * The daemon resolves what runs, then joins again naming this incarnation as
 * `previous`, with a new Node.
 */
struct RejoinNeeded
{};

using Effect = std::
  variant<SendMessage, AppendRecord, EntryStarted, EntryStopping, RejoinNeeded>;

/**
 * \brief Decisions of one daemon incarnation under rules R1-R8; pure.
 *
 * Fed with records in offset order, messages and ticks (every
 * NodeSettings::tickInterval), all with the same monotonic clock; after each
 * call the owner carries out TakeEffects().
 *
 * \sa OwnershipView, NodeSettings
 */
class Node
{
public:
  /**
   * \brief Starts after the join record of `aSelf` was applied to `aView`.
   * \param aView state through at least that record.
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

  /** \brief Takes a control message addressed to this incarnation. */
  void OnMessage(DaemonId aFrom, const ControlMessage& aMessage, MonoTime aNow);

  void OnTick(MonoTime aNow);

  /** \brief Nothing runs under the entry that EntryStopping named. */
  void OnEntryIdle(const EntryKey& aKey, MonoTime aNow);

  /** \brief Document offset applied, carried by renewals and acks. */
  void SetDocumentApplied(Offset aOffset);

  /** \brief Waits of R6 by service; a service not listed has none. */
  void SetFenceWaits(std::map<ServiceName, Duration> aWaits);

  /** \brief Begins a planned leave (R7). */
  void BeginLeave(MonoTime aNow);

  /** \brief The planned leave is done: nothing held, nothing witnessed. */
  bool Left() const;

  /** \brief Effects since the last call, in order. */
  std::vector<Effect> TakeEffects();

  /**
   * \brief R1: token to start a request of the entry with, right now.
   *
   * Checked immediately before the write to the backend server.
   */
  std::optional<FenceToken> MayServe(const EntryKey& aKey, MonoTime aNow) const;

  /** \brief End of the lease; MonoTime::max() for a lone daemon. */
  MonoTime LeaseEnd() const;

  /** \brief Highest applied offsets heard of from other daemons. */
  const AppliedOffsets& HighestPeerOffsets() const;

  /** \brief Entries held, also those that are stopping. */
  std::vector<HeldEntry> Held() const;

  DaemonId Self() const;
  const OwnershipView& View() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}

#endif
