#ifndef PISTACHIOSHIFT_PLANNER_SERVICELOAD_H
#define PISTACHIOSHIFT_PLANNER_SERVICELOAD_H

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"

namespace pistachioshift {

/**
 * \brief Name of an entry within a service: a range, or a key that is pinned,
 * which means that it is owned separately from the other keys of its range.
 */
struct EntryName
{
  RangeIndex range;
  std::string pinnedKey; ///< Empty for the range itself.

  bool IsPinned() const { return !pinnedKey.empty(); }
  auto operator<=>(const EntryName&) const = default;
};

/**
 * \brief Load of an entry, in weighted requests per second.
 *
 * Each request counts with the weight of its class and not with its run time,
 * so that the same requests are the same load on a fast and on a slow backend
 * server.
 */
struct EntryLoad
{
  EntryName name;
  DaemonId owner;
  double load = 0.0;                ///< Of a range: excludes its pinned keys.
  std::optional<DaemonId> movingTo; ///< Target of a move in progress.
  std::optional<MonoTime> movedAt;  ///< When its last move ended.
};

/** \brief A heavy hitter found by an owner's sketch, and not pinned. */
struct HotKey
{
  std::string key;
  RangeIndex range;
  double load = 0.0; ///< Lower bound, in weighted requests per second.
};

/** \brief A daemon that can own entries of the service. */
struct ServerCapacity
{
  DaemonId id;
  double capacity = 1.0;    ///< In proportion to the load it can serve.
  bool takesEntries = true; ///< False if it is draining, warming up or has
                            ///< stopped reporting.
};

/** \brief Input of the planner: loads of one service as its owners report them.
 */
struct ServiceLoad
{
  std::vector<ServerCapacity> servers;
  std::vector<EntryLoad> entries;
  std::vector<HotKey> hotKeys;
};

enum class ProposalKind : uint8_t
{
  kMove,
  kPin,   ///< Separates a key from its range and moves it to another owner.
  kUnpin, ///< Merges a pinned key into its range, which has the same owner.
};

/** \brief A change of ownership proposed by the planner. */
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
