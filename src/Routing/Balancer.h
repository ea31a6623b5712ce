#ifndef PISTACHIOSHIFT_ROUTING_BALANCER_H
#define PISTACHIOSHIFT_ROUTING_BALANCER_H

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Base/Random.h"

namespace pistachioshift {

struct BalancerSettings
{
  Duration slowStart = std::chrono::seconds(10);
  Duration reportTimeConstant =
    std::chrono::seconds(2); ///< Decay time constant.
  Duration latencyTimeConstant =
    std::chrono::seconds(10); ///< Same, when unused.
  Duration baseEjectionTime = std::chrono::seconds(5);
  Duration maxEjectionTime = std::chrono::seconds(60);
  double maxEjectedShare = 0.34; ///< Share of instances, always leaving one.
  uint32_t consecutiveFailures = 5;
  double outlierLatencyRatio = 4.0; ///< Of the others' median latency.
  uint32_t minLatencySamples = 20;  ///< Answers before latency may eject.
};

/** \brief How a request sent to an instance ended. */
enum class InstanceResult : uint8_t
{
  kDone,
  kShed,   ///< Refused as not run: overloaded.
  kFailed, ///< No answer, or the instance can't be reached.
};

/**
 * \brief Chooses among the instances of a service that isn't divided by key.
 *
 * Draws two instances and takes the one with the lower cost: requests in
 * flight, seen here and reported, times latency. A report loses weight with its
 * age, and with how far it disagrees with the latencies seen. An instance that
 * fails or is far slower than the others is ejected for a while, up to a
 * bounded share; new and returning ones get their share by and by.
 */
class Balancer
{
public:
  explicit Balancer(BalancerSettings aSettings = {});

  /** \brief Replaces the set of instances; new ones begin in slow start. */
  void SetInstances(std::span<const DaemonId> aInstances, MonoTime aNow);

  /**
   * \brief Instance for the next request; none if there is no instance.
   * \param aExcept instance to avoid if there is another, as on a retry.
   * \param aNear instance on this host, preferred unless it costs far more:
   * its answers pass one link instead of two.
   */
  std::optional<DaemonId> Choose(RandomEngine& aRandom,
                                 MonoTime aNow,
                                 std::optional<DaemonId> aExcept = {},
                                 std::optional<DaemonId> aNear = {});

  void OnStart(DaemonId aInstance);

  /** \param aLatency from OnStart() to the end. */
  void OnEnd(DaemonId aInstance,
             InstanceResult aResult,
             Duration aLatency,
             MonoTime aNow);

  /** \param aInFlight requests of all senders that the instance reports. */
  void OnLoadReport(DaemonId aInstance, double aInFlight, MonoTime aNow);

  bool IsEjected(DaemonId aInstance, MonoTime aNow) const;
  size_t EjectedCount(MonoTime aNow) const;

  /** \brief Weight of an instance's reports before aging, 0 to 1. */
  double ReportConfidence(DaemonId aInstance) const;

private:
  struct Instance
  {
    uint32_t inFlight = 0;
    double latency = 0.0; ///< Seconds, mean; 0 before the first answer.
    MonoTime latencyAt;
    double shedRate = 0.0;
    uint32_t samples = 0;
    uint32_t failures = 0; ///< In a row.
    double othersReported = 0.0;
    MonoTime reportedAt;
    double reportConfidence = 1.0;
    MonoTime slowStartFrom;
    MonoTime ejectedUntil;
    uint32_t ejections = 0;
  };

  using Instances = std::map<DaemonId, Instance>;

  std::vector<DaemonId> Usable(MonoTime aNow,
                               std::optional<DaemonId> aExcept) const;
  DaemonId ChooseOfTwo(const std::vector<DaemonId>& aUsable,
                       RandomEngine& aRandom,
                       MonoTime aNow) const;
  double Cost(const Instance& aInstance, MonoTime aNow) const;
  double LatencyOf(const Instance& aInstance, MonoTime aNow) const;
  double SlowStartShare(const Instance& aInstance, MonoTime aNow) const;
  double MeanLatency() const;
  double MeanReported() const;
  double MedianOfOthers(DaemonId aInstance) const;
  void LearnLatency(Instance& aInstance, Duration aLatency, MonoTime aNow);
  void UpdateReportConfidence(Instance& aInstance, double aInFlight);
  void EjectIfOutlier(DaemonId aId, Instance& aInstance, MonoTime aNow);
  void Eject(Instance& aInstance, MonoTime aNow);

  BalancerSettings m_settings;
  Instances m_instances;
};

}

#endif
