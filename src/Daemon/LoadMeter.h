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
 * \brief Load of the entries held here, and the hottest keys among them.
 *
 * Load is requests served times the weight of their class. Memory is bounded
 * by the entries held and the size of the sketch. Pure.
 */
class LoadMeter
{
public:
  /** \brief Counts a served request. */
  void Add(const EntryKey& aEntry, const std::string& aKey, double aWeight);

  /**
   * \brief Reports of the time since the last call, one per service.
   * \param aElapsed that time, more than 0.
   */
  std::vector<LoadReport> EndInterval(DaemonId aSelf, Duration aElapsed);

private:
  struct ServiceMeter
  {
    std::map<EntryKey, double> entries;
    KeySketch keys;
    std::map<std::string, RangeIndex> ranges; ///< Of keys in the sketch.

    ServiceMeter();
  };

  static void TrimRanges(ServiceMeter& aMeter);

  std::map<ServiceName, ServiceMeter> m_services;
};

}

#endif
