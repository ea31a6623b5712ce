#include "src/Routing/ServerPace.h"

#include <algorithm>

#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::Seconds;

namespace {

using std::chrono::milliseconds;

/** An answer that takes longer than this multiple of the median is slow: a cold
 * server needs 2 to 2.6 times the usual time. */
constexpr double kSlowFactor = 1.5;

/** Answers that are looked at, and how many of them must be slow. Fewer would
 * take the usual spread of service times for a cold server. */
constexpr size_t kObservedAnswers = 8;
constexpr size_t kSlowAnswers = 5;

/** An answer is late after this multiple of the median. */
constexpr double kLateFactor = 1.5;

/** The same for a server with a stated pace, which is expected to be slow. */
constexpr double kColdLateFactor = 4.0;

/** Health checks cost the server a request: three at once, then one a second.
 */
constexpr double kMaxChecks = 3.0;
constexpr double kChecksPerSecond = 1.0;

/** Least time between two checks because of slow answers only. */
constexpr Duration kSlowCheckInterval = milliseconds(1000);

/** Connections lost one after the other, with no answer in between, that count
 * as an outage. Single ones are also reset by the network. */
constexpr uint32_t kOutageLosses = 3;

/** Duration of a cold start where the operator states none. */
constexpr Duration kDefaultColdTime = milliseconds(3000);

/** A slow start lasts for the cold time and this at most. */
constexpr Duration kExtraTime = milliseconds(2000);

}

const char*
ToString(PaceReason aReason)
{
  switch (aReason) {
    case PaceReason::kNone:
      return "none";
    case PaceReason::kCold:
      return "cold";
    case PaceReason::kMaybeCold:
      return "maybe-cold";
    case PaceReason::kSlowStart:
      return "slow-start";
  }
  return "?";
}

ServerPace::ServerPace(MonoTime aNow)
  : m_cold(aNow)
  , m_checks(kMaxChecks)
  , m_checksAt(aNow)
{
}

bool
ServerPace::IsCold(MonoTime aNow) const
{
  return HasStatedPace() && (m_cold.InDoubt() || m_cold.StatedCold(aNow));
}

void
ServerPace::SetSlots(uint32_t aSlots, MonoTime aNow)
{
  m_slots = aSlots;
  if (m_wasCold) {
    m_slowStart.Begin(m_slots, m_slots, Duration::max() / 4, aNow);
  }
}

void
ServerPace::UpdateCold(MonoTime aNow)
{
  const bool cold = IsCold(aNow);
  if (cold == m_wasCold) {
    return;
  }
  m_wasCold = cold;
  m_slowAnswers.clear();
  if (cold) {
    m_slowStart.Begin(m_slots, m_slots, Duration::max() / 4, aNow);
  } else {
    m_slowStart.End();
    m_warmSince = aNow;
  }
}

void
ServerPace::BeginSlowStart(MonoTime aNow)
{
  if (HasStatedPace() || m_slowStart.Active()) {
    return;
  }
  const auto coldTime =
    m_stated.coldTime > Duration{} ? m_stated.coldTime : kDefaultColdTime;
  m_slowStart.Begin(
    m_slots, SlowStart::MinLimit(m_slots), coldTime + kExtraTime, aNow);
}

void
ServerPace::OnHeartbeat(const PaceHeartbeat& aHeartbeat, MonoTime aNow)
{
  const auto origin = aHeartbeat.origin;
  const bool started =
    origin == HeartbeatOrigin::kRestarted || origin == HeartbeatOrigin::kFirst;
  if (started) {
    m_cold.Doubt(ColdDoubt::kServerStarted, aNow);
  } else if (origin == HeartbeatOrigin::kReturned) {
    m_cold.Doubt(ColdDoubt::kFailed, aNow);
  }
  m_cold.OnHeartbeat(aHeartbeat.coldLeft, aNow);
  // A server that ran long before this process knew it has no cold start.
  const bool ranBefore =
    origin == HeartbeatOrigin::kFirst && aHeartbeat.age > kDefaultColdTime;
  if (origin != HeartbeatOrigin::kKnown && !ranBefore) {
    m_slowStart.End(); // Begins again, if it was one of an earlier start.
    BeginSlowStart(aNow);
  }
  UpdateCold(aNow);
}

void
ServerPace::OnSilent(MonoTime aNow)
{
  m_cold.Doubt(ColdDoubt::kFailed, aNow);
  UpdateCold(aNow);
}

void
ServerPace::OnHealth(std::optional<Duration> aLeft,
                     MonoTime aAskedAt,
                     MonoTime aNow)
{
  m_checking = false;
  if (aLeft) {
    m_cold.OnHealth(*aLeft, aAskedAt, aNow);
  } else {
    m_cold.WithdrawSlow();
  }
  UpdateCold(aNow);
}

void
ServerPace::OnStarted(const RequestId& aId,
                      ClassIndex aClass,
                      Duration aGoal,
                      MonoTime aNow)
{
  m_running[aId] = RunningRequest{ aClass, aGoal, aNow };
}

