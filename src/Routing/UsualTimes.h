#ifndef PISTACHIOSHIFT_ROUTING_USUALTIMES_H
#define PISTACHIOSHIFT_ROUTING_USUALTIMES_H

#include <map>
#include <optional>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Routing/AdmissionController.h"

namespace pistachioshift {

/**
 * \brief Median service time of each request class. Reads no clock.
 *
 * A median, because a few requests take many times as long as the others.
 */
class UsualTimes
{
public:
  void Record(ClassIndex aClass, Duration aTaken);

  /** \brief nullopt before there are enough samples. */
  std::optional<Duration> Of(ClassIndex aClass) const;

private:
  struct ClassTimes
  {
    std::vector<Duration> first; ///< Samples until the first median is known.
    std::optional<Duration> median;
  };

  std::map<ClassIndex, ClassTimes> m_classes;
};

}

#endif
