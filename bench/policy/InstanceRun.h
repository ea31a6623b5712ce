#ifndef PISTACHIOSHIFT_BENCH_POLICY_INSTANCERUN_H
#define PISTACHIOSHIFT_BENCH_POLICY_INSTANCERUN_H

#include <queue>
#include <unordered_map>

#include "bench/policy/Results.h"

namespace pistachioshift::bench {

enum class InstancePolicy
{
  kRandom,
  kLeastReported,
  kBalancer,
};

struct InstanceScenario
{
  std::string name;
  double speedOfFirst = 1.0;
  bool firstLies = false; // Reports no load.
};

// A service without keys in virtual time: several senders, gated instances.
class InstanceRun
{
public:
  InstanceRun(const Deployment& aDeployment,
              const InstanceScenario& aScenario,
              InstancePolicy aPolicy)
    : m_deployment(aDeployment)
    , m_scenario(aScenario)
    , m_policy(aPolicy)
    , m_senders(aDeployment.keyedServers)
    , m_reports(aDeployment.instances)
    , m_sent(aDeployment.instances)
  {
    std::vector<DaemonId> ids;
    for (uint32_t index = 0; index < aDeployment.instances; ++index) {
      const auto settings =
        GateSettingsFor(aDeployment, aDeployment.instanceSlots);
      m_gates.emplace_back(settings);
      ids.emplace_back(index);
    }
    for (auto& sender : m_senders) {
      sender.SetInstances(ids, m_now);
    }
  }

  std::vector<std::pair<std::string, double>> Figures()
  {
    const auto slots =
      static_cast<double>(m_deployment.instances * m_deployment.instanceSlots);
    const auto rate = kLoad * slots / m_deployment.MeanService();
    auto arrival = m_start;
    auto report = m_start + kReportEvery;
    while (arrival < m_start + kLength) {
      if (arrival >= report) {
        RunUntil(report);
        Report();
        report += kReportEvery;
      }
      RunUntil(arrival);
      Arrive();
      arrival += DrawGap(rate, m_random);
    }
    const auto largest = *std::max_element(m_sent.begin(), m_sent.end());
    double sum = 0.0;
    for (const auto sent : m_sent) {
      sum += sent;
    }
    return { { "p50ms", m_tally.Quantile(0.5) },
             { "p99ms", m_tally.Quantile(0.99) },
             { "refused", m_tally.RefusedShare() },
             { "late", m_tally.LateShare() },
             { "maxOverMean", largest * m_deployment.instances / sum },
             { "toFirst", m_sent[0] / sum } };
  }

private:
  static constexpr double kLoad = 0.6;
  static constexpr seconds kLength{ 120 };
  static constexpr seconds kWarmUp{ 20 };
  static constexpr seconds kReportEvery{ 1 };

  struct Request
  {
    size_t sender = 0;
    uint32_t instance = 0;
    uint32_t requestClass = 0;
    MonoTime arrived;
    MonoTime deadline;
  };

  using Ending = std::pair<MonoTime, RequestId>;

