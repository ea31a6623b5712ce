// RangeServerTask: pace of a backend server that is cold, or has just started
// or recovered.

#include <algorithm>
#include <utility>

#include "src/HostDaemon/RangeServerTask.h"

namespace pistachioshift {

namespace {

using std::chrono::milliseconds;

/** All connections of a process are lost at its end, and the check must be sent
 * after the last of these losses. */
constexpr Duration kColdCheckDelay = milliseconds(20);

/** Time for the answer to a check, which is given without any work. */
constexpr Duration kColdCheckTimeout = milliseconds(400);

/** A server that may be cold is reported with less capacity after this time,
 * because most checks say that it is warm, and moves of keys have a cost. */
constexpr Duration kReportDelay = milliseconds(300);

bool
ShowsServerFailure(ClientFailure aFailure)
{
  switch (aFailure) {
    case ClientFailure::kConnectRefused:
    case ClientFailure::kConnectTimeout:
    case ClientFailure::kClosedBeforeAnswer:
    case ClientFailure::kTruncatedAnswer:
    case ClientFailure::kTimeout:
      return true;
    default:
      return false;
  }
}

}

/** Reads the answer to one check of whether the server is cold. */
class RangeServerTask::ColdCheck : public ClientListener
{
public:
  ColdCheck(RangeServerTask& aTask, MonoTime aAskedAt)
    : m_task(aTask)
    , m_askedAt(aAskedAt)
  {
  }

  void OnHead(const ResponseHead& aHead) override { m_head = aHead; }
  void OnBody(std::string_view) override {}
  void OnEnd() override
  {
    m_task.m_coldExchange.reset();
    m_task.m_coldCheckTimer.Stop();
    m_task.OnColdChecked(m_head, m_askedAt);
  }
  void OnDrained() override {}
  void OnFailed(ClientFailure) override {} // The timer ends the check.

private:
  RangeServerTask& m_task;
  MonoTime m_askedAt;
  ResponseHead m_head;
};

void
RangeServerTask::SetColdPace(const ColdPace& aPace)
{
  m_pace.SetColdPace(aPace);
  m_pace.OnTick(m_clock.Now());
  UpdatePace();
}

void
RangeServerTask::NotePaceHeartbeat(const ServerHeartbeat& aHeartbeat)
{
  const auto& known = m_grants.Incarnation();
  PaceHeartbeat heartbeat;
  heartbeat.coldLeft = aHeartbeat.warmUpLeft;
  heartbeat.age = m_clock.WallNow() - aHeartbeat.incarnation.startedAt;
  if (!known) {
    heartbeat.origin = HeartbeatOrigin::kFirst;
  } else if (*known != aHeartbeat.incarnation) {
    heartbeat.origin = HeartbeatOrigin::kRestarted;
  } else if (m_silent) {
    heartbeat.origin = HeartbeatOrigin::kReturned;
  }
  m_pace.OnHeartbeat(heartbeat, m_clock.Now());
  UpdatePace();
}

void
RangeServerTask::NoteServerFailure(const OwnerCall& aCall,
                                   ClientFailure aFailure)
{
  if (!ShowsServerFailure(aFailure)) {
    return;
  }
  const bool refused = aFailure == ClientFailure::kConnectRefused;
  m_pace.OnConnectionLost(aCall.m_startedAt, refused, m_clock.Now());
  UpdatePace();
}

void
RangeServerTask::NotePaceEnd(const OwnerCall& aCall, ServiceResult aResult)
{
  if (aCall.m_state == OwnerCall::State::kRunning) {
    m_pace.OnEnded(aCall.Request().id, aResult, m_clock.Now());
    UpdatePace();
  }
}

void
RangeServerTask::UpdatePace()
{
  if (!m_gate) {
    return;
  }
  const auto now = m_clock.Now();
  LogPace(m_pace.Reason(now));
  auto limits = m_pace.Limits(now);
  if (!m_pace.HasStatedPace()) {
    // Without a stated pace, fewer requests at once served callers less.
    limits.slots.reset();
  }
  if (limits != m_paceLimits) {
    m_paceLimits = limits;
    ApplyGateActions(m_gate->SetPace(limits.perSecond, limits.slots, now));
  }
  if (!m_coldCheckTimer.Running() && m_pace.WantsHealthCheck(now)) {
    m_coldCheckTimer.StartOnce(kColdCheckDelay);
  }
}

void
RangeServerTask::LogPace(PaceReason aReason)
{
  const auto before = std::exchange(m_paceReason, aReason);
  if (before == aReason) {
    return;
  }
  const auto since = std::exchange(m_pacedSince, m_clock.Now());
  const auto limits = m_pace.Limits(m_clock.Now());
  const bool ended = aReason == PaceReason::kNone;
  m_logger.Info(
    ended ? "server-pace-ended" : "server-pace",
    "server={} reason={} per_second={:.1f} limit={} after_ms={} running={} "
    "queued={}",
    m_serverId ? m_serverId->Value() : "-",
    ToString(ended ? before : aReason),
    limits.perSecond.value_or(-1.0),
    limits.slots.value_or(m_slots),
    ended
      ? std::chrono::duration_cast<milliseconds>(m_pacedSince - since).count()
      : 0,
    Running(),
    Queued());
}

void
RangeServerTask::OnColdCheckTimer()
{
  if (const auto exchange = std::exchange(m_coldExchange, nullptr)) {
    exchange->Cancel();
    m_pace.OnHealthUnanswered();
  }
  const auto now = m_clock.Now();
  if (!m_serverId || !m_pace.WantsHealthCheck(now)) {
    return;
  }
  m_pace.OnHealthCheckSent(now);
  RequestHead head;
  head.method = "GET";
  head.target = m_healthPath;
  m_coldExchange = m_pool.Start(head, std::make_shared<ColdCheck>(*this, now));
  m_coldExchange->Finish();
  m_coldCheckTimer.StartOnce(kColdCheckTimeout);
}

void
RangeServerTask::OnColdChecked(const ResponseHead& aAnswer, MonoTime aAskedAt)
{
  // Another server, or one that is about to stop, proves nothing.
  if (m_serverId && m_dialect.ReadHealth(aAnswer) == *m_serverId) {
    m_pace.OnHealth(m_dialect.ReadColdTime(aAnswer), aAskedAt, m_clock.Now());
  } else {
    m_pace.OnHealthUnanswered();
  }
  UpdatePace();
}

HostReport
RangeServerTask::MakeReport(size_t aMaxBuckets)
{
  const auto now = m_clock.Now();
  HostReport report;
  report.host = m_state.Self();
  const bool brief =
    m_paceReason == PaceReason::kMaybeCold && now - m_pacedSince < kReportDelay;
  const auto pace = brief ? PaceLimits{} : m_paceLimits;
  const auto slots = std::min(m_slots, pace.slots.value_or(m_slots));
  report.capacity = slots / std::max(m_serviceTime.Seconds(), 1e-3);
  if (const auto rate = m_gate ? m_gate->Rate() : std::nullopt) {
    report.capacity = std::min(report.capacity, *rate);
  }
  if (pace.perSecond) {
    report.capacity = std::min(report.capacity, *pace.perSecond);
  }
  report.buckets = m_loadMeter.EndInterval(now, aMaxBuckets);
  return report;
}

}
