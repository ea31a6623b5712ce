#include "src/Routing/Balancer.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::Seconds;

namespace {

// Smoothing factors are the weights of the newest sample in moving averages.
constexpr double kLatencySmoothing = 0.2;
// Load reports are delayed. Without smoothing, all senders would send to an
// instance as soon as it reports a momentary dip.
constexpr double kReportSmoothing = 0.2;
/** Cost factor of the instance on this host. It is preferred up to 4 times the
 * cost of another one; a larger latency ratio counts as an outlier. */
constexpr double kLocalCostFactor = 0.25;
/** Cost factor of the instances in this host's zone. It is larger than the
 * ratio of the speeds of sound instances, so that only queues or faults make
 * requests leave the zone. */
constexpr double kNearbyCostFactor = 0.4;
constexpr double kShedSmoothing = 0.1;
// The queue for a link is at most half a second long, so an older wait says
// little about the next one.
constexpr double kUploadWaitSmoothing = 0.5;
constexpr Duration kUploadWaitDecay = std::chrono::seconds(1);
// An estimate that is too long must not keep an instance without uploads.
constexpr Duration kMaxNoRoomTime = std::chrono::seconds(1);
// Cost factor at a shed rate of 1, less the factor of 1 without shedding.
constexpr double kShedCostIncrease = 10.0;
constexpr double kConfidenceSmoothing = 0.3;
// Largest natural logarithm of latency ratio to load ratio that still counts as
// agreement.
constexpr double kAgreementTolerance = 0.7;
constexpr double kMinSlowStartShare = 0.1;
constexpr double kMinLatencySeconds = 1e-4;
constexpr uint32_t kMaxEjectionDoublings = 6;

double
ExponentialDecay(Duration aAge, Duration aTimeConstant)
{
  return std::exp(-Seconds(aAge) / Seconds(aTimeConstant));
}

}

Balancer::Balancer(BalancerSettings aSettings)
  : m_settings(aSettings)
{
}

void
Balancer::SetInstances(std::span<const DaemonId> aInstances,
                       MonoTime aNow,
                       std::span<const DaemonId> aNearby)
{
  // Slow start is relative to established instances; the first set has none.
  const auto start = m_instances.empty() ? aNow - m_settings.slowStart : aNow;
  Instances next;
  for (const auto& id : aInstances) {
    const auto known = m_instances.find(id);
    if (known != m_instances.end()) {
      next.insert(*known);
      continue;
    }
    next[id].slowStartFrom = start;
  }
  for (auto& [id, instance] : next) {
    instance.nearby =
      std::find(aNearby.begin(), aNearby.end(), id) != aNearby.end();
  }
  m_instances = std::move(next);
}

std::optional<DaemonId>
Balancer::Choose(RandomEngine& aRandom,
                 MonoTime aNow,
                 std::optional<DaemonId> aExcluded,
                 std::optional<DaemonId> aLocal,
                 BalancedKind aKind)
{
  auto usable = Usable(aNow, aExcluded);
  if (usable.empty()) {
    return std::nullopt;
  }
  if (aKind == BalancedKind::kUpload) {
    usable = WithRoom(std::move(usable), aNow);
  }
  auto chosen = ChooseOfTwo(usable, aRandom, aNow, aKind);
  auto least = Cost(m_instances.at(chosen), aNow, aKind);
  const auto prefer = [&](DaemonId aId, double aFactor) {
    const auto cost = aFactor * Cost(m_instances.at(aId), aNow, aKind);
    if (cost <= least) {
      chosen = aId;
      least = cost;
    }
  };
  const auto nearby = NearbyOf(usable);
  if (!nearby.empty()) {
    prefer(ChooseOfTwo(nearby, aRandom, aNow, aKind), kNearbyCostFactor);
  }
  if (aLocal &&
      std::find(usable.begin(), usable.end(), *aLocal) != usable.end()) {
    prefer(*aLocal, kLocalCostFactor);
  }
  return chosen;
}

std::vector<DaemonId>
Balancer::NearbyOf(const std::vector<DaemonId>& aIds) const
{
  std::vector<DaemonId> nearby;
  for (const auto& id : aIds) {
    if (m_instances.at(id).nearby) {
      nearby.push_back(id);
    }
  }
  return nearby;
}

// The instances with room for an upload; all if none has.
std::vector<DaemonId>
Balancer::WithRoom(std::vector<DaemonId> aIds, MonoTime aNow) const
{
  const auto isFull = [&](DaemonId aId) {
    return aNow < m_instances.at(aId).noRoomUntil;
  };
  if (!std::all_of(aIds.begin(), aIds.end(), isFull)) {
    std::erase_if(aIds, isFull);
  }
  return aIds;
}

