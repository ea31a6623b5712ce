#include "src/Routing/CrashSuspects.h"

#include <algorithm>

namespace pistachioshift {

CrashSuspects::CrashSuspects(CrashSuspectSettings aSettings)
  : m_settings(aSettings)
{
}

void
CrashSuspects::AddEnd(const ServerEnd& aEnd, MonoTime aNow)
{
  if (!m_ends.try_emplace(aEnd.id, aNow).second) {
    return;
  }
  RemoveExpired(aNow);
  if (m_ends.size() > m_settings.maxEnds) {
    RemoveOldestEnd();
  }
  const bool alone = aEnd.requests.value_or(aEnd.running.size()) == 1;
  for (const auto request : aEnd.running) {
    if (request == RequestFingerprint()) {
      continue;
    }
    if (m_requests.size() >= m_settings.maxRequests &&
        !m_requests.contains(request)) {
      RemoveOldest();
    }
    auto& entry = m_requests[request];
    entry.ends.push_back(EndOfRequest{ aEnd.id, alone });
    entry.lastEnd = aNow;
  }
}

std::vector<ServerEndId>
CrashSuspects::OnCompleted(RequestFingerprint aRequest)
{
  const auto cleared = m_requests.extract(aRequest);
  std::vector<ServerEndId> ends;
  if (!cleared.empty()) {
    for (const auto& end : cleared.mapped().ends) {
      ends.push_back(end.id);
    }
  }
  return ends;
}

void
CrashSuspects::OnAnsweredSince(ServerEndId aEnd, RequestFingerprint aRequest)
{
  const auto found = m_requests.find(aRequest);
  if (found == m_requests.end()) {
    return;
  }
  std::erase_if(found->second.ends,
                [&](const EndOfRequest& aItem) { return aItem.id == aEnd; });
  if (found->second.ends.empty()) {
    m_requests.erase(found);
  }
}

CrashSuspicion
CrashSuspects::Judge(RequestFingerprint aRequest, MonoTime aNow) const
{
  CrashSuspicion suspicion;
  const auto found = m_requests.find(aRequest);
  if (found == m_requests.end()) {
    return suspicion;
  }
  const auto& entry = found->second;
  suspicion.until = entry.lastEnd + kCrashRetention;
  if (aNow >= suspicion.until) {
    return suspicion;
  }
  suspicion.ends = static_cast<uint32_t>(entry.ends.size());
  const bool alone =
    std::any_of(entry.ends.begin(),
                entry.ends.end(),
                [](const EndOfRequest& aEnd) { return aEnd.alone; });
  const auto limit = alone ? m_settings.fatalEndsAlone : m_settings.fatalEnds;
  suspicion.level = suspicion.ends >= limit ? SuspicionLevel::kExcluded
                                            : SuspicionLevel::kSuspect;
  return suspicion;
}

void
CrashSuspects::RemoveExpired(MonoTime aNow)
{
  const auto oldest = aNow - kCrashRetention;
  std::erase_if(m_requests, [&](const auto& aItem) {
    return aItem.second.lastEnd <= oldest;
  });
}

void
CrashSuspects::RemoveOldest()
{
  const auto oldest =
    std::min_element(m_requests.begin(),
                     m_requests.end(),
                     [](const auto& aOne, const auto& aTwo) {
                       return aOne.second.lastEnd < aTwo.second.lastEnd;
                     });
  if (oldest != m_requests.end()) {
    m_requests.erase(oldest);
  }
}

void
CrashSuspects::RemoveOldestEnd()
{
  const auto oldest = std::min_element(
    m_ends.begin(), m_ends.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second < aTwo.second;
    });
  if (oldest != m_ends.end()) {
    m_ends.erase(oldest);
  }
}

}
