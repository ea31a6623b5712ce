#ifndef PISTACHIOSHIFT_OWNERSHIP_MESSAGES_H
#define PISTACHIOSHIFT_OWNERSHIP_MESSAGES_H

#include <cstdint>
#include <variant>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Ownership/Records.h"

namespace pistachioshift {

/** \brief How far a daemon has applied the two streams. */
struct AppliedOffsets
{
  Offset ownership;
  Offset document;

  bool operator==(const AppliedOffsets&) const = default;
};

/** \brief Leaseholder to witness: asks it not to seal the leaseholder for a
 * lease. */
struct Renew
{
  uint64_t sequence =
    0;            ///< Of the leaseholder; the leaseholder keeps its send time.
  Offset set;     ///< Witness set for which this witness is asked.
  Offset version; ///< Ownership offset whose changes it is ready for.
  AppliedOffsets applied;

  bool operator==(const Renew&) const = default;
};

/** \brief Witness to leaseholder: the promise for the renewal of that sequence.
 */
struct RenewAck
{
  uint64_t sequence = 0;
  Offset version;      ///< The highest version that the witness knows.
  bool firm = false;   ///< The witness's own lease is held.
  bool sealed = false; ///< No promise: this leaseholder is sealed for good.
  AppliedOffsets applied;

  bool operator==(const RenewAck&) const = default;
};

/** \brief Witness to successors and fellow witnesses: the leaseholder is
 * silent. */
struct SilenceReport
{
  DaemonId leaseholder;
  AppliedOffsets applied;

  bool operator==(const SilenceReport&) const = default;
};

/** \brief Successor to witness: asks to seal the leaseholder if it is silent
 * still.
 */
struct SealRequest
{
  DaemonId leaseholder;

  bool operator==(const SealRequest&) const = default;
};

/** \brief Witness to successor: the leaseholder is sealed at this version. */
struct SealReply
{
  DaemonId leaseholder;
  Offset version;

  bool operator==(const SealReply&) const = default;
};

/** \brief A key and the offset of the change that ends a daemon's part. */
struct ReleaseItem
{
  EntryKey key;
  Offset below; ///< Asked: is everything of the key below it released?

  auto operator<=>(const ReleaseItem&) const = default;
};

/** \brief Next holder to an earlier one: which of these are released? */
struct ReleaseQuery
{
  std::vector<ReleaseItem> items; ///< At most kMaxReleaseItems.

  bool operator==(const ReleaseQuery&) const = default;
};

/** \brief Lists those released for good; the rest isn't mentioned. */
struct ReleaseReply
{
  std::vector<ReleaseItem> items; ///< At most kMaxReleaseItems.

  bool operator==(const ReleaseReply&) const = default;
};

/** \brief A control message; sender and addressee are incarnations. */
using ControlMessage = std::variant<Renew,
                                    RenewAck,
                                    SilenceReport,
                                    SealRequest,
                                    SealReply,
                                    ReleaseQuery,
                                    ReleaseReply>;

/** \brief Items of one release message, so that it fits a datagram. */
inline constexpr size_t kMaxReleaseItems = 16;

}

#endif
