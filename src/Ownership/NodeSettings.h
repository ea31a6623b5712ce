#ifndef PISTACHIOSHIFT_OWNERSHIP_NODESETTINGS_H
#define PISTACHIOSHIFT_OWNERSHIP_NODESETTINGS_H

#include "src/Base/Clock.h"

namespace pistachioshift {

namespace internal {

/** \brief One rule weakened, to show that a property catches it. */
enum class Weakening
{
  kNone,
};

}

/** \brief Durations of leases and takeovers; alike on all daemons. */
struct NodeSettings
{
  /** \brief Time between OnTick calls. */
  Duration tickInterval = std::chrono::milliseconds(50);
  /** \brief Time between renewals with each guardian. */
  Duration renewInterval = std::chrono::milliseconds(200);
  /** \brief Lease L, on the ward's clock from the send time. */
  Duration lease = std::chrono::milliseconds(700);
  /** \brief Bound of clock drift between hosts, in parts of a whole. */
  double drift = 0.01;
  /** \brief Gap between ticks past which own silences count anew. */
  Duration tickGap = std::chrono::milliseconds(250);
  /** \brief Time until a query or request without answer is repeated. */
  Duration retryInterval = std::chrono::milliseconds(100);
  /** \brief A guardian that acks nothing for this long is replaced. */
  Duration guardianPatience = std::chrono::seconds(2);
  /** \brief A planned leave goes on without a successor after this. */
  Duration leavePatience = std::chrono::seconds(20);

  internal::Weakening weakening = internal::Weakening::kNone;

  /** \brief Silence after which a guardian may seal: L(1+drift). */
  Duration SilenceToSeal() const;
};

}

#endif
