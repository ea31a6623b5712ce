#include <utility>

#include "src/HostDaemon/RangeServerTask.h"

namespace pistachioshift {

void
RangeServerTask::OnAnswerHead(const OwnerCall& aCall, const ResponseHead& aHead)
{
  if (aCall.m_startedAt < m_serverSince) {
    return; // The answer of an earlier backend server.
  }
  const auto notice = m_dialect.ReadNotice(aHead);
  const auto& server = m_grants.Incarnation();
  if (notice.leaving && server) {
    OnLeave(LeaveOf(*server));
  }
  ApplyStatedLimit(aCall, notice);
  EndRateProbe(); // After the limit is known.
}

void
RangeServerTask::ApplyStatedLimit(const OwnerCall& aCall,
                                  const ServerNotice& aNotice)
{
  if (aNotice.malformedLimit && !std::exchange(m_malformedLimitLogged, true)) {
    m_logger.Warning("server-limit-malformed",
                     "id={}",
                     m_dialect.RequestLabel(aCall.Request().head));
  }
  if (aNotice.requestLimit) {
    m_limitStatedAt = m_clock.Now();
    LimitRate(aNotice.requestLimit);
    return;
  }
  // An answer to an earlier request may have been sent before the limit.
  const bool ended = m_limitStatedAt && !aNotice.malformedLimit &&
                     aCall.m_startedAt > *m_limitStatedAt;
  if (ended) {
    LimitRate(std::nullopt);
  }
}

void
RangeServerTask::LimitRate(std::optional<double> aPerSecond)
{
  if (!aPerSecond) {
    m_limitStatedAt.reset();
  }
  if (!m_gate) {
    return;
  }
  const auto before = m_gate->Rate();
  const auto actions = m_gate->SetRate(aPerSecond, m_clock.Now());
  if (before.has_value() != aPerSecond.has_value()) {
    m_logger.Info(aPerSecond ? "server-limit" : "server-limit-ended",
                  "server={} per_second={:.2f} queued={} running={}",
                  m_serverId ? m_serverId->Value() : "-",
                  aPerSecond.value_or(before.value_or(0.0)),
                  Queued(),
                  Running());
  }
  ApplyGateActions(actions);
}

void
RangeServerTask::EndRateProbe()
{
  if (!std::exchange(m_probesRate, false)) {
    return;
  }
  m_rateProbeTimer.Stop();
  ApplyGateActions(m_gate->SetLimit(m_slots, m_clock.Now()));
}

}
