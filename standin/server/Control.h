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
  double loadFactor = 1; ///< The reported load is the true one times this.
  Duration work{};       ///< Of requests that name none.
  Duration freeze{};     ///< Taken once: the process stops for so long.
  Duration cold{};       ///< Length of the cold start.
  MonoTime coldSince;

  /** \brief Applies the parameters that the query names. */
  void Apply(const Target& aTarget, MonoTime aNow);

  /** \brief Work slowed down by the cold start. */
  Duration SlowedDown(Duration aWork, MonoTime aNow) const;

  bool DrawShed(RandomEngine& aRandom) const;
};

}

#endif
