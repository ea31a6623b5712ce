#ifndef PISTACHIOSHIFT_OWNERSHIP_RECORDS_H
#define PISTACHIOSHIFT_OWNERSHIP_RECORDS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/Base/Ids.h"

namespace pistachioshift {

/** \brief Key of an entry: a hash range, or one pinned key of a range. */
struct EntryKey
{
  ServiceName service;
  RangeIndex range;
  std::string pinnedKey; ///< Empty for the range itself.

  auto operator<=>(const EntryKey&) const = default;
};

/**
 * \brief A daemon joins; the offset of the record becomes its DaemonId.
 *
 * `previous` names an earlier incarnation of the same process or slot. The
 * writer appends the record only after that incarnation has ended for good.
 */
struct JoinRecord
{
  BootId boot;
  std::optional<DaemonId> previous;
  Endpoint inner;   ///< Where other daemons connect.
  Endpoint callers; ///< Where callers connect.
  Endpoint server;  ///< The daemon's own backend server.
  HostName host;
  ZoneName zone;
  RegionName region;
  std::vector<ServiceName> services;
  uint32_t slots = 0;
  bool checksFences = true;
  std::string kernelBoot; ///< Boot id of the host's kernel; may be empty.

  bool operator==(const JoinRecord&) const = default;
};

/** \brief A planned leave begins; the daemon is assigned no new entries. */
struct LeavingRecord
{
  DaemonId daemon;

  bool operator==(const LeavingRecord&) const = default;
};

/** \brief Why a daemon is known to hold no entry any more. */
enum class GoneCause : uint8_t
{
  kSealed,   ///< A majority of its witnesses sealed its lease.
  kLeft,     ///< It left, or a later incarnation named it.
  kAttested, ///< An operator attests that its host is down.
  kRetired,  ///< By RetireRecord; takes effect L(1+drift) after it is read.
};

/** \brief Removes a daemon from the members; written by member `by`. */
struct GoneRecord
{
  DaemonId daemon;
  DaemonId by;
  GoneCause cause = GoneCause::kSealed;

  bool operator==(const GoneRecord&) const = default;
};

/** \brief Claims a planner term; its offset is the term. */
struct PlannerTermRecord
{
  DaemonId planner;
  Offset replaces; ///< Current term as the claimant read it; 0 for none.

  bool operator==(const PlannerTermRecord&) const = default;
};

/** \brief A new entry: the owner, then its successors in order. */
struct Assignment
{
  EntryKey key;
  std::optional<Offset> base; ///< Entry to replace, unless it is the first.
  DaemonId owner;
  std::vector<DaemonId> successors; ///< At most kMaxSuccessors.

  bool operator==(const Assignment&) const = default;
};

/** \brief New entries at this offset, each accepted or refused by itself. */
struct AssignRecord
{
  Offset term;
  DaemonId planner;
  std::vector<Assignment> assignments;

  bool operator==(const AssignRecord&) const = default;
};

/** \brief Gives keys entries of their own, with the holders of their range. */
struct PinRecord
{
  Offset term;
  DaemonId planner;
  std::vector<EntryKey> keys; ///< With pinnedKey.

  bool operator==(const PinRecord&) const = default;
};

/**
 * \brief Returns pinned keys to their ranges.
 *
 * Valid while the entries of key and range have the same holders in the same
 * order and the same recorded rank. The range gets a new entry with these
 * holders at this offset.
 */
struct UnpinRecord
{
  Offset term;
  DaemonId planner;
  std::vector<EntryKey> keys; ///< With pinnedKey.

  bool operator==(const UnpinRecord&) const = default;
};

/** \brief An entry that a daemon started to hold, and its rank in it. */
struct HeldEntry
{
  EntryKey key;
  Offset entry;
  Rank rank;

  bool operator==(const HeldEntry&) const = default;
};

/** \brief Records which entries a daemon holds. */
struct HeldRecord
{
  DaemonId daemon;
  std::vector<HeldEntry> entries;

  bool operator==(const HeldRecord&) const = default;
};

/**
 * \brief Names the witnesses of a leaseholder; the offset identifies the set.
 *
 * Written by the leaseholder only. `base` is the current set, 0 for none.
 */
struct WitnessSetRecord
{
  DaemonId leaseholder;
  Offset base;
  std::vector<DaemonId> witnesses; ///< Empty only for a sole member.

  bool operator==(const WitnessSetRecord&) const = default;
};

/** \brief The lease now depends on `set` and no longer on the set before. */
struct WitnessSetSwitchedRecord
{
  DaemonId leaseholder;
  Offset set;

  bool operator==(const WitnessSetSwitchedRecord&) const = default;
};

/** \brief An entry in which a daemon gives up its rank. */
struct PassedEntry
{
  EntryKey key;
  Offset entry;

  bool operator==(const PassedEntry&) const = default;
};

/** \brief A daemon gives up its rank in entries; adopted like a move (R2). */
struct PassRecord
{
  DaemonId daemon;
  std::vector<PassedEntry> entries;

  bool operator==(const PassRecord&) const = default;
};

/**
 * \brief Removes a leaseholder with too few witnesses left to seal it (R8).
 *
 * Valid only for the leaseholder's current set, once a majority of that set is
 * recorded as gone for another cause than GoneCause::kRetired.
 */
struct RetireRecord
{
  DaemonId leaseholder;
  Offset set;

  bool operator==(const RetireRecord&) const = default;
};

/** \brief A record of the log stream `ownership`. */
using OwnershipRecord = std::variant<JoinRecord,
                                     LeavingRecord,
                                     GoneRecord,
                                     PlannerTermRecord,
                                     AssignRecord,
                                     PinRecord,
                                     UnpinRecord,
                                     HeldRecord,
                                     WitnessSetRecord,
                                     WitnessSetSwitchedRecord,
                                     PassRecord,
                                     RetireRecord>;

/** \brief Highest number of successors of an entry. */
inline constexpr size_t kMaxSuccessors = 3;

/** \brief Witnesses of a leaseholder if the mesh has enough daemons. */
inline constexpr size_t kWitnesses = 3;

}

#endif
