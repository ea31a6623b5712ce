#include "src/HostDaemon/GateClasses.h"

#include <algorithm>

namespace pistachioshift {

namespace {

/** Number of classes at the gate, one for each priority; less urgent priorities
 * share the last class. */
constexpr uint32_t kPriorityClasses = 8;

/** Nested calls of all priorities share a class: their callers hold slots. */
constexpr ClassIndex kNestedClass(kPriorityClasses);

/** Ratio of the gate weights of adjacent priorities. */
constexpr double kPriorityWeightRatio = 4.0;

/** Longest queue of a class, in requests. The gate already refuses requests
 * that would wait too long. */
constexpr uint32_t kQueueBound = 256;

/** Service time assumed before the first answer: the work that the priority
 * classes state. */
constexpr Duration kInitialServiceTime = std::chrono::milliseconds(150);

}

AdmissionSettings
GateSettingsFor(uint32_t aSlots)
{
  AdmissionSettings settings;
  settings.slots = aSlots;
  settings.initialService = kInitialServiceTime;
  double weight = 1.0;
  for (uint32_t priority = 0; priority < kPriorityClasses; ++priority) {
    settings.classes.push_back(AdmissionClass{ weight, kQueueBound });
    weight /= kPriorityWeightRatio;
  }
  settings.classes.push_back(AdmissionClass{ 1.0, kQueueBound });
  settings.nestedClass = kNestedClass;
  settings.balancesPriorities = true;
  return settings;
}

ClassIndex
GateClassOf(const CallRequest& aRequest)
{
  return aRequest.nested
           ? kNestedClass
           : ClassIndex(std::min(aRequest.priority, kPriorityClasses - 1));
}

}
