#include "src/Ownership/NodeSettings.h"

namespace pistachioshift {

Duration
NodeSettings::SilenceToSeal() const
{
  return std::chrono::duration_cast<Duration>(lease * (1.0 + drift));
}

}
