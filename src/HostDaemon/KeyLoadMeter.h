#ifndef PISTACHIOSHIFT_HOSTDAEMON_KEYLOADMETER_H
#define PISTACHIOSHIFT_HOSTDAEMON_KEYLOADMETER_H

#include <map>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Ranges/LoadMap.h"

namespace pistachioshift {

/**
 * \brief Requests a second by key, as a decaying mean. Pure.
 *
 * Neighbouring keys are told apart where they are busy: a bucket carries at
 * most a small share of the whole load unless it is a single key.
 */
class KeyLoadMeter
{
public:
  void Count(ShardKey aKey, double aWeight)
  {
    m_arrived[aKey.Value()] += aWeight;
  }

  /** \brief Ends an interval and gives the load of all keys seen lately. */
  std::vector<LoadBucket> EndInterval(MonoTime aNow);

private:
  std::map<uint32_t, double> m_arrived; ///< In this interval.
  std::map<uint32_t, double> m_rates;
  MonoTime m_intervalStart;
};

}

#endif
