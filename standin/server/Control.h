#ifndef PISTACHIOSHIFT_STANDIN_SERVER_CONTROL_H
#define PISTACHIOSHIFT_STANDIN_SERVER_CONTROL_H

#include "src/Base/Clock.h"
#include "src/Base/Random.h"
#include "standin/server/Request.h"

namespace pistachioshift::standin {

/** \brief Behaviour that POST /control changes while the server runs. */
struct Control
{
  bool draining = false;
  double shed = 0;       ///< Share of requests refused, 0 to 1.
  double loadFactor = 1; ///< Reported load divided by actual load.
  Duration work{};       ///< Work of requests that specify none.
  Duration freeze{};     ///< Applied once: blocks the process this long.
  Duration cold{};       ///< Length of the cold start.
  MonoTime coldSince;

  /** \brief Applies the query; absent parameters except freeze are kept. */
  void Apply(const Target& aTarget, MonoTime aNow);

  /** \brief Returns the work time as lengthened by a cold start in progress. */
  Duration WithColdStart(Duration aWork, MonoTime aNow) const;

  /** \brief Decides at random, with the probability shed. */
  bool ShouldShed(RandomEngine& aRandom) const;
};

}

#endif
