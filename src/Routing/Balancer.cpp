#include "src/Routing/Balancer.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::Seconds;

namespace {

constexpr double kLatencySmoothing = 0.2;
// Reports are late: one instance's dip must not draw all senders to it.
constexpr double kReportSmoothing = 0.2;
/** Cost factor of the instance on this host: it may be as much slower as makes
 * others outliers. */
constexpr double kNearCost = 0.25;
constexpr double kShedSmoothing = 0.1;
constexpr double kShedCost = 10.0; // Cost factor at a shed rate of 1, less 1.
constexpr double kConfidenceSmoothing = 0.3;
constexpr double kTolerance = 0.7; // Log of the ratio that counts as agreeing.
constexpr double kLeastStartShare = 0.1;
constexpr double kLeastLatency = 1e-4; // Seconds.
constexpr uint32_t kMostDoublings = 6;

double
DecayOver(Duration aAge, Duration aLife)
{
  return std::exp(-Seconds(aAge) / Seconds(aLife));
}

}

Balancer::Balancer(BalancerSettings aSettings)
  : m_settings(aSettings)
{
}

void
Balancer::SetInstances(std::span<const DaemonId> aInstances, MonoTime aNow)
{
  // The first set has nothing to be slow against.
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
  m_instances = std::move(next);
}

std::optional<DaemonId>
Balancer::Choose(RandomEngine& aRandom,
                 MonoTime aNow,
                 std::optional<DaemonId> aExcept,
                 std::optional<DaemonId> aNear)
{
  const auto usable = Usable(aNow, aExcept);
  if (usable.empty()) {
    return std::nullopt;
  }
  const bool near =
    aNear && std::find(usable.begin(), usable.end(), *aNear) != usable.end();
  const auto far = ChooseOfTwo(usable, aRandom, aNow);
  const auto cost = [&](DaemonId aId) {
    return Cost(m_instances.at(aId), aNow);
  };
  return near && kNearCost * cost(*aNear) <= cost(far) ? *aNear : far;
}

DaemonId
Balancer::ChooseOfTwo(const std::vector<DaemonId>& aUsable,
                      RandomEngine& aRandom,
                      MonoTime aNow) const
{
  if (aUsable.size() == 1) {
    return aUsable.front();
  }
  std::uniform_int_distribution<size_t> first(0, aUsable.size() - 1);
  std::uniform_int_distribution<size_t> step(1, aUsable.size() - 1);
  const auto one = first(aRandom);
  const auto two = (one + step(aRandom)) % aUsable.size();
  const auto costOne = Cost(m_instances.at(aUsable[one]), aNow);
  const auto costTwo = Cost(m_instances.at(aUsable[two]), aNow);
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
  const double shed = aResult == InstanceResult::kShed ? 1.0 : 0.0;
  instance.shedRate += kShedSmoothing * (shed - instance.shedRate);
  if (aResult == InstanceResult::kFailed) {
    ++instance.failures;
  } else {
    instance.failures = 0;
  }
  if (aResult == InstanceResult::kDone) {
    LearnLatency(instance, aLatency, aNow);
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
  instance.othersReported += weight * (others - instance.othersReported);
  instance.reportedAt = aNow;
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
Balancer::Usable(MonoTime aNow, std::optional<DaemonId> aExcept) const
{
  std::vector<DaemonId> usable;
  bool excepted = false;
  for (const auto& [id, instance] : m_instances) {
    if (aNow < instance.ejectedUntil) {
      continue;
    }
    if (id == aExcept) {
      excepted = true;
      continue;
    }
    usable.push_back(id);
  }
  if (usable.empty() && excepted) {
    usable.push_back(*aExcept);
  }
  if (!usable.empty()) {
    return usable;
  }
  // Fewer instances than when they were ejected: any is better than none.
  for (const auto& [id, instance] : m_instances) {
    usable.push_back(id);
  }
  return usable;
}

double
Balancer::Cost(const Instance& aInstance, MonoTime aNow) const
{
  const auto age = aNow - aInstance.reportedAt;
  const auto weight =
    aInstance.reportConfidence * DecayOver(age, m_settings.reportTimeConstant);
  const auto inFlight =
    static_cast<double>(aInstance.inFlight) + weight * aInstance.othersReported;
  const auto shed = 1.0 + kShedCost * aInstance.shedRate;
  const auto latency = std::max(LatencyOf(aInstance, aNow), kLeastLatency);
  return (inFlight + 1.0) * latency * shed / SlowStartShare(aInstance, aNow);
}

// Falls back to the mean while unused, so that it's tried again.
double
Balancer::LatencyOf(const Instance& aInstance, MonoTime aNow) const
{
  const auto mean = MeanLatency();
  if (aInstance.samples == 0) {
    return mean;
  }
  const auto age = aNow - aInstance.latencyAt;
  const auto weight = DecayOver(age, m_settings.latencyTimeConstant);
  return weight * aInstance.latency + (1.0 - weight) * mean;
}

double
Balancer::SlowStartShare(const Instance& aInstance, MonoTime aNow) const
{
  const auto age = Seconds(aNow - aInstance.slowStartFrom);
  const auto share = age / Seconds(m_settings.slowStart);
  return std::clamp(share, kLeastStartShare, 1.0);
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
  return count > 0.0 ? sum / count : kLeastLatency;
}

double
Balancer::MeanReported() const
{
  double sum = 0.0;
  for (const auto& [id, instance] : m_instances) {
    sum += instance.othersReported + static_cast<double>(instance.inFlight);
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
Balancer::LearnLatency(Instance& aInstance, Duration aLatency, MonoTime aNow)
{
  const auto latency = Seconds(aLatency);
  const double weight = aInstance.samples == 0 ? 1.0 : kLatencySmoothing;
  aInstance.latency += weight * (latency - aInstance.latency);
  aInstance.latencyAt = aNow;
  ++aInstance.samples;
}

// More latency than others, or less, calls for more load than others, or less.
void
Balancer::UpdateReportConfidence(Instance& aInstance, double aInFlight)
{
  if (aInstance.samples == 0) {
    return;
  }
  const auto mean = std::max(MeanLatency(), kLeastLatency);
  const auto seen = std::max(aInstance.latency, kLeastLatency) / mean;
  const auto reported = (aInFlight + 1.0) / (MeanReported() + 1.0);
  const auto apart = std::abs(std::log(seen / reported)) - kTolerance;
  const auto agreement = std::exp(-std::max(apart, 0.0));
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
  const auto doublings = std::min(aInstance.ejections, kMostDoublings);
  const auto time = m_settings.baseEjectionTime * (1U << doublings);
  aInstance.ejectedUntil = aNow + std::min(time, m_settings.maxEjectionTime);
  // It comes back on trial: slow start, and judged by new answers only.
  aInstance.slowStartFrom = aInstance.ejectedUntil;
  aInstance.samples = 0;
  aInstance.failures = 0;
  ++aInstance.ejections;
}

}