DaemonId
Balancer::ChooseOfTwo(const std::vector<DaemonId>& aUsable,
                      RandomEngine& aRandom,
                      MonoTime aNow,
                      BalancedKind aKind) const
{
  if (aUsable.size() == 1) {
    return aUsable.front();
  }
  std::uniform_int_distribution<size_t> first(0, aUsable.size() - 1);
  std::uniform_int_distribution<size_t> step(1, aUsable.size() - 1);
  const auto one = first(aRandom);
  const auto two = (one + step(aRandom)) % aUsable.size();
  const auto costOne = Cost(m_instances.at(aUsable[one]), aNow, aKind);
  const auto costTwo = Cost(m_instances.at(aUsable[two]), aNow, aKind);
  return costOne <= costTwo ? aUsable[one] : aUsable[two];
}

void
Balancer::OnStart(DaemonId aInstance)
{
  const auto found = m_instances.find(aInstance);
  if (found != m_instances.end()) {
    ++found->second.inFlight;
  }
}

void
Balancer::OnEnd(DaemonId aInstance,
                InstanceResult aResult,
                Duration aLatency,
                MonoTime aNow)
{
  const auto found = m_instances.find(aInstance);
  if (found == m_instances.end()) {
    return;
  }
  auto& instance = found->second;
  if (instance.inFlight > 0) {
    --instance.inFlight;
  }
  if (aResult == InstanceResult::kCancelled) {
    return;
  }
  const double shed = aResult == InstanceResult::kShed ? 1.0 : 0.0;
  instance.shedRate += kShedSmoothing * (shed - instance.shedRate);
  if (aResult == InstanceResult::kFailed) {
    ++instance.failures;
  } else {
    instance.failures = 0;
  }
  if (aResult == InstanceResult::kDone) {
    UpdateLatency(instance, aLatency, aNow);
  }
  EjectIfOutlier(aInstance, instance, aNow);
}

void
Balancer::OnLoadReport(DaemonId aInstance, double aInFlight, MonoTime aNow)
{
  const auto found = m_instances.find(aInstance);
  if (found == m_instances.end()) {
    return;
  }
  auto& instance = found->second;
  UpdateReportConfidence(instance, aInFlight);
  const auto own = static_cast<double>(instance.inFlight);
  const auto others = std::max(aInFlight - own, 0.0);
  const bool first = instance.reportedAt == MonoTime{};
  const double weight = first ? 1.0 : kReportSmoothing;
  instance.othersInFlight += weight * (others - instance.othersInFlight);
  instance.reportedAt = aNow;
}

void
Balancer::OnUploadGranted(DaemonId aInstance, Duration aWait, MonoTime aNow)
{
  const auto found = m_instances.find(aInstance);
  if (found == m_instances.end()) {
    return;
  }
  auto& instance = found->second;
  const auto before = UploadWaitOf(instance, aNow);
  instance.uploadWait =
    before + kUploadWaitSmoothing * (Seconds(aWait) - before);
  instance.uploadWaitAt = aNow;
}

void
Balancer::OnUploadRefused(DaemonId aInstance,
                          Duration aRetryAfter,
                          MonoTime aNow)
{
  const auto found = m_instances.find(aInstance);
  if (found != m_instances.end()) {
    found->second.noRoomUntil = aNow + std::min(aRetryAfter, kMaxNoRoomTime);
  }
}

// The wait of the last uploads; it says nothing after some queue lengths.
double
Balancer::UploadWaitOf(const Instance& aInstance, MonoTime aNow)
{
  return aInstance.uploadWait *
         ExponentialDecay(aNow - aInstance.uploadWaitAt, kUploadWaitDecay);
}

bool
Balancer::IsEjected(DaemonId aInstance, MonoTime aNow) const
{
  const auto found = m_instances.find(aInstance);
  return found != m_instances.end() && aNow < found->second.ejectedUntil;
}

size_t
Balancer::EjectedCount(MonoTime aNow) const
{
  const auto ejected = [&](const auto& aEntry) {
    return aNow < aEntry.second.ejectedUntil;
  };
  const auto count =
    std::count_if(m_instances.begin(), m_instances.end(), ejected);
  return static_cast<size_t>(count);
}

double
Balancer::ReportConfidence(DaemonId aInstance) const
{
  return m_instances.at(aInstance).reportConfidence;
}

std::vector<DaemonId>
Balancer::Usable(MonoTime aNow, std::optional<DaemonId> aExcluded) const
{
  std::vector<DaemonId> usable;
  bool excludedUsable = false;
  for (const auto& [id, instance] : m_instances) {
    if (aNow < instance.ejectedUntil) {
      continue;
    }
    if (id == aExcluded) {
      excludedUsable = true;
      continue;
    }
    usable.push_back(id);
  }
  if (usable.empty() && excludedUsable) {
    usable.push_back(*aExcluded);
  }
  if (!usable.empty()) {
    return usable;
  }
  // All remaining instances are ejected, since others have been removed: uses
  // the ejected ones.
  for (const auto& [id, instance] : m_instances) {
    usable.push_back(id);
  }
  return usable;
}

