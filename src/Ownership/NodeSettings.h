#ifndef PISTACHIOSHIFT_OWNERSHIP_NODESETTINGS_H
#define PISTACHIOSHIFT_OWNERSHIP_NODESETTINGS_H

#include "src/Base/Clock.h"

namespace pistachioshift {

namespace internal {

/**
 * \brief A mutation that disables part of one rule.
 *
 * For mutation tests: each must break a safety property in some schedule.
 */
enum class Mutation
{
  kNone,
  kServeWithoutLease, ///< R1: starts requests after the lease has ended.
  kAdoptUnwitnessed,  ///< R2: adopts changes when applied, without acks.
  kFirstSetAlone,     ///< R2: accepts seals of the old witness set alone.
  kSealAtOnce,        ///< R3: seals a leaseholder that still renews.
  kOneSeal,           ///< R4: accepts one seal instead of a majority.
  kNoCatchUp,         ///< R4: counts seals above the applied offset.
  kIgnoreVersion,     ///< R5: assumes that a sealed holder adopted no move.
  kForgetOldChain,    ///< R5: successors ignore the holders of older entries.
  kNoFenceWait,       ///< R6: no wait where fences are not checked.
  kReleaseBusy,       ///< R7: releases entries while requests run.
  kSwitchUnwitnessed, ///< R8: switches without a majority of the old set.
  kPlainLease,        ///< R8: counts acks of witnesses without a lease.
  kRetireAtOnce,      ///< R8: a retired leaseholder is out at once.
};

}

/** \brief Durations of leases and takeovers; must be equal on all daemons. */
struct NodeSettings
{
  /** \brief Time between OnTick calls. */
  Duration tickInterval = std::chrono::milliseconds(50);
  /** \brief Time between renewals with each witness. */
  Duration renewInterval = std::chrono::milliseconds(200);
  /** \brief Lease L, from the send time, by the leaseholder's clock. */
  Duration lease = std::chrono::milliseconds(700);
  /** \brief Highest relative clock drift between two hosts. */
  double drift = 0.01;
  /** \brief A longer gap between ticks restarts the silence of leaseholders. */
  Duration maxTickGap = std::chrono::milliseconds(250);
  /** \brief Time until an unanswered query or request is repeated. */
  Duration retryInterval = std::chrono::milliseconds(100);
  /** \brief A witness that sent no ack for this long is replaced. */
  Duration witnessTimeout = std::chrono::seconds(2);
  /** \brief A planned leave starts no new requests after this time (R7). */
  Duration leaveTimeout = std::chrono::seconds(2);
  /** \brief Further time for leaseholders to replace a leaving witness. */
  Duration handoverTimeout = std::chrono::seconds(5);
  /** \brief Difference in delay between daemons that may write one record. */
  Duration removalStagger = std::chrono::milliseconds(500);
  /** \brief Entries started within this time share a HeldRecord. */
  Duration heldBatchWindow = std::chrono::milliseconds(200);

  internal::Mutation mutation = internal::Mutation::kNone;

  /** \brief t(1+drift): at least t by the clock of any host. */
  Duration WithDriftMargin(Duration aTime) const;

  /** \brief Silence after which a witness may seal: L(1+drift). */
  Duration SealTimeout() const;
};

}

#endif
