#ifndef PISTACHIOSHIFT_DAEMON_LOADMETER_H
#define PISTACHIOSHIFT_DAEMON_LOADMETER_H

#include <map>
#include <string>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Inner/Frames.h"
#include "src/Ownership/Records.h"
#include "src/Routing/KeySketch.h"

namespace pistachioshift {

/**
 * \brief Measures the load of the entries held here and of their hottest keys.
 *
 * The load is the number of requests served, weighted by request class. Memory
 * is bounded by the number of entries held and the size of the sketch. Pure.
 */
class LoadMeter
{
public:
  /** \brief Counts a served request. */
  void Add(const EntryKey& aEntry, const std::string& aKey, double aWeight);

  /**
   * \brief Reports the load since the last call, one report per service, and
   * starts a new interval.
   * \param aElapsed time since the last call, more than 0.
   */
  std::vector<LoadReport> EndInterval(DaemonId aSelf, Duration aElapsed);

private:
  struct ServiceMeter
  {
    std::map<EntryKey, double> entries;
    KeySketch keys;
    std::map<std::string, RangeIndex>
      ranges; ///< Ranges of the keys in the sketch.

    ServiceMeter();
  };

  static void TrimRanges(ServiceMeter& aMeter);

  std::map<ServiceName, ServiceMeter> m_services;
};

}

#endif
