#include "src/Ownership/NodeSettings.h"

namespace pistachioshift {

Duration
NodeSettings::Stretched(Duration aTime) const
{
  return std::chrono::duration_cast<Duration>(aTime * (1.0 + drift));
}

Duration
NodeSettings::SilenceToSeal() const
{
  return Stretched(lease);
}

}
