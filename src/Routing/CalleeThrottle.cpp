#include "src/Routing/CalleeThrottle.h"

#include <algorithm>

namespace pistachioshift {

namespace {

/** Fewer calls than this say nothing. */
constexpr double kMinCalls = 8.0;

/** Calls that are wanted for each answered one before requests are refused. A
 * callee that sheds half of its calls at random, although it has room, still
 * answers some of the requests; with 1.5, a third of these would be refused
 * while slots are free. */
constexpr double kWantedPerAnswer = 3.0;

/** The same factor while nearly all calls that are sent are answered. The rate
 * of admitted requests then grows from a tenth to all of them in less than two
 * seconds. */
constexpr double kWantedPerAnswerInRecovery = 5.0;
constexpr double kRecoveredShare = 0.9;

/** Calls end later than their request starts: after a fall of the load, more
 * calls end than requests start. */
constexpr double kMaxCallsPerRequest = 4.0;

/** At least a twentieth of the requests is admitted, to notice a recovery. */
constexpr double kMaxRefusedShare = 0.95;

}

bool
CalleeThrottle::Admits(MonoTime aNow)
{
  const auto share = RefusedShare(aNow);
  m_due = share > 0.0 ? m_due + share : 0.0;
  if (m_due < 1.0) {
    return true;
  }
  m_due -= 1.0;
  for (auto& [name, callee] : m_callees) {
    callee.withheld.Add(CallsPerRequest(callee, aNow), aNow);
  }
  return false;
}

void
CalleeThrottle::OnCallEnded(const ServiceName& aCallee,
                            CalleeResult aResult,
                            MonoTime aNow)
{
  if (aResult == CalleeResult::kNeutral) {
    return;
  }
  auto& callee = m_callees[aCallee];
  callee.sent.Add(1.0, aNow);
  if (aResult == CalleeResult::kAnswered) {
    callee.answered.Add(1.0, aNow);
  }
}

double
CalleeThrottle::CallsPerRequest(const Callee& aCallee, MonoTime aNow) const
{
  const auto started = std::max(m_started.At(aNow), 1.0);
  return std::min(aCallee.sent.At(aNow) / started, kMaxCallsPerRequest);
}

double
CalleeThrottle::RefusedShareBy(const Callee& aCallee, MonoTime aNow) const
{
  const auto sent = aCallee.sent.At(aNow);
  const auto wanted = sent + aCallee.withheld.At(aNow);
  if (wanted < kMinCalls) {
    return 0.0;
  }
  const auto answered = aCallee.answered.At(aNow);
  const auto factor = answered >= kRecoveredShare * sent
                        ? kWantedPerAnswerInRecovery
                        : kWantedPerAnswer;
  const auto excess = (wanted - factor * answered) / (wanted + 1.0);
  // Requests that make several calls to a callee count once.
  return std::clamp(excess, 0.0, kMaxRefusedShare) *
         std::min(CallsPerRequest(aCallee, aNow), 1.0);
}

double
CalleeThrottle::RefusedShare(MonoTime aNow) const
{
  double share = 0.0;
  for (const auto& [name, callee] : m_callees) {
    share = std::max(share, RefusedShareBy(callee, aNow));
  }
  return share;
}

std::optional<ServiceName>
CalleeThrottle::WorstCallee(MonoTime aNow) const
{
  std::optional<ServiceName> worst;
  double largest = 0.0;
  for (const auto& [name, callee] : m_callees) {
    const auto share = RefusedShareBy(callee, aNow);
    if (share > largest) {
      largest = share;
      worst = name;
    }
  }
  return worst;
}

}