double
Balancer::Cost(const Instance& aInstance,
               MonoTime aNow,
               BalancedKind aKind) const
{
  const auto age = aNow - aInstance.reportedAt;
  const auto weight = aInstance.reportConfidence *
                      ExponentialDecay(age, m_settings.reportTimeConstant);
  const auto inFlight =
    static_cast<double>(aInstance.inFlight) + weight * aInstance.othersInFlight;
  const auto shed = 1.0 + kShedCostIncrease * aInstance.shedRate;
  auto latency = std::max(LatencyOf(aInstance, aNow), kMinLatencySeconds);
  if (aKind == BalancedKind::kUpload) {
    latency += UploadWaitOf(aInstance, aNow);
  }
  return (inFlight + 1.0) * latency * shed / SlowStartShare(aInstance, aNow);
}

// Decays to the mean of all instances while the instance is unused, so that it
// is tried again.
double
Balancer::LatencyOf(const Instance& aInstance, MonoTime aNow) const
{
  const auto mean = MeanLatency();
  if (aInstance.samples == 0) {
    return mean;
  }
  const auto age = aNow - aInstance.latencyAt;
  const auto weight = ExponentialDecay(age, m_settings.latencyTimeConstant);
  return weight * aInstance.latency + (1.0 - weight) * mean;
}

double
Balancer::SlowStartShare(const Instance& aInstance, MonoTime aNow) const
{
  const auto age = Seconds(aNow - aInstance.slowStartFrom);
  const auto share = age / Seconds(m_settings.slowStart);
  return std::clamp(share, kMinSlowStartShare, 1.0);
}

double
Balancer::MeanLatency() const
{
  double sum = 0.0;
  double count = 0.0;
  for (const auto& [id, instance] : m_instances) {
    if (instance.samples > 0) {
      sum += instance.latency;
      count += 1.0;
    }
  }
  return count > 0.0 ? sum / count : kMinLatencySeconds;
}

double
Balancer::MeanInFlight() const
{
  double sum = 0.0;
  for (const auto& [id, instance] : m_instances) {
    sum += instance.othersInFlight + static_cast<double>(instance.inFlight);
  }
  return sum / static_cast<double>(m_instances.size());
}

double
Balancer::MedianOfOthers(DaemonId aInstance) const
{
  std::vector<double> latencies;
  for (const auto& [id, instance] : m_instances) {
    if (id != aInstance && instance.samples > 0) {
      latencies.push_back(instance.latency);
    }
  }
  if (latencies.empty()) {
    return 0.0;
  }
  const auto half = static_cast<std::ptrdiff_t>(latencies.size() / 2);
  const auto middle = latencies.begin() + half;
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

void
Balancer::UpdateLatency(Instance& aInstance, Duration aLatency, MonoTime aNow)
{
  const auto latency = Seconds(aLatency);
  const double weight = aInstance.samples == 0 ? 1.0 : kLatencySmoothing;
  aInstance.latency += weight * (latency - aInstance.latency);
  aInstance.latencyAt = aNow;
  ++aInstance.samples;
}

// Compares load reports with latencies: an instance whose latency is above (or
// below) the mean should also report a load above (or below) the mean.
void
Balancer::UpdateReportConfidence(Instance& aInstance, double aInFlight)
{
  if (aInstance.samples == 0) {
    return;
  }
  const auto mean = std::max(MeanLatency(), kMinLatencySeconds);
  const auto latencyRatio =
    std::max(aInstance.latency, kMinLatencySeconds) / mean;
  const auto loadRatio = (aInFlight + 1.0) / (MeanInFlight() + 1.0);
  const auto excess =
    std::abs(std::log(latencyRatio / loadRatio)) - kAgreementTolerance;
  const auto agreement = std::exp(-std::max(excess, 0.0));
  aInstance.reportConfidence +=
    kConfidenceSmoothing * (agreement - aInstance.reportConfidence);
}

void
Balancer::EjectIfOutlier(DaemonId aId, Instance& aInstance, MonoTime aNow)
{
  if (aNow < aInstance.ejectedUntil) {
    return;
  }
  const bool failing = aInstance.failures >= m_settings.consecutiveFailures;
  const auto median = MedianOfOthers(aId);
  const bool slow = aInstance.samples >= m_settings.minLatencySamples &&
                    median > 0.0 &&
                    aInstance.latency > m_settings.outlierLatencyRatio * median;
  if (failing || slow) {
    Eject(aInstance, aNow);
  }
}

void
Balancer::Eject(Instance& aInstance, MonoTime aNow)
{
  const auto count = m_instances.size();
  const auto share = m_settings.maxEjectedShare * static_cast<double>(count);
  const auto bound = std::min(static_cast<size_t>(share), count - 1);
  if (EjectedCount(aNow) >= bound) {
    return;
  }
  const auto doublings = std::min(aInstance.ejections, kMaxEjectionDoublings);
  const auto time = m_settings.baseEjectionTime * (1U << doublings);
  aInstance.ejectedUntil = aNow + std::min(time, m_settings.maxEjectionTime);
  // After its ejection it goes through slow start, and only new answers count.
  aInstance.slowStartFrom = aInstance.ejectedUntil;
  aInstance.samples = 0;
  aInstance.failures = 0;
  ++aInstance.ejections;
}

}