void
ServerPace::OnEnded(const RequestId& aId, ServiceResult aResult, MonoTime aNow)
{
  const auto found = m_running.find(aId);
  if (found == m_running.end()) {
    return;
  }
  const auto request = found->second;
  m_running.erase(found);
  UpdateCold(aNow);
  switch (aResult) {
    case ServiceResult::kDone:
      OnAnswered(request, aNow);
      break;
    case ServiceResult::kShed:
      m_slowStart.OnFailed(request.started, aNow);
      break;
    case ServiceResult::kFailed:
    case ServiceResult::kCancelled:
      // Lost connections are counted apart. A request that ended early for
      // another reason says nothing about the server.
      if (IsLate(request, aNow)) {
        m_slowStart.OnAnswer(request.started, true, aNow);
      }
      break;
  }
}

void
ServerPace::OnAnswered(const RunningRequest& aRequest, MonoTime aNow)
{
  m_lostInARow = 0;
  m_slowStart.OnAnswer(aRequest.started, IsLate(aRequest, aNow), aNow);
  if (m_wasCold || m_slowStart.Active() || aRequest.started < m_warmSince) {
    return;
  }
  if (m_usual.Of(aRequest.requestClass)) {
    m_slowAnswers.push_back(IsSlow(aRequest, aNow));
  }
  if (m_slowAnswers.size() > kObservedAnswers) {
    m_slowAnswers.pop_front();
  }
  m_usual.Record(aRequest.requestClass, aNow - aRequest.started);
}

bool
ServerPace::IsLate(const RunningRequest& aRequest, MonoTime aNow) const
{
  const auto taken = aNow - aRequest.started;
  const auto usual = m_usual.Of(aRequest.requestClass);
  if (!usual) {
    return aRequest.goal > Duration{} && taken > aRequest.goal;
  }
  const auto factor = HasStatedPace() ? kColdLateFactor : kLateFactor;
  return Seconds(taken) > factor * Seconds(*usual);
}

bool
ServerPace::IsSlow(const RunningRequest& aRequest, MonoTime aNow) const
{
  const auto usual = m_usual.Of(aRequest.requestClass);
  const auto taken = aNow - aRequest.started;
  return usual && Seconds(taken) > kSlowFactor * Seconds(*usual);
}

// Requests that run for longer than usual count like answers that took as long:
// their answers would come too late to tell that the server is cold.
bool
ServerPace::AnswersAreSlow(MonoTime aNow) const
{
  size_t slow = 0;
  for (const auto& [id, request] : m_running) {
    slow += request.started >= m_warmSince && IsSlow(request, aNow) ? 1 : 0;
  }
  slow = std::min(slow, kObservedAnswers);
  const auto answers = std::min(m_slowAnswers.size(), kObservedAnswers - slow);
  if (slow + answers < kObservedAnswers) {
    return false;
  }
  const auto latest = m_slowAnswers.end() - static_cast<ptrdiff_t>(answers);
  slow += static_cast<size_t>(std::count(latest, m_slowAnswers.end(), true));
  return slow >= kSlowAnswers;
}

void
ServerPace::OnConnectionLost(MonoTime aStarted, bool aRefused, MonoTime aNow)
{
  ++m_lostInARow;
  m_cold.Doubt(ColdDoubt::kFailed, aNow);
  UpdateCold(aNow);
  m_slowStart.OnFailed(aStarted, aNow);
  if (aRefused || m_lostInARow >= kOutageLosses) {
    BeginSlowStart(aNow);
  }
}

void
ServerPace::OnEvacuationEnded(MonoTime aNow)
{
  m_cold.Doubt(ColdDoubt::kEvacuationEnded, aNow);
  BeginSlowStart(aNow);
  UpdateCold(aNow);
}

double
ServerPace::ChecksAt(MonoTime aNow) const
{
  const auto refill = kChecksPerSecond * Seconds(aNow - m_checksAt);
  return std::min(kMaxChecks, m_checks + refill);
}

bool
ServerPace::WantsHealthCheck(MonoTime aNow) const
{
  return HasStatedPace() && m_canAsk && !m_checking &&
         m_cold.WantsHealthCheck() && ChecksAt(aNow) >= 1.0;
}

void
ServerPace::OnHealthCheckSent(MonoTime aNow)
{
  m_checks = ChecksAt(aNow) - 1.0;
  m_checksAt = aNow;
  m_checking = true;
}

void
ServerPace::OnTick(MonoTime aNow)
{
  UpdateCold(aNow);
  if (m_wasCold) {
    return;
  }
  m_slowStart.OnTime(m_running.empty() && !m_cold.StatedCold(aNow), aNow);
  const bool mayAsk = HasStatedPace() && m_canAsk && !m_checking &&
                      aNow >= m_nextSlowCheck && ChecksAt(aNow) >= 1.0;
  if (mayAsk && AnswersAreSlow(aNow)) {
    m_nextSlowCheck = aNow + kSlowCheckInterval;
    m_cold.Doubt(ColdDoubt::kSlow, aNow);
    UpdateCold(aNow);
  }
}

PaceLimits
ServerPace::Limits(MonoTime aNow) const
{
  PaceLimits limits;
  if (IsCold(aNow)) {
    limits.perSecond = m_stated.perSecond;
  }
  if (m_slowStart.Active() && m_slowStart.Limit() < m_slots) {
    limits.slots = m_slowStart.Limit();
  }
  return limits;
}

PaceReason
ServerPace::Reason(MonoTime aNow) const
{
  if (IsCold(aNow)) {
    return m_cold.StatedCold(aNow) ? PaceReason::kCold : PaceReason::kMaybeCold;
  }
  return m_slowStart.Active() ? PaceReason::kSlowStart : PaceReason::kNone;
}

}
