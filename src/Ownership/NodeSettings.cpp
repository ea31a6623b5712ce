#include "src/Ownership/NodeSettings.h"

namespace pistachioshift {

Duration
NodeSettings::WithDriftMargin(Duration aTime) const
{
  return std::chrono::duration_cast<Duration>(aTime * (1.0 + drift));
}

Duration
NodeSettings::SealTimeout() const
{
  return WithDriftMargin(lease);
}

}