  bool Counts(const Request& aRequest) const
  {
    return aRequest.arrived >= m_start + kWarmUp;
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

  // What arrives is one period old.
  void Report()
  {
    for (uint32_t index = 0; index < m_gates.size(); ++index) {
      for (auto& sender : m_senders) {
        sender.OnLoadReport(DaemonId(index), m_reports[index], m_now);
      }
      const auto& gate = m_gates[index];
      const auto load = gate.RunningCount() + gate.QueuedCount();
      const bool lies = index == 0 && m_scenario.firstLies;
      m_reports[index] = lies ? 0.0 : static_cast<double>(load);
    }
  }

  uint32_t Choose(size_t aSender)
  {
    const auto count = static_cast<uint32_t>(m_gates.size());
    std::uniform_int_distribution<uint32_t> any(0, count - 1);
    if (m_policy == InstancePolicy::kRandom) {
      return any(m_random);
    }
    if (m_policy == InstancePolicy::kLeastReported) {
      const auto least = std::min_element(m_reports.begin(), m_reports.end());
      return static_cast<uint32_t>(least - m_reports.begin());
    }
    const auto chosen = m_senders[aSender].Choose(m_random, m_now);
    return static_cast<uint32_t>(chosen->Value());
  }

  void Arrive()
  {
    const RequestId id{ 1, ++m_count };
    Request request;
    request.sender = m_count % m_senders.size();
    request.instance = Choose(request.sender);
    request.requestClass = DrawClass(m_deployment, m_random);
    request.arrived = m_now;
    request.deadline =
      m_now + DrawDeadline(m_deployment, request.requestClass, m_random);
    m_requests[id] = request;
    m_sent[request.instance] += Counts(request) ? 1.0 : 0.0;
    m_senders[request.sender].OnStart(DaemonId(request.instance));
    const ClassIndex index(request.requestClass);
    Carry(
      request.instance,
      m_gates[request.instance].Admit({ id, index, request.deadline }, m_now));
  }

  void End(const RequestId& aId)
  {
    const auto request = m_requests.at(aId);
    m_requests.erase(aId);
    const auto latency = m_now - request.arrived;
    if (Counts(request)) {
      m_tally.Done(latency, m_now <= request.deadline, 0.0);
    }
    Tell(request, InstanceResult::kDone);
    auto& gate = m_gates[request.instance];
    Carry(request.instance, gate.Finished(aId, ServiceResult::kDone, m_now));
  }

  void Tell(const Request& aRequest, InstanceResult aResult)
  {
    m_senders[aRequest.sender].OnEnd(
      DaemonId(aRequest.instance), aResult, m_now - aRequest.arrived, m_now);
  }

  void Carry(uint32_t aInstance, const AdmissionActions& aActions)
  {
    const auto speed = aInstance == 0 ? m_scenario.speedOfFirst : 1.0;
    for (const auto& id : aActions.starts) {
      const auto index = m_requests.at(id).requestClass;
      const auto& model = m_deployment.classes[index];
      const auto service = DrawService(model, m_random) / speed;
      m_endings.emplace(m_now + FromSeconds(service), id);
    }
    for (const auto& refusal : aActions.refusals) {
      const auto request = m_requests.at(refusal.id);
      m_requests.erase(refusal.id);
      if (Counts(request)) {
        m_tally.Refused();
      }
      Tell(request, InstanceResult::kShed);
    }
  }

  const Deployment& m_deployment;
  InstanceScenario m_scenario;
  InstancePolicy m_policy;
  RandomEngine m_random{ 20261204 };
  MonoTime m_start{ std::chrono::hours(1) };
  MonoTime m_now = m_start;
  std::vector<Balancer> m_senders;
  std::vector<AdmissionController> m_gates;
  std::vector<double> m_reports;
  std::vector<double> m_sent;
  std::unordered_map<RequestId, Request> m_requests;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> m_endings;
  uint64_t m_count = 0;
  Tally m_tally;
};

inline void
RunInstances(Table& aTable, const Deployment& aDeployment)
{
  const std::vector<InstanceScenario> scenarios{
    { "any-equal", 1.0, false },
    { "any-tenth", 0.1, false },
    { "any-tenth-lies", 0.1, true },
  };
  const std::vector<std::pair<std::string, InstancePolicy>> policies{
    { "random", InstancePolicy::kRandom },
    { "least-reported", InstancePolicy::kLeastReported },
    { "balancer", InstancePolicy::kBalancer },
  };
  for (const auto& scenario : scenarios) {
    for (const auto& [name, policy] : policies) {
      InstanceRun run(aDeployment, scenario, policy);
      aTable.Add({ aDeployment.name, scenario.name, name, run.Figures() });
    }
  }
}

}

#endif
