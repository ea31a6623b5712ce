#ifndef PISTACHIOSHIFT_OWNERSHIP_MESSAGES_H
#define PISTACHIOSHIFT_OWNERSHIP_MESSAGES_H

#include <cstdint>
#include <variant>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Ownership/Records.h"

namespace pistachioshift {

/** \brief Last offsets of the two streams that a daemon has applied. */
struct AppliedOffsets
{
  Offset ownership;
  Offset document;

  bool operator==(const AppliedOffsets&) const = default;
};

/** \brief Leaseholder to witness: renews the lease. */
struct Renew
{
  uint64_t sequence = 0; ///< Of the leaseholder, which keeps the send time.
  Offset set;            ///< Witness set that the lease depends on.
  Offset version;        ///< Ownership offset up to which it may adopt changes.
  AppliedOffsets applied;

  bool operator==(const Renew&) const = default;
};

/** \brief Witness to leaseholder: ack of the renewal with that sequence. */
struct RenewAck
{
  uint64_t sequence = 0;
  Offset version;      ///< Highest version sent to the witness.
  bool firm = false;   ///< The witness holds a plain lease itself.
  bool sealed = false; ///< Not renewed: the lease is sealed for good.
  AppliedOffsets applied;

  bool operator==(const RenewAck&) const = default;
};

/** \brief Witness to other witnesses and holders: a leaseholder is silent. */
struct SilenceReport
{
  DaemonId leaseholder;
  AppliedOffsets applied;

  bool operator==(const SilenceReport&) const = default;
};

/** \brief Asks a witness to seal a leaseholder if it is still silent. */
struct SealRequest
{
  DaemonId leaseholder;

  bool operator==(const SealRequest&) const = default;
};

/** \brief Answer of a witness: the leaseholder is sealed at this version. */
struct SealReply
{
  DaemonId leaseholder;
  Offset version;

  bool operator==(const SealReply&) const = default;
};

/** \brief A key and the offset of the change that ends a daemon's hold. */
struct ReleaseItem
{
  EntryKey key;
  Offset below; ///< Asks whether all entries of the key below it are released.

  auto operator<=>(const ReleaseItem&) const = default;
};

/** \brief Next holder to an earlier one: asks which items are released. */
struct ReleaseQuery
{
  std::vector<ReleaseItem> items; ///< At most kMaxReleaseItems.

  bool operator==(const ReleaseQuery&) const = default;
};

/** \brief Lists the items that are released for good; leaves out the others. */
struct ReleaseReply
{
  std::vector<ReleaseItem> items; ///< At most kMaxReleaseItems.

  bool operator==(const ReleaseReply&) const = default;
};

/** \brief A control message between two daemon incarnations. */
using ControlMessage = std::variant<Renew,
                                    RenewAck,
                                    SilenceReport,
                                    SealRequest,
                                    SealReply,
                                    ReleaseQuery,
                                    ReleaseReply>;

/** \brief Highest number of items in a release message, to fit a datagram. */
inline constexpr size_t kMaxReleaseItems = 16;

}

#endif
