#ifndef PISTACHIOSHIFT_BENCH_POLICY_GATERUN_H
#define PISTACHIOSHIFT_BENCH_POLICY_GATERUN_H

#include <queue>
#include <unordered_map>

#include "bench/policy/BaselineGate.h"
#include "bench/policy/Results.h"

namespace pistachioshift::bench {

// What goes wrong at the backend server between the fault's two times.
struct Fault
{
  double speed = 1.0;
  uint32_t shedsAbove = 0; // Requests at once; 0: never sheds.
};

struct GateScenario
{
  std::string name;
  double load = 1.0; // Of the capacity of all slots.
  Fault fault;
};

// One gate before one backend server, in virtual time.
template<class GateType>
class GateRun
{
public:
  GateRun(const Deployment& aDeployment,
          const GateScenario& aScenario,
          GateType& aGate)
    : m_deployment(aDeployment)
    , m_scenario(aScenario)
    , m_gate(aGate)
  {
  }

  std::vector<std::pair<std::string, double>> Figures()
  {
    const auto slots = static_cast<double>(m_deployment.keyedSlots);
    const auto rate = m_scenario.load * slots / m_deployment.MeanService();
    auto arrival = m_start;
    while (arrival < m_start + kLength) {
      RunUntil(arrival);
      Arrive();
      arrival += DrawGap(rate, m_random);
    }
    const auto offered = slots * Seconds(kLength - kWarmUp);
    return { { "p50ms", m_tally.Quantile(0.5) },
             { "p99ms", m_tally.Quantile(0.99) },
             { "goodput", m_tally.GoodWork() / offered },
             { "refused", m_tally.RefusedShare() },
             { "late", m_tally.LateShare() },
             { "shed", ShedShare() } };
  }

private:
  static constexpr seconds kLength{ 120 };
  static constexpr seconds kWarmUp{ 20 };

  struct Request
  {
    uint32_t requestClass = 0;
    MonoTime arrived;
    MonoTime deadline;
    bool shed = false;
  };

  using Ending = std::pair<MonoTime, RequestId>;

  bool Counts(const Request& aRequest) const
  {
    return aRequest.arrived >= m_start + kWarmUp;
  }

  double ShedShare() const
  {
    return m_count == 0
             ? 0.0
             : static_cast<double>(m_shed) / static_cast<double>(m_count);
  }

  void RunUntil(MonoTime aTime)
  {
    while (!m_endings.empty() && m_endings.top().first <= aTime) {
      const auto [time, id] = m_endings.top();
      m_endings.pop();
      m_now = time;
      End(id);
    }
    m_now = aTime;
  }

  void Arrive()
  {
    const RequestId id{ 1, ++m_count };
    const auto index = DrawClass(m_deployment, m_random);
    const auto deadline = m_now + DrawDeadline(m_deployment, index, m_random);
    m_requests[id] = { index, m_now, deadline };
    Carry(m_gate.Admit({ id, ClassIndex(index), deadline }, m_now));
  }

  void End(const RequestId& aId)
  {
    const auto request = m_requests.at(aId);
    m_requests.erase(aId);
    --m_running;
    if (Counts(request)) {
      if (request.shed) {
        m_tally.Refused();
      } else {
        const auto& model = m_deployment.classes[request.requestClass];
        m_tally.Done(m_now - request.arrived,
                     m_now <= request.deadline,
                     model.serviceSeconds);
      }
    }
    const auto result =
      request.shed ? ServiceResult::kShed : ServiceResult::kDone;
    Carry(m_gate.Finished(aId, result, m_now));
  }

  void Carry(const AdmissionActions& aActions)
  {
    for (const auto& id : aActions.starts) {
      Start(id);
    }
    for (const auto& refusal : aActions.refusals) {
      if (Counts(m_requests.at(refusal.id))) {
        m_tally.Refused();
      }
      m_requests.erase(refusal.id);
    }
  }

  void Start(const RequestId& aId)
  {
    auto& request = m_requests.at(aId);
    const auto& fault = m_scenario.fault;
    ++m_running;
    if (fault.shedsAbove > 0 && m_running > fault.shedsAbove) {
      request.shed = true;
      ++m_shed;
      m_endings.emplace(m_now + milliseconds(1), aId);
      return;
    }
    const auto& model = m_deployment.classes[request.requestClass];
    const auto service = DrawService(model, m_random) / fault.speed;
    m_endings.emplace(m_now + FromSeconds(service), aId);
  }

  const Deployment& m_deployment;
  const GateScenario& m_scenario;
  GateType& m_gate;
  RandomEngine m_random{ 20261204 };
  MonoTime m_start{ std::chrono::hours(1) };
  MonoTime m_now = m_start;
  std::unordered_map<RequestId, Request> m_requests;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
  uint64_t m_count = 0;
  uint64_t m_shed = 0;
  uint32_t m_running = 0;
  Tally m_tally;
};

template<class GateType>
void
AddGateRow(Table& aTable,
           const Deployment& aDeployment,
           const GateScenario& aScenario,
           const std::string& aPolicy,
           GateType aGate)
{
  GateRun<GateType> run(aDeployment, aScenario, aGate);
  aTable.Add({ aDeployment.name, aScenario.name, aPolicy, run.Figures() });
}

inline void
RunGates(Table& aTable, const Deployment& aDeployment)
{
  const std::vector<GateScenario> scenarios{
    { "gate-0.9x", 0.9, {} },
    { "gate-1.5x", 1.5, {} },
    { "gate-tenth-speed", 0.5, { 0.1, 0 } },
    { "gate-sheds", 0.5, { 1.0, aDeployment.keyedSlots / 2 } },
  };
  const auto slots = aDeployment.keyedSlots;
  for (const auto& scenario : scenarios) {
    const auto baseline = [&](const std::string& aName, BaselineOrder aOrder) {
      AddGateRow(aTable,
                 aDeployment,
                 scenario,
                 aName,
                 BaselineGate(aDeployment, slots, aOrder));
    };
    const auto gate = [&](const std::string& aName, QueueOrder aOrder) {
      auto settings = GateSettingsFor(aDeployment, slots);
      settings.order = aOrder;
      AddGateRow(
        aTable, aDeployment, scenario, aName, AdmissionController(settings));
    };
    baseline("fifo", BaselineOrder::kFifo);
    baseline("edf", BaselineOrder::kEdf);
    baseline("paper-prune", BaselineOrder::kPrune);
    gate("gate-fifo", QueueOrder::kArrival);
    gate("gate-edf", QueueOrder::kDeadline);
    gate("gate", QueueOrder::kLaxity);
  }
}

}

#endif
