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
  /// Time in which the load of a new instance rises to its full share.
  Duration slowStart = std::chrono::seconds(10);
  /// Time constant with which a load report loses weight.
  Duration reportTimeConstant = std::chrono::seconds(2);
  /// Time constant with which the latency of an unused instance loses weight.
  Duration latencyTimeConstant = std::chrono::seconds(10);
  /// Duration of the first ejection; doubled for each further one.
  Duration baseEjectionTime = std::chrono::seconds(5);
  Duration maxEjectionTime = std::chrono::seconds(60);
  /// Share of the instances that may be ejected; one is always left.
  double maxEjectedShare = 0.34;
  /// Failures in a row for which an instance is ejected.
  uint32_t consecutiveFailures = 5;
  /// Ratio to the median latency of the others above which one is ejected.
  double outlierLatencyRatio = 4.0;
  /// Answers before an instance may be ejected for its latency.
  uint32_t minLatencySamples = 20;
};

/** \brief How a request sent to an instance ended. */
enum class InstanceResult : uint8_t
{
  kDone,
  kShed,      ///< Not run: refused by the overloaded instance.
  kFailed,    ///< No answer, or the instance is unreachable.
  kCancelled, ///< Ended by its sender; says nothing about the instance.
};

/** \brief What a request needs of an instance. */
enum class BalancedKind : uint8_t
{
  kOther,
  kUpload, ///< Room on the link of the instance's host.
};

/**
 * \brief Load balancer for the instances of a service without keys.
 *
 * Power of two choices: draws two instances at random and takes the one with
 * the lower cost. The cost is the number of requests in flight, both own and
 * reported, times the latency. The weight of a load report decreases with its
 * age, and with its disagreement with the measured latencies. Outlier
 * detection ejects an instance that fails or is much slower than the others for
 * a limited time, and never more than a given share of the instances. New and
 * readmitted instances go through slow start.
 */
class Balancer
{
public:
  explicit Balancer(BalancerSettings aSettings = {});

  /** \brief Changes the time in which the load of new instances rises. */
  void SetSlowStart(Duration aTime) { m_settings.slowStart = aTime; }

  /**
   * \brief Replaces the set of instances; new ones begin in slow start.
   *
   * The first set skips slow start, since all instances are new.
   * \param aNearby the instances in this host's availability zone; traffic
   * between zones is expensive.
   */
  void SetInstances(std::span<const DaemonId> aInstances,
                    MonoTime aNow,
                    std::span<const DaemonId> aNearby = {});

  /**
   * \brief Instance for the next request; none if there is no instance.
   * \param aExcluded instance to avoid if there is another, as on a retry.
   * \param aLocal instance on this host, preferred unless its cost is much
   * higher: its answers cross one link instead of two. Nearby instances are
   * preferred likewise, but less.
   */
  std::optional<DaemonId> Choose(RandomEngine& aRandom,
                                 MonoTime aNow,
                                 std::optional<DaemonId> aExcluded = {},
                                 std::optional<DaemonId> aLocal = {},
                                 BalancedKind aKind = BalancedKind::kOther);

  void OnStart(DaemonId aInstance);

  /** \param aLatency time from OnStart() to the end of the request. */
  void OnEnd(DaemonId aInstance,
             InstanceResult aResult,
             Duration aLatency,
             MonoTime aNow);

  /** \param aInFlight requests of all senders, as the instance reports. */
  void OnLoadReport(DaemonId aInstance, double aInFlight, MonoTime aNow);

  /**
   * \brief An upload got credit from an instance.
   * \param aWait time from its head to the credit: the work that the instance
   * had committed to before. Counts for uploads only.
   */
  void OnUploadGranted(DaemonId aInstance, Duration aWait, MonoTime aNow);

  /**
   * \brief An instance had no room for an upload. Uploads avoid it for a time,
   * unless no instance has room.
   */
  void OnUploadRefused(DaemonId aInstance, Duration aRetryAfter, MonoTime aNow);

  bool IsEjected(DaemonId aInstance, MonoTime aNow) const;
  size_t EjectedCount(MonoTime aNow) const;

  /** \brief Weight of an instance's load reports before aging, 0 to 1. */
  double ReportConfidence(DaemonId aInstance) const;

private:
  struct Instance
  {
    uint32_t inFlight = 0;
    double latency = 0.0; ///< Mean in seconds; 0 before the first answer.
    MonoTime latencyAt;
    double shedRate = 0.0;
    uint32_t samples = 0;
    uint32_t failures = 0;       ///< Consecutive.
    double othersInFlight = 0.0; ///< Requests of other senders, reported.
    MonoTime reportedAt;
    double reportConfidence = 1.0;
    MonoTime slowStartFrom;
    MonoTime ejectedUntil;
    uint32_t ejections = 0;
    bool nearby = false;
    double uploadWait = 0.0; ///< Mean in seconds.
    MonoTime uploadWaitAt;
    MonoTime noRoomUntil; ///< For uploads.
  };

  using Instances = std::map<DaemonId, Instance>;

  std::vector<DaemonId> Usable(MonoTime aNow,
                               std::optional<DaemonId> aExcluded) const;
  std::vector<DaemonId> WithRoom(std::vector<DaemonId> aIds,
                                 MonoTime aNow) const;
  std::vector<DaemonId> NearbyOf(const std::vector<DaemonId>& aIds) const;
  DaemonId ChooseOfTwo(const std::vector<DaemonId>& aUsable,
                       RandomEngine& aRandom,
                       MonoTime aNow,
                       BalancedKind aKind) const;
  double Cost(const Instance& aInstance,
              MonoTime aNow,
              BalancedKind aKind) const;
  static double UploadWaitOf(const Instance& aInstance, MonoTime aNow);
  double LatencyOf(const Instance& aInstance, MonoTime aNow) const;
  double SlowStartShare(const Instance& aInstance, MonoTime aNow) const;
  double MeanLatency() const;
  double MeanInFlight() const;
  double MedianOfOthers(DaemonId aInstance) const;
  void UpdateLatency(Instance& aInstance, Duration aLatency, MonoTime aNow);
  void UpdateReportConfidence(Instance& aInstance, double aInFlight);
  void EjectIfOutlier(DaemonId aId, Instance& aInstance, MonoTime aNow);
  void Eject(Instance& aInstance, MonoTime aNow);

  BalancerSettings m_settings;
  Instances m_instances;
};

}

#endif
