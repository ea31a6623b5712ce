#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "src/HostDaemon/RangeServerTask.h"

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** Latest ends of backend servers in a host's record. */
constexpr size_t kMaxServerEnds = 8;

/** Requests that are kept of one end. */
constexpr size_t kMaxRunningAtEnd = 64;

/** Answered requests in a host's record; the oldest are dropped first. */
constexpr size_t kMaxAnswered = 256;

/** Answers are collected for this time before they are written, as many
 * requests of one end are answered within a short time. */
constexpr Duration kEvidenceDelay = milliseconds(2000);

/** Ends that were noticed earlier count no more. */
WallTime
OldestEnd(const Clock& aClock)
{
  return aClock.WallNow() -
         std::chrono::duration_cast<milliseconds>(kCrashRetention);
}

}

bool
RangeServerTask::IsExcluded(const OwnerCall& aCall) const
{
  return m_suspects.Judge(aCall.Request().fingerprint, m_clock.Now()).level ==
         SuspicionLevel::kExcluded;
}

bool
RangeServerTask::AwaitsSuspect(const OwnerCall& aCall) const
{
  return m_runningSuspect && m_runningSuspect != aCall.Request().id &&
         m_suspects.Judge(aCall.Request().fingerprint, m_clock.Now()).level ==
           SuspicionLevel::kSuspect;
}

/** Keeps other suspects waiting until this one has ended. */
void
RangeServerTask::ReserveSuspect(const OwnerCall& aCall)
{
  const auto& request = aCall.Request();
  const auto suspicion = m_suspects.Judge(request.fingerprint, m_clock.Now());
  if (suspicion.level == SuspicionLevel::kSuspect && !m_runningSuspect) {
    m_runningSuspect = request.id;
  }
}

void
RangeServerTask::RefuseFatal(const CallPtr& aCall)
{
  const auto& request = aCall->Request();
  const auto now = m_clock.Now();
  const auto suspicion = m_suspects.Judge(request.fingerprint, now);
  const auto left =
    std::chrono::duration_cast<std::chrono::seconds>(suspicion.until - now);
  m_logger.Warning("request-excluded",
                   "id={} method={} target={} key={} fingerprint={:016x} "
                   "ends={} for_s={}",
                   m_dialect.RequestLabel(request.head),
                   request.head.method,
                   request.head.target,
                   request.key.empty() ? "-" : request.key,
                   request.fingerprint.Value(),
                   suspicion.ends,
                   left.count());
  aCall->Refuse(RefusalReason::kFatalRequest, suspicion.until - now);
}

void
RangeServerTask::OnServerFailed(const OwnerCall& aCall, ClientFailure aFailure)
{
  NoteServerFailure(aCall, aFailure);
  switch (aFailure) {
    case ClientFailure::kClosedBeforeAnswer:
    case ClientFailure::kTruncatedAnswer:
      m_endMonitor.OnUnanswered(aCall.Request().fingerprint, m_clock.Now());
      return;
    case ClientFailure::kConnectRefused:
      OnServerEndProven();
      return;
    default:
      return;
  }
}

void
RangeServerTask::OnServerEndProven()
{
  if (!m_grants.Incarnation()) {
    return;
  }
  auto end = m_endMonitor.OnEndProven(*m_grants.Incarnation());
  if (!end) {
    return;
  }
  end->running.resize(std::min(end->running.size(), kMaxRunningAtEnd));
  end->requests = static_cast<uint32_t>(end->running.size());
  m_logger.Warning("server-ended",
                   "server={} running={} first={:016x}",
                   m_grants.Incarnation()->id.Value(),
                   end->running.size(),
                   end->running.front().Value());
  m_suspects.AddEnd({ ServerEndId(end->id), end->running }, m_clock.Now());
  end->at = m_clock.WallNow();
  auto ends = m_state.OwnRecord().serverEnds;
  const auto oldest = OldestEnd(m_clock);
  std::erase_if(ends, [&](const auto& aItem) { return aItem.at < oldest; });
  ends.push_back(*std::move(end));
  if (ends.size() > kMaxServerEnds) {
    ends.erase(ends.begin());
  }
  m_state.PublishCrashEvidence(std::move(ends), m_state.OwnRecord().answered);
}

void
RangeServerTask::ReadCrashEvidence()
{
  const auto version = m_state.State().HostsVersion();
  if (m_hostsVersion == version) {
    return;
  }
  m_hostsVersion = version;
  const auto oldest = OldestEnd(m_clock);
  const auto& hosts = m_state.State().Hosts();
  for (const auto& [name, host] : hosts) {
    for (const auto& end : host.serverEnds) {
      if (end.at < oldest) {
        continue;
      }
      m_suspects.AddEnd({ ServerEndId(end.id), end.running, end.requests },
                        m_clock.Now());
    }
  }
  for (const auto& [name, host] : hosts) {
    for (const auto& item : host.answered) {
      m_suspects.OnAnsweredSince(ServerEndId(item.end), item.request);
    }
  }
}

/**
 * The records tell all hosts, and processes that start later, which requests
 * were running at an end. They have to tell as well which of these have been
 * answered since, or a popular request stays suspected.
 */
void
RangeServerTask::OnSuspectAnswered(RequestFingerprint aRequest,
                                   const std::vector<ServerEndId>& aEnds)
{
  for (const auto end : aEnds) {
    m_answered.push_back(AnsweredRequest{ end.Value(), aRequest });
  }
  if (!m_answered.empty() && !m_evidenceTimer.Running()) {
    m_evidenceTimer.StartOnce(kEvidenceDelay);
  }
}

void
RangeServerTask::WriteCrashEvidence()
{
  const auto& own = m_state.OwnRecord();
  auto answered = own.answered;
  answered.insert(answered.end(), m_answered.begin(), m_answered.end());
  m_answered.clear();
  // Answers of all hosts to what was running at ends of this one.
  std::set<AnsweredRequest> known(answered.begin(), answered.end());
  // What still has to be told: requests in the ends of other hosts.
  std::set<AnsweredRequest> open;
  for (const auto& [name, host] : m_state.State().Hosts()) {
    if (name == own.host) {
      continue;
    }
    known.insert(host.answered.begin(), host.answered.end());
    for (const auto& end : host.serverEnds) {
      for (const auto request : end.running) {
        open.insert(AnsweredRequest{ end.id, request });
      }
    }
  }
  auto ends = own.serverEnds;
  for (auto& end : ends) {
    std::erase_if(end.running, [&](const auto& aRequest) {
      return known.contains(AnsweredRequest{ end.id, aRequest });
    });
  }
  std::erase_if(ends, [](const auto& aEnd) { return aEnd.running.empty(); });
  std::set<AnsweredRequest> kept;
  std::erase_if(answered, [&](const auto& aItem) {
    return !open.contains(aItem) || !kept.insert(aItem).second;
  });
  if (answered.size() > kMaxAnswered) {
    const auto excess = answered.size() - kMaxAnswered;
    answered.erase(answered.begin(),
                   answered.begin() + static_cast<ptrdiff_t>(excess));
  }
  m_state.PublishCrashEvidence(std::move(ends), std::move(answered));
}

}
