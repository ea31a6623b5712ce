#ifndef PISTACHIOSHIFT_HOSTDAEMON_KEYLOADMETER_H
#define PISTACHIOSHIFT_HOSTDAEMON_KEYLOADMETER_H

#include <map>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ranges/LoadMap.h"

namespace pistachioshift {

/**
 * \brief Request rate per key in requests per second, as an exponentially
 * decaying mean. Does no I/O and reads no clock.
 *
 * Adjacent keys with little load share a bucket. A bucket carries at most a
 * small share of the total load, unless it consists of a single key, so busy
 * keys are resolved individually.
 */
class KeyLoadMeter
{
public:
  void Count(ShardKey aKey, double aWeight)
  {
    m_arrived[aKey.Value()] += aWeight;
  }

  /**
   * \brief Ends the current interval.
   * \param aMaxBuckets approximate bound of the number of buckets.
   * \return the load of all keys with recent requests, by ascending key.
   */
  std::vector<LoadBucket> EndInterval(MonoTime aNow, size_t aMaxBuckets);

private:
  std::map<uint32_t, double> m_arrived; ///< Requests in the current interval.
  std::map<uint32_t, double> m_rates;   ///< Requests per second.
  MonoTime m_intervalStart;
};

}

#endif
