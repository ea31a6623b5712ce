#include <algorithm>
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
  m_state.PublishServerEnds(std::move(ends));
}

void
RangeServerTask::ReadServerEnds()
{
  const auto version = m_state.State().HostsVersion();
  if (m_hostsVersion == version) {
    return;
  }
  m_hostsVersion = version;
  const auto oldest = OldestEnd(m_clock);
  for (const auto& [name, host] : m_state.State().Hosts()) {
    for (const auto& end : host.serverEnds) {
      if (end.at < oldest) {
        continue;
      }
      m_suspects.AddEnd({ ServerEndId(end.id), end.running }, m_clock.Now());
    }
  }
}

}
