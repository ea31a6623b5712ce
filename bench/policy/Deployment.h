#ifndef PISTACHIOSHIFT_BENCH_POLICY_DEPLOYMENT_H
#define PISTACHIOSHIFT_BENCH_POLICY_DEPLOYMENT_H

#include <random>
#include <string>
#include <vector>

#include "Pistachioshift/Base"
#include "Pistachioshift/Routing"

namespace pistachioshift::bench {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

inline Duration
FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

struct ClassModel
{
  std::string name;
  double share;          // Of requests.
  double weight;         // At the gate.
  double serviceSeconds; // Mean; gamma distributed with shape 4.
  Duration deadline;
};

struct Deployment
{
  std::string name;
  uint32_t keyedServers;
  uint32_t keyedSlots;
  uint32_t instances;
  uint32_t instanceSlots;
  uint32_t zones;
  Duration oneWay; // Between availability zones.
  double zipf;     // Exponent of the key popularity.
  uint32_t movesPerHour;
  std::vector<ClassModel> classes;

  double MeanService() const
  {
    double mean = 0.0;
    for (const auto& entry : classes) {
      mean += entry.share * entry.serviceSeconds;
    }
    return mean;
  }
};

inline std::vector<Deployment>
Deployments()
{
  const Deployment sofia{
    "sofia",
    10,
    9,
    4,
    9,
    4,
    milliseconds(1),
    0.9,
    200,
    { { "lookup", 0.70, 3.0, 0.005, milliseconds(100) },
      { "order", 0.25, 3.0, 0.015, milliseconds(400) },
      { "inspect", 0.05, 1.0, 0.040, milliseconds(1500) } }
  };
  const Deployment valparaiso{
    "valparaiso",
    10,
    16,
    3,
    16,
    3,
    microseconds(1500),
    1.0,
    60,
    { { "stock", 0.60, 3.0, 0.006, milliseconds(120) },
      { "sheet", 0.30, 3.0, 0.015, milliseconds(400) },
      { "cut", 0.10, 2.0, 0.040, milliseconds(1500) } }
  };
  return { sofia, valparaiso };
}

constexpr uint32_t kQueueBound = 500;

inline AdmissionSettings
GateSettingsFor(const Deployment& aDeployment, uint32_t aSlots)
{
  AdmissionSettings settings;
  settings.slots = aSlots;
  for (const auto& entry : aDeployment.classes) {
    settings.classes.push_back(AdmissionClass{ entry.weight, kQueueBound });
  }
  return settings;
}

inline uint32_t
DrawClass(const Deployment& aDeployment, RandomEngine& aRandom)
{
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  double left = uniform(aRandom);
  uint32_t index = 0;
  for (; index + 1 < aDeployment.classes.size(); ++index) {
    left -= aDeployment.classes[index].share;
    if (left < 0.0) {
      break;
    }
  }
  return index;
}

inline double
DrawService(const ClassModel& aClass, RandomEngine& aRandom)
{
  constexpr double kShape = 4.0;
  std::gamma_distribution<double> gamma(kShape, aClass.serviceSeconds / kShape);
  return gamma(aRandom);
}

// A nested call has what its parent left it.
inline Duration
DrawDeadline(const Deployment& aDeployment,
             uint32_t aClass,
             RandomEngine& aRandom)
{
  std::uniform_real_distribution<double> left(0.4, 1.0);
  const auto whole = Seconds(aDeployment.classes[aClass].deadline);
  return FromSeconds(whole * left(aRandom));
}

inline Duration
DrawGap(double aRate, RandomEngine& aRandom)
{
  std::exponential_distribution<double> gap(aRate);
  return FromSeconds(gap(aRandom));
}

}

#endif
