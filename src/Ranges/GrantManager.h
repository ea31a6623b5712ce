#ifndef PISTACHIOSHIFT_RANGES_GRANTMANAGER_H
#define PISTACHIOSHIFT_RANGES_GRANTMANAGER_H

#include <optional>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ranges/Claims.h"

namespace pistachioshift {

/** \brief Range that a backend server holds, or still runs requests for. */
struct HeldRange
{
  KeyRange range;
  Fence fence;
};

/** \brief Range that a backend server has released. */
struct ReleasedRange
{
  KeyRange range;
  std::string handover; ///< Token by which the next holder can load state.
};

/** \brief State that a backend server reports periodically. */
struct ServerHeartbeat
{
  Endpoint address; ///< Where the backend server listens.
  ServerIncarnation incarnation;
  ServiceName service;
  uint32_t slots = 0;
  ServerState state = ServerState::kReady;
  int64_t sequence = 0;  ///< Increases within an incarnation.
  Duration warmUpLeft{}; ///< Remaining warm-up time, in which it is slow.
  /// nullopt: not reported; the backend server may then hold any range.
  std::optional<std::vector<HeldRange>> holds;
  std::vector<ReleasedRange> released;
};

/**
 * \brief Announcement of a backend server that it stops now. Concerns each
 * incarnation of this id that was started at startedBy or earlier.
 */
struct ServerLeave
{
  ServerId id;
  WallTime startedBy = WallTime::max(); ///< The maximum if it is not stated.

  bool Concerns(const ServerIncarnation& aIncarnation) const
  {
    return id == aIncarnation.id && aIncarnation.startedAt <= startedBy;
  }
};

/** \brief Range that a reply grants to the backend server. */
struct GrantedRange
{
  KeyRange range;
  Fence fence;
  std::string handover;

  bool operator==(const GrantedRange&) const = default;
};

/**
 * \brief Reply to a heartbeat.
 *
 * The backend server releases all ranges that a renewing reply omits.
 */
struct HeartbeatReply
{
  bool renews = false; ///< If false, holds are left unchanged.
  std::vector<GrantedRange> ranges;
  Duration holdTime{}; ///< Counted from when the heartbeat was sent.
};

/** \brief Range that the backend server provably no longer holds. */
struct Relinquished
{
  KeyRange range;
  Fence fence; ///< Fence of the row that contains the range.
  std::string handover;
  std::optional<RangeHolder> next; ///< nullopt: any host.
};

/** \brief Ranges that a backend server has released, for the table. */
struct RangeRelease
{
  ServiceName service;
  RangeHolder holder; ///< Holder that released the ranges.
  std::vector<Relinquished> ranges;
  /**
   * Epoch of the holder's record if another host writes the release. The
   * release is void under any other epoch, because a daemon that has been
   * restarted may grant the ranges again. nullopt: the daemon that granted the
   * ranges writes the release itself.
   */
  std::optional<int64_t> epoch;
};

/** \brief Time limits of a GrantManager. */
struct GrantSettings
{
  /// Covers two lost heartbeats, sent once per second, and their timeout.
  Duration holdTime = std::chrono::milliseconds(3500);
  /// Longest hold that the previous daemon process may have granted.
  Duration maxEarlierHold = std::chrono::milliseconds(3500);
  /// Maximum relative drift of the backend server's clock.
  double clockDrift = 0.02;
};

/**
 * \brief Grants ranges to the backend server on a daemon's host. Performs no
 * I/O.
 *
 * Each heartbeat renews the grants. A range is revoked in steps: the next reply
 * omits it, the backend server finishes the running requests for its keys and
 * reports it as released, and only then the range is relinquished. Without
 * heartbeats, all ranges are relinquished once the last grant has expired.
 */
class GrantManager
{
public:
  GrantManager(GrantSettings aSettings, MonoTime aNow);

  /**
   * \brief Processes a heartbeat and renews the grants.
   * \param aHeartbeat must come from the address of this host's backend server.
   * Only one process listens there, so that a later start time proves that the
   * previous process has ended.
   * \param aRows rows that the table assigns to this incarnation. Unconfirmed
   * ones are not granted; what has been relinquished of them stays so.
   * \param aLease remaining time of the host's lease.
   * \return a reply that renews nothing if the heartbeat is stale or the lease
   * is too short.
   */
  HeartbeatReply OnHeartbeat(const ServerHeartbeat& aHeartbeat,
                             const std::vector<RangeRow>& aRows,
                             Duration aLease,
                             MonoTime aNow);

