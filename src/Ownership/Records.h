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

/** \brief What an entry is about: a hash range, or one pinned key of it. */
struct EntryKey
{
  ServiceName service;
  RangeIndex range;
  std::string pinnedKey; ///< Empty: the range itself.

  auto operator<=>(const EntryKey&) const = default;
};

/**
 * \brief A daemon joins; the record's offset becomes its DaemonId.
 *
 * `previous` names an earlier incarnation of the same process or slot, whose
 * end the writer attests: it has stopped for good before this is appended.
 */
struct JoinRecord
{
  BootId boot;
  std::optional<DaemonId> previous;
  Endpoint inner;   ///< Towards other daemons.
  Endpoint callers; ///< Towards callers.
  Endpoint server;  ///< The backend server beside the daemon.
  HostName host;
  ZoneName zone;
  RegionName region;
  std::vector<ServiceName> services;
  uint32_t slots = 0;
  bool checksFences = true;
  std::string kernelBoot; ///< Names one run of the host's kernel; may be empty.

  bool operator==(const JoinRecord&) const = default;
};

/** \brief A planned leave begins; the daemon gets nothing new. */
struct LeavingRecord
{
  DaemonId daemon;

  bool operator==(const LeavingRecord&) const = default;
};

/** \brief Why a daemon is known to hold nothing any more. */
enum class GoneCause : uint8_t
{
  kSealed,   ///< A majority of its witnesses sealed it.
  kLeft,     ///< It left, or its process attested its end.
  kAttested, ///< An operator attests that its host is off.
  kRetired,  ///< By RetireRecord; counts a while after it is read.
};

/** \brief A daemon is no member any more; `by` is the member that says so. */
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
  Offset replaces; ///< The term in force that the claimant read; 0 for none.

  bool operator==(const PlannerTermRecord&) const = default;
};

/** \brief One new entry: owner and successors in order of succession. */
struct Assignment
{
  EntryKey key;
  std::optional<Offset> base; ///< Entry that it replaces; none for a first one.
  DaemonId owner;
  std::vector<DaemonId> successors; ///< At most kMaxSuccessors.

  bool operator==(const Assignment&) const = default;
};

/** \brief New entries; each is judged alone, all share this offset. */
struct AssignRecord
{
  Offset term;
  DaemonId planner;
  std::vector<Assignment> assignments;

  bool operator==(const AssignRecord&) const = default;
};

/** \brief Gives a key an entry of its own with its range's succession. */
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
 * Valid while pin and range are held in the same order of succession; the
 * range gets a new entry of that order at this offset.
 */
struct UnpinRecord
{
  Offset term;
  DaemonId planner;
  std::vector<EntryKey> keys; ///< With pinnedKey.

  bool operator==(const UnpinRecord&) const = default;
};

/** \brief One entry that a daemon started to hold. */
struct HeldEntry
{
  EntryKey key;
  Offset entry;
  Rank rank;

  bool operator==(const HeldEntry&) const = default;
};

/** \brief A daemon holds these entries. */
struct HeldRecord
{
  DaemonId daemon;
  std::vector<HeldEntry> entries;

  bool operator==(const HeldRecord&) const = default;
};

/**
 * \brief Names a leaseholder's witnesses; the record's offset names the set.
 *
 * Written by the leaseholder alone. `base` is the set in force, 0 for none.
 */
struct WitnessSetRecord
{
  DaemonId leaseholder;
  Offset base;
  std::vector<DaemonId> witnesses; ///< Empty only for a lone daemon.

  bool operator==(const WitnessSetRecord&) const = default;
};

/** \brief The leaseholder counts on set `set` and no longer on the one before.
 */
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

/** \brief A daemon gives up its rank in entries; carried out as in R2. */
struct PassRecord
{
  DaemonId daemon;
  std::vector<PassedEntry> entries;

  bool operator==(const PassRecord&) const = default;
};

/**
 * \brief Removes a leaseholder whose witnesses are too few to seal it (R8).
 *
 * Valid only against the leaseholder's set in force, when a majority of that
 * set is recorded as gone and not merely retired.
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

/** \brief Successors per entry at most. */
inline constexpr size_t kMaxSuccessors = 3;

/** \brief Witnesses per leaseholder where the mesh is large enough. */
inline constexpr size_t kWitnesses = 3;

}

#endif
