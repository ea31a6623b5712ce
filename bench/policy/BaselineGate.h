#ifndef PISTACHIOSHIFT_BENCH_POLICY_BASELINEGATE_H
#define PISTACHIOSHIFT_BENCH_POLICY_BASELINEGATE_H

#include <algorithm>
#include <unordered_set>
#include <vector>

#include "bench/policy/Deployment.h"

namespace pistachioshift::bench {

enum class BaselineOrder
{
  kFifo,
  kEdf,
  kPrune, // Laxity; drops the heaviest of those that make one infeasible.
};

// One queue over a fixed number of slots; expired requests leave at its head.
class BaselineGate
{
public:
  BaselineGate(const Deployment& aDeployment,
               uint32_t aSlots,
               BaselineOrder aOrder)
    : m_deployment(aDeployment)
    , m_slots(aSlots)
    , m_order(aOrder)
  {
  }

  AdmissionActions Admit(const AdmissionRequest& aRequest, MonoTime aNow)
  {
    AdmissionActions actions;
    if (m_queue.size() >= kQueueBound) {
      actions.refusals.push_back({ aRequest.id, RefusalReason::kQueueFull });
      return actions;
    }
    Insert(aRequest);
    if (m_order == BaselineOrder::kPrune && m_running.size() >= m_slots) {
      Prune(actions, aNow);
    }
    StartNext(actions, aNow);
    return actions;
  }

  AdmissionActions Finished(const RequestId& aId, ServiceResult, MonoTime aNow)
  {
    AdmissionActions actions;
    m_running.erase(aId);
    StartNext(actions, aNow);
    return actions;
  }

  void Restarted(MonoTime) {}

private:
  struct Waiting
  {
    AdmissionRequest request;
    Duration service;
    MonoTime key;
  };

  void Insert(const AdmissionRequest& aRequest)
  {
    const auto index = aRequest.requestClass.Value();
    const auto service =
      FromSeconds(m_deployment.classes[index].serviceSeconds);
    MonoTime key{};
    if (m_order == BaselineOrder::kEdf) {
      key = aRequest.deadline;
    }
    if (m_order == BaselineOrder::kPrune) {
      key = aRequest.deadline - service;
    }
    const auto later = [](MonoTime aKey, const Waiting& aOther) {
      return aKey < aOther.key;
    };
    const auto place =
      std::upper_bound(m_queue.begin(), m_queue.end(), key, later);
    m_queue.insert(place, Waiting{ aRequest, service, key });
  }

  void StartNext(AdmissionActions& aActions, MonoTime aNow)
  {
    while (m_running.size() < m_slots && !m_queue.empty()) {
      const auto request = m_queue.front().request;
      m_queue.erase(m_queue.begin());
      if (request.deadline <= aNow) {
        aActions.refusals.push_back(
          { request.id, RefusalReason::kDeadlineExpired });
        continue;
      }
      m_running.insert(request.id);
      aActions.starts.push_back(request.id);
    }
  }

  // After the overload control of the paper's section 4.4.
  void Prune(AdmissionActions& aActions, MonoTime aNow)
  {
    size_t index = 0;
    Duration ahead{};
    while (index < m_queue.size()) {
      const auto& one = m_queue[index];
      const auto finish = aNow + ahead / m_slots + one.service;
      ahead += one.service;
      ++index;
      if (finish <= one.request.deadline) {
        continue;
      }
      const auto end = m_queue.begin() + static_cast<std::ptrdiff_t>(index);
      const auto heaviest = std::max_element(
        m_queue.begin(), end, [](const Waiting& aOne, const Waiting& aTwo) {
          return aOne.service < aTwo.service;
        });
      aActions.refusals.push_back(
        { heaviest->request.id, RefusalReason::kDisplaced });
      m_queue.erase(heaviest);
      index = 0;
      ahead = Duration{};
    }
  }

  const Deployment& m_deployment;
  uint32_t m_slots;
  BaselineOrder m_order;
  std::vector<Waiting> m_queue;
  std::unordered_set<RequestId> m_running;
};

}

#endif
