#ifndef PISTACHIOSHIFT_RANGES_GRANTMANAGER_H
#define PISTACHIOSHIFT_RANGES_GRANTMANAGER_H

#include <optional>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ranges/MeshState.h"

namespace pistachioshift {

/** \brief A range that a backend server says it holds or still works on. */
struct HeldRange
{
  KeyRange range;
  Fence fence;
};

/** \brief A range that a backend server has let go. */
struct ReleasedRange
{
  KeyRange range;
  std::string handover; ///< Lets the next holder start warm.
};

/** \brief What a backend server says of itself. */
struct ServerHeartbeat
{
  ServerIncarnation incarnation;
  ServiceName service;
  uint32_t slots = 0;
  ServerState state = ServerState::kReady;
  int64_t sequence = 0;  ///< Grows with each heartbeat of a incarnation.
  Duration warmUpLeft{}; ///< Time for which it is still slow.
  /// None: it doesn't say, which proves nothing about what it holds.
  std::optional<std::vector<HeldRange>> holds;
  std::vector<ReleasedRange> released;
};

/** \brief A range that the backend server is to hold. */
struct GrantedRange
{
  KeyRange range;
  Fence fence;
  std::string handover;

  bool operator==(const GrantedRange&) const = default;
};

/** \brief Reply to a heartbeat; what it leaves out is to be released. */
struct HeartbeatReply
{
  bool renews = false; ///< Otherwise nothing is granted or taken away.
  std::vector<GrantedRange> ranges;
  Duration holdTime{}; ///< From the sending of the heartbeat.
};

/** \brief A range that the backend server surely holds no more. */
struct Relinquished
{
  KeyRange range;
  Fence fence; ///< Of the row that it was a part of.
  std::string handover;
  std::optional<RangeHolder> next; ///< None: to be assigned.
};

/** \brief Times of a GrantManager. */
struct GrantSettings
{
  /// Two missed heartbeats of a second and their timeout.
  Duration holdTime = std::chrono::milliseconds(3500);
  /// Longest hold that an earlier process may have granted.
  Duration maxEarlierHold = std::chrono::milliseconds(3500);
  /// How much slower the backend server's clock may run.
  double clockDrift = 0.02;
};

/**
 * \brief What the backend server beside a daemon holds. Pure.
 *
 * Grants are renewed with every heartbeat. A range leaves in steps: the next
 * reply omits it, the backend server finishes what runs on it and reports it
 * as released, and only then it is relinquished. Without heartbeats everything
 * is relinquished when the last grant has run out.
 */
class GrantManager
{
public:
  GrantManager(GrantSettings aSettings, MonoTime aNow);

  /**
   * \brief Takes in a heartbeat.
   * \param aRows rows that the table gives to this incarnation.
   * \param aLease time left for which the host may grant.
   */
  HeartbeatReply OnHeartbeat(const ServerHeartbeat& aHeartbeat,
                             const std::vector<RangeRow>& aRows,
                             Duration aLease,
                             MonoTime aNow);

  /** \brief Whether a heartbeat is older than what is known. */
  bool IsStale(const ServerHeartbeat& aHeartbeat) const;

  /**
   * \brief Takes up the incarnation that an earlier process of this daemon
   * served, so that a late heartbeat of a incarnation before it is recognized
   * as stale.
   */
  void Adopt(const ServerIncarnation& aIncarnation);

  /** \brief Incarnation that the last heartbeat came from; none before the
   * first. */
  const std::optional<ServerIncarnation>& Incarnation() const
  {
    return m_incarnation;
  }

  /**
   * \brief Begins to take a range away.
   * \param aFence of the row that it is a part of.
   */
  void Revoke(const KeyRange& aRange,
              Fence aFence,
              const std::optional<RangeHolder>& aNext);

  /** \brief Begins to take everything away, as before a planned stop. */
  void RevokeAll() { m_revokingAll = true; }
  bool RevokingAll() const { return m_revokingAll; }

  /**
   * \brief The holds have ended without a heartbeat: these rows are never
   * renewed, only granted anew under a higher fence.
   */
  void RelinquishExpired(const std::vector<RangeRow>& aRows);

  /** \brief Whether requests for a key may be started. */
  bool MayServe(ShardKey aKey, MonoTime aNow) const;

  /** \brief Whether a key is on its way out. */
  bool IsRevoking(ShardKey aKey) const;

  /** \brief Ranges relinquished since the last call. */
  std::vector<Relinquished> TakeRelinquished();

  /** \brief Whether the last grant has certainly run out. */
  bool HoldsExpired(MonoTime aNow) const { return aNow >= m_holdEnds; }

  /** \brief When it will have. */
  MonoTime HoldsExpireAt() const { return m_holdEnds; }

private:
  struct Revocation
  {
    KeyRange range;
    Fence fence;
    std::optional<RangeHolder> next;
    bool omitted = false;  ///< A reply left it out.
    bool released = false; ///< Stays out until the table says so, too.
  };

  void BeginIncarnation(const ServerHeartbeat& aHeartbeat);
  void CollectReleased(const ServerHeartbeat& aHeartbeat);
  void ForgetReassigned(const std::vector<RangeRow>& aRows);
  void Relinquish(const Revocation& aRevocation,
                  const std::vector<ReleasedRange>& aReleased);
  std::vector<KeyRange> WithoutRevoked(const KeyRange& aRange,
                                       Fence aFence) const;
  std::vector<GrantedRange> Grants(const std::vector<RangeRow>& aRows) const;

  GrantSettings m_settings;
  std::optional<ServerIncarnation> m_incarnation;
  int64_t m_sequence = 0;
  std::vector<GrantedRange> m_granted; ///< By the last reply that renewed.
  std::vector<Revocation> m_revocations;
  std::vector<Relinquished> m_relinquished;
  bool m_revokingAll = false;
  MonoTime m_servesUntil; ///< The hold lasts at least until then.
  MonoTime m_holdEnds;    ///< The hold has certainly ended then.
};

/**
 * \brief Gives relinquished ranges to who is to have them next, or frees them.
 * \return whether the table was changed.
 */
bool ReassignRelinquished(RangeTable& aTable,
                          const MeshState& aState,
                          const ServiceName& aService,
                          const RangeHolder& aHolder,
                          const std::vector<Relinquished>& aRanges);

}

#endif
