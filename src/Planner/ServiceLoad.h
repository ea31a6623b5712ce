#ifndef PISTACHIOSHIFT_PLANNER_SERVICELOAD_H
#define PISTACHIOSHIFT_PLANNER_SERVICELOAD_H

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief A range of a service, or one key that is pinned out of its range. */
struct EntryName
{
  RangeIndex range;
  std::string pinnedKey; ///< Empty for the range itself.

  bool IsPinned() const { return !pinnedKey.empty(); }
  auto operator<=>(const EntryName&) const = default;
};

/**
 * \brief Load of an entry: weighted service, per second.
 *
 * Requests times the weight of their class, so that the same requests are the
 * same load on a fast and on a slow backend server.
 */
struct EntryLoad
{
  EntryName name;
  DaemonId owner;
  double load = 0.0;                ///< Of a range: without its pinned keys.
  std::optional<DaemonId> movingTo; ///< A move that is not complete.
  std::optional<MonoTime> movedAt;  ///< End of its last move.
};

/** \brief A key that a sketch holds and that is not pinned. */
struct HotKey
{
  std::string key;
  RangeIndex range;
  double load = 0.0; ///< Weighted service per second, at least.
};

/** \brief One owner of the service. */
struct ServerCapacity
{
  DaemonId id;
  double capacity = 1.0;    ///< Load that it can serve.
  bool takesEntries = true; ///< False if draining, cold or silent.
};

/** \brief What the planner knows of one service, gathered from all owners. */
struct ServiceLoad
{
  std::vector<ServerCapacity> servers;
  std::vector<EntryLoad> entries;
  std::vector<HotKey> hotKeys;
};

enum class ProposalKind : uint8_t
{
  kMove,
  kPin,   ///< Takes a key out of its range and moves it.
  kUnpin, ///< Returns a key to its range, on the same owner.
};

/** \brief A change of ownership that the planner asks for. */
struct Proposal
{
  ProposalKind kind = ProposalKind::kMove;
  EntryName entry;
  DaemonId from;
  DaemonId to;

  auto operator<=>(const Proposal&) const = default;
};

}

#endif