  /** \brief Whether a heartbeat is older than the last one, or a repetition. Of
   * two incarnations with the same start time, the first one stays. */
  bool IsStale(const ServerHeartbeat& aHeartbeat) const;

  /**
   * \brief Sets the incarnation that the previous process of this daemon
   * served, so that late heartbeats of earlier incarnations are recognized as
   * stale.
   */
  void Adopt(const ServerIncarnation& aIncarnation);

  /** \brief Incarnation that sent the last heartbeat; nullopt before the first.
   */
  const std::optional<ServerIncarnation>& Incarnation() const
  {
    return m_incarnation;
  }

  /**
   * \brief Begins to revoke a range.
   * \param aFence fence of the row that contains the range.
   * \param aNext host that gets the range afterwards; nullopt for any.
   */
  void Revoke(const KeyRange& aRange,
              Fence aFence,
              const std::optional<RangeHolder>& aNext);

  /** \brief Begins to revoke all ranges, for a planned stop. */
  void RevokeAll() { m_revokingAll = true; }
  bool RevokingAll() const { return m_revokingAll; }

  /** \brief Sets whether all ranges, and those assigned later, are to be
   * revoked; applies to later incarnations as well and ends with the call that
   * says so. Ranges whose revocation has begun by then are still handed over.
   */
  void SetEvacuating(bool aEvacuating) { m_evacuating = aEvacuating; }

  /**
   * \brief Relinquishes rows whose holds expired without a heartbeat.
   *
   * These rows are never renewed; their keys are granted again only under a
   * higher fence.
   */
  void RelinquishExpired(const std::vector<RangeRow>& aRows);

  /**
   * \brief What the backend server may hold of the confirmed rows of a table.
   *
   * The others have been relinquished, and may have been assigned to another
   * host since.
   */
  std::vector<ClaimedRange> Claims(const std::vector<RangeRow>& aRows) const;

  /** \brief Ranges that the confirmed rows of a table still assign to the
   * backend server although it has relinquished them. */
  std::vector<Relinquished> RelinquishedAmong(
    const std::vector<RangeRow>& aRows) const;

  /** \brief Whether the backend server may start requests for a key. */
  bool MayServe(ShardKey aKey, MonoTime aNow) const;

  /** \brief Whether the range of a key is being revoked. */
  bool IsRevoking(ShardKey aKey) const;

  /** \brief Returns and clears the relinquished ranges. */
  std::vector<Relinquished> TakeRelinquished();

  /** \brief Whether all holds have expired, even on the slowest clock. */
  bool HoldsExpired(MonoTime aNow) const { return aNow >= m_holdsExpireAt; }

  /** \brief When HoldsExpired becomes true unless a heartbeat arrives. */
  MonoTime HoldsExpireAt() const { return m_holdsExpireAt; }

private:
  struct Revocation
  {
    KeyRange range;
    Fence fence;
    std::optional<RangeHolder> next;
    bool omitted = false;  ///< A reply has omitted it.
    bool released = false; ///< Not granted again under this fence.
  };

  void BeginIncarnation(const ServerHeartbeat& aHeartbeat);
  void CollectReleased(const ServerHeartbeat& aHeartbeat);
  void RemoveReassigned(const std::vector<RangeRow>& aRows);
  void Relinquish(const Revocation& aRevocation,
                  const std::vector<ReleasedRange>& aReleased);
  std::vector<KeyRange> WithoutRevoked(const KeyRange& aRange,
                                       Fence aFence) const;
  std::vector<GrantedRange> Grants(const std::vector<RangeRow>& aRows) const;

  GrantSettings m_settings;
  std::optional<ServerIncarnation> m_incarnation;
  int64_t m_sequence = 0;
  std::vector<GrantedRange> m_granted; ///< By the last renewing reply.
  std::vector<Revocation> m_revocations;
  std::vector<Relinquished> m_relinquished;
  bool m_revokingAll = false; ///< Until the incarnation ends.
  bool m_evacuating = false;
  MonoTime m_serveUntil;    ///< Earliest end of the holds, less a margin.
  MonoTime m_holdsExpireAt; ///< Latest end of the holds.
};

/**
 * \brief Assigns relinquished ranges to their next holder, or frees them if
 * there is none that can take keys.
 * \return whether the table was changed.
 */
bool ReassignRelinquished(RangeTable& aTable,
                          const MeshState& aState,
                          const RangeRelease& aRelease);

/** \brief Whether a row still assigns a released range to its holder. */
bool HoldsReleased(const RangeTable& aTable, const RangeRelease& aRelease);

}

#endif
