#include "src/Routing/LinkAdmission.h"

#include <algorithm>

namespace pistachioshift {

namespace {

/** Weight of the newest answer: the mean follows after a few tens of them. */
constexpr double kSizeSmoothing = 0.05;

/** Part of the target latency that an answer may queue for the link. */
constexpr double kMaxWaitShare = 0.5;

/** Bounds the memory; answers of further segments count as small. */
constexpr size_t kMaxSegments = 1024;

std::string
FirstSegment(std::string_view aTarget)
{
  const auto end = aTarget.find_first_of("/?", 1);
  return std::string(aTarget.substr(0, end));
}

}

void
LinkAdmission::RecordSize(std::string_view aTarget, size_t aBytes)
{
  const auto segment = FirstSegment(aTarget);
  const auto bytes = static_cast<double>(aBytes);
  const auto known = m_meanBytes.find(segment);
  if (known != m_meanBytes.end()) {
    known->second += kSizeSmoothing * (bytes - known->second);
  } else if (m_meanBytes.size() < kMaxSegments) {
    m_meanBytes.emplace(segment, bytes);
  }
}

bool
LinkAdmission::Admits(std::string_view aTarget,
                      Duration aWait,
                      Duration aTargetLatency) const
{
  if (aTargetLatency <= Duration::zero() ||
      aWait <= aTargetLatency * kMaxWaitShare) {
    return true;
  }
  return ExpectedLinkBytes(aTarget) == 0;
}

size_t
LinkAdmission::ExpectedLinkBytes(std::string_view aTarget) const
{
  const auto known = m_meanBytes.find(FirstSegment(aTarget));
  const bool large =
    known != m_meanBytes.end() && known->second > m_directBytes;
  return large ? static_cast<size_t>(known->second) : 0;
}

Duration
LinkAdmission::ExpectedWait(Duration aBacklog, Duration aService) const
{
  Duration ahead{};
  if (m_rate > 0.0) {
    const double seconds = static_cast<double>(m_reservedBytes) / m_rate;
    ahead = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  }
  return std::max(aBacklog + ahead - aService, Duration::zero());
}

}
