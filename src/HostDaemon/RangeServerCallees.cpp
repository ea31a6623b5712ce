// RangeServerTask: refuses outer requests while the calls that the backend
// server makes fail.

#include "src/HostDaemon/CalleeRecord.h"
#include "src/HostDaemon/RangeServerTask.h"

namespace pistachioshift {

namespace {

/** The throttle's memory: what a refused caller waits for is an answer of the
 * callee, and that shows in about this time. */
constexpr Duration kCalleeRetryAfter = std::chrono::milliseconds(1000);

/** A throttle that has refused nothing for this time is logged as ended. */
constexpr Duration kThrottleEndTime = std::chrono::seconds(5);

constexpr int kFirstServerErrorStatus = 500;

/** Whether the refusal is about the call itself, whatever the callee's state.
 */
bool
IsFaultOfCall(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::kNoService:
    case RefusalReason::kNoKey:
    case RefusalReason::kBodyTooLarge:
    case RefusalReason::kBodyTimeout:
    case RefusalReason::kFatalRequest:
      return true;
    default:
      return false;
  }
}

}

CalleeResult
CalleeResultOf(const IngressRecord& aRecord)
{
  if (aRecord.status != 0 && !aRecord.reason) {
    return aRecord.status < kFirstServerErrorStatus ? CalleeResult::kAnswered
                                                    : CalleeResult::kFailed;
  }
  const auto reason = aRecord.reason.value_or(RefusalReason::kCancelled);
  if (reason == RefusalReason::kCancelled) {
    // A caller that leaves earlier may have been cancelled itself.
    const auto goal = aRecord.resolved ? aRecord.resolved->goal : Duration{};
    const bool late = aRecord.status == 0 && aRecord.elapsed >= goal;
    return late ? CalleeResult::kFailed : CalleeResult::kNeutral;
  }
  return IsFaultOfCall(reason) ? CalleeResult::kNeutral : CalleeResult::kFailed;
}

void
RangeServerTask::NoteRunning(const OwnerCall& aCall)
{
  m_runningLabels.insert(m_dialect.RequestLabel(aCall.Request().head));
  if (!aCall.Request().nested) {
    m_callees.OnStarted(m_clock.Now());
  }
}

void
RangeServerTask::NoteRunEnded(const OwnerCall& aCall)
{
  if (aCall.m_state != OwnerCall::State::kRunning) {
    return;
  }
  const auto label = m_dialect.RequestLabel(aCall.Request().head);
  const auto found = m_runningLabels.find(label);
  if (found != m_runningLabels.end()) {
    m_runningLabels.erase(found);
  }
}

void
RangeServerTask::OnNestedEnd(const IngressRecord& aRecord)
{
  if (aRecord.resolved != nullptr) {
    m_callees.OnCallEnded(
      aRecord.resolved->policy.name, CalleeResultOf(aRecord), m_clock.Now());
  }
}

bool
RangeServerTask::RefuseForCallees(const CallPtr& aCall)
{
  if (aCall->Request().nested) {
    return false;
  }
  const auto now = m_clock.Now();
  if (m_callees.Admits(now)) {
    if (m_calleesThrottledAt &&
        now - *m_calleesThrottledAt >= kThrottleEndTime) {
      m_calleesThrottledAt.reset();
      m_logger.Info("callee-throttle-ended", "running={}", Running());
    }
    return false;
  }
  if (!m_calleesThrottledAt) {
    const auto callee = m_callees.WorstCallee(now);
    m_logger.Info("callee-throttle",
                  "callee={} refused_share={:.2f} running={}",
                  callee ? callee->Value() : "-",
                  m_callees.RefusedShare(now),
                  Running());
  }
  m_calleesThrottledAt = now;
  aCall->Refuse(RefusalReason::kCalleeOverloaded, kCalleeRetryAfter);
  return true;
}

}
