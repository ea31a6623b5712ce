#ifndef PISTACHIOSHIFT_OWNERSHIP_NODESETTINGS_H
#define PISTACHIOSHIFT_OWNERSHIP_NODESETTINGS_H

#include "src/Base/Clock.h"

namespace pistachioshift {

namespace internal {

/** \brief One rule weakened, to show that a property catches it. */
enum class Mutation
{
  kNone,
  kServeWithoutLease, ///< R1: requests start after the lease has ended.
  kAdoptUnwitnessed,  ///< R2: changes are carried out once applied.
  kFirstSetAlone,     ///< R2: seals of the old set alone are evidence.
  kSealAtOnce,        ///< R3: seals also a leaseholder that isn't silent.
  kOneSeal,           ///< R4: one seal is evidence enough.
  kNoCatchUp,         ///< R4: seals above the offset applied count too.
  kIgnoreVersion,     ///< R5: a sealed holder counts as out before a move.
  kForgetOldChain, ///< R5: successors of a move need no evidence of the base.
  kNoFenceWait,    ///< R6: unchecked fences get no wait.
  kReleaseBusy,    ///< R7: released while requests run.
  kSwitchUnwitnessed, ///< R8: the old witness set needs no majority.
  kPlainLease,        ///< R8: acks of witnesses without a lease count.
  kRetireAtOnce,      ///< R8: a retired leaseholder counts as out when read.
};

}

/** \brief Durations of leases and takeovers; alike on all daemons. */
struct NodeSettings
{
  /** \brief Time between OnTick calls. */
  Duration tickInterval = std::chrono::milliseconds(50);
  /** \brief Time between renewals with each witness. */
  Duration renewInterval = std::chrono::milliseconds(200);
  /** \brief Lease L, on the leaseholder's clock from the send time. */
  Duration lease = std::chrono::milliseconds(700);
  /** \brief Bound of clock drift between hosts, in parts of a whole. */
  double drift = 0.01;
  /** \brief Gap between ticks past which own silences count anew. */
  Duration maxTickGap = std::chrono::milliseconds(250);
  /** \brief Time until a query or request without answer is repeated. */
  Duration retryInterval = std::chrono::milliseconds(100);
  /** \brief A witness that acks nothing for this long is replaced. */
  Duration witnessTimeout = std::chrono::seconds(2);
  /** \brief After this a planned leave lets nothing new start (R7). */
  Duration leaveTimeout = std::chrono::seconds(2);
  /** \brief Further time that a leaving daemon gives its leaseholders. */
  Duration handoverTimeout = std::chrono::seconds(5);
  /** \brief Steps by which daemons wait that could write the same record. */
  Duration removalStagger = std::chrono::milliseconds(500);
  /** \brief Entries started within this time share a HeldRecord. */
  Duration heldBatchWindow = std::chrono::milliseconds(200);

  internal::Mutation mutation = internal::Mutation::kNone;

  /** \brief A time that is no shorter by any host's clock: t(1+drift). */
  Duration WithDriftMargin(Duration aTime) const;

  /** \brief Silence after which a witness may seal: L(1+drift). */
  Duration SealTimeout() const;
};

}

#endif
