#ifndef PISTACHIOSHIFT_RANGES_ACKNOWLEDGEDLEAVES_H
#define PISTACHIOSHIFT_RANGES_ACKNOWLEDGEDLEAVES_H

#include <cstddef>
#include <vector>

#include "src/Ranges/GrantManager.h"

namespace pistachioshift {

/** \brief What acknowledged leaves say of an incarnation. */
enum class LeaveVerdict
{
  kNone,     ///< None concerns it.
  kPossible, ///< One of the same id, or one no longer kept, may concern it.
  kLeft,
};

/**
 * \brief Leaves of backend servers that this process has acknowledged. Performs
 * no I/O.
 *
 * Heartbeats of an incarnation may arrive after its leave, also the first of
 * them. A leave is therefore kept whether or not the incarnation is known.
 */
class AcknowledgedLeaves
{
public:
  /**
   * \brief Adds a leave.
   * \param aNow time of the acknowledgement. A leave that does not state a
   * start concerns the incarnations that were started until then.
   */
  void Add(ServerLeave aLeave, WallTime aNow);

  /** \brief Whether an incarnation has left. One with a later start time than
   * a leave of its id names need not be a later one: the time of day may have
   * been set back, and its heartbeat may be late. */
  LeaveVerdict VerdictOn(const ServerIncarnation& aIncarnation) const;

private:
  /// One per server id, with the latest start; the last one added at the end.
  std::vector<ServerLeave> m_leaves;
  bool m_dropped = false; ///< Leaves have been dropped to bound memory.
};

}

#endif
