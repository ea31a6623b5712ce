#include "src/Routing/AdmissionController.h"

#include <algorithm>
#include <limits>

#include "src/Routing/RoutingError.h"
#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::FromSeconds;
using internal::Seconds;

namespace {

constexpr double kServiceSmoothing = 0.1;   // Weight of the newest sample.
constexpr int kOverloadHorizonServices = 4; // In mean service times.
// Slots kept for nested calls become free without any event.
constexpr Duration kReservationCheck = std::chrono::milliseconds(100);

}

AdmissionSettings
AdmissionSettingsOf(const ServicePolicy& aPolicy)
{
  AdmissionSettings settings;
  settings.slots = aPolicy.slots;
  for (const auto& entry : aPolicy.classes) {
    settings.classes.push_back(
      AdmissionClass{ entry.weight, entry.queueBound });
  }
  return settings;
}

AdmissionController::AdmissionController(AdmissionSettings aSettings)
  : m_settings(std::move(aSettings))
  , m_slots(m_settings.slots)
  , m_adaptiveLimit(m_settings.slots)
  , m_balance(m_settings.classes.size())
{
  if (m_settings.classes.empty()) {
    throw RoutingError("admission settings have no request class");
  }
  for (const auto& entry : m_settings.classes) {
    if (!(entry.weight > 0.0)) {
      throw RoutingError("the weight of a request class must be positive");
    }
    ClassState state;
    state.settings = entry;
    state.service = m_settings.initialService;
    m_classes.push_back(std::move(state));
  }
  if (m_settings.nestedClass) {
    StateOf(*m_settings.nestedClass); // Throws if there is no such class.
  }
}

AdmissionActions
AdmissionController::Admit(const AdmissionRequest& aRequest, MonoTime aNow)
{
  AdmissionActions actions;
  auto& state = StateOf(aRequest.requestClass);
  RaiseServiceTimes(aNow);
  if (IsNested(aRequest.requestClass)) {
    m_nestedDemand.OnArrival(aNow);
  } else if (m_settings.balancesPriorities) {
    m_balance.OnArrival(aRequest.requestClass.Value(), aNow);
  }
  const auto queueEntry = MakeQueueEntry(aRequest, aNow);
  if (const auto reason = FindRefusalReason(aRequest, queueEntry, aNow)) {
    if (*reason == RefusalReason::kOverloaded) {
      m_overloadedAt = aNow;
    }
    m_balance.OnRefused(aRequest.requestClass.Value(), aNow);
    const auto retryAfter = RetryAfter(state, aNow);
    actions.refusals.push_back({ aRequest.id, *reason, retryAfter });
    return actions;
  }
  const bool wasIdle = state.queue.empty();
  const auto position = state.queue.insert(queueEntry).first;
  m_queued.emplace(
    aRequest.id,
    QueuedRequest{ aRequest.requestClass, position, aRequest.key });
  m_keys.Add(aRequest.key);
  if (wasIdle) {
    // An idle class gets no credit for the time in which it was idle.
    state.finishTag = std::max(state.finishTag, m_virtualTime);
  }
  if (!queueEntry.behind) {
    DisplaceLate(state, actions, aNow);
  }
  StartNext(actions, aNow);
  return actions;
}

AdmissionActions
AdmissionController::Finished(const RequestId& aId,
                              ServiceResult aResult,
                              MonoTime aNow)
{
  AdmissionActions actions;
  const auto found = m_running.find(aId);
  if (found == m_running.end()) {
    return actions;
  }
  RecordResult(found->second, aResult, aNow);
  m_keys.Remove(found->second.key);
  m_nestedRunning -= IsNested(found->second.requestClass) ? 1 : 0;
  m_running.erase(found);
  StartNext(actions, aNow);
  return actions;
}

AdmissionActions
AdmissionController::Cancel(const RequestId& aId, RefusalReason aReason)
{
  AdmissionActions actions;
  if (!m_queued.contains(aId)) {
    return actions;
  }
  m_keys.Remove(RemoveFromQueue(aId));
  actions.refusals.push_back({ aId, aReason, Duration{} });
  return actions;
}

AdmissionActions
AdmissionController::Expire(MonoTime aNow)
{
  AdmissionActions actions;
  StartNext(actions, aNow);
  return actions;
}

AdmissionActions
AdmissionController::RefuseQueued(RefusalReason aReason)
{
  AdmissionActions actions;
  for (const auto& [id, queued] : m_queued) {
    actions.refusals.push_back({ id, aReason, Duration{} });
    m_keys.Remove(queued.key);
  }
  m_queued.clear();
  for (auto& state : m_classes) {
    state.queue.clear();
  }
  return actions;
}

AdmissionActions
AdmissionController::SetLimit(uint32_t aSlots, MonoTime aNow)
{
  AdmissionActions actions;
  if (aSlots > m_settings.slots) {
    m_settings.slots = aSlots;
    m_adaptiveLimit = AdaptiveLimit(aSlots);
  }
  m_slots = aSlots;
  StartNext(actions, aNow);
  return actions;
}

AdmissionActions
AdmissionController::SetRate(std::optional<double> aPerSecond, MonoTime aNow)
{
  AdmissionActions actions;
  m_rate.Set(aPerSecond, aNow);
  StartNext(actions, aNow);
  return actions;
}

AdmissionActions
AdmissionController::SetPace(std::optional<double> aPerSecond,
                             std::optional<uint32_t> aSlots,
                             MonoTime aNow)
{
  AdmissionActions actions;
  m_paceSlots = aSlots;
  m_pace.Set(aPerSecond, aNow);
  StartNext(actions, aNow);
  return actions;
}

void
AdmissionController::Restarted(MonoTime aNow)
{
  m_adaptiveLimit.OnRestart(aNow);
}

uint32_t
AdmissionController::Limit() const
{
  return std::min(UnpacedLimit(), m_paceSlots.value_or(m_slots));
}

uint32_t
AdmissionController::UnpacedLimit() const
{
  return std::min(m_slots, m_adaptiveLimit.Value());
}

bool
AdmissionController::IsNested(const ClassState& aState) const
{
  return m_settings.nestedClass &&
         &m_classes[m_settings.nestedClass->Value()] == &aState;
}

// Queued requests of a class with a lower rank start first.
uint32_t
AdmissionController::RankOf(size_t aClass) const
{
  if (m_settings.nestedClass && aClass == m_settings.nestedClass->Value()) {
    return 0;
  }
  return 1 + static_cast<uint32_t>(m_balance.StandingOf(aClass));
}

uint32_t
AdmissionController::ReservedSlots(MonoTime aNow) const
{
  if (!m_settings.nestedClass) {
    return 0;
  }
  const auto service = ExpectedService(*m_settings.nestedClass);
  return m_nestedDemand.Slots(service, Limit(), aNow);
}

bool
AdmissionController::HasSlot(bool aNested, MonoTime aNow) const
{
  if (m_running.size() >= Limit()) {
    return false;
  }
  const auto others = m_running.size() - m_nestedRunning;
  return aNested || others + ReservedSlots(aNow) < Limit();
}

bool
AdmissionController::MayStart(bool aNested, MonoTime aNow) const
{
  return HasSlot(aNested, aNow) && NextStart(aNow) <= aNow;
}

std::optional<MonoTime>
AdmissionController::NextWakeup(MonoTime aNow) const
{
  std::optional<MonoTime> earliest;
  if (!m_queued.empty() && m_running.size() < Limit()) {
    earliest = HasSlot(IsNested(NextClass()), aNow) ? NextStart(aNow)
                                                    : aNow + kReservationCheck;
  }
  for (const auto& state : m_classes) {
    for (const auto& queueEntry : state.queue) {
      if (!earliest || queueEntry.latestStart < *earliest) {
        earliest = queueEntry.latestStart;
      }
    }
  }
  return earliest;
}

Duration
AdmissionController::ExpectedService(ClassIndex aClass) const
{
  return m_classes.at(aClass.Value()).service;
}

AdmissionController::ClassState&
AdmissionController::StateOf(ClassIndex aClass)
{
  if (aClass.Value() >= m_classes.size()) {
    throw RoutingError("request class index out of range");
  }
  return m_classes[aClass.Value()];
}

AdmissionController::QueueEntry
AdmissionController::MakeQueueEntry(const AdmissionRequest& aRequest,
                                    MonoTime aNow)
{
  QueueEntry queueEntry;
  queueEntry.id = aRequest.id;
  queueEntry.sequence = ++m_sequence;
  queueEntry.behind = m_keys.WouldExceed(aRequest.key, Limit());
  // An idle server tries the request even if it is expected to be late: an
  // estimate that refuses all requests would never be corrected.
  const bool isIdle = m_running.empty() && m_queued.empty();
  queueEntry.latestStart =
    isIdle ? aRequest.deadline
           : aRequest.deadline - ExpectedService(aRequest.requestClass);
  switch (m_settings.order) {
    case QueueOrder::kLaxity:
      queueEntry.key = queueEntry.latestStart;
      if (IsOverloaded(aNow)) {
        // Bounds the laxity: otherwise later arrivals overtake a request with
        // a distant deadline until that deadline has passed.
        const auto service = ExpectedService(aRequest.requestClass);
        const auto horizon = aNow + kOverloadHorizonServices * service;
        queueEntry.key = std::min(queueEntry.key, horizon);
      }
      break;
    case QueueOrder::kDeadline:
      queueEntry.key = aRequest.deadline;
      break;
    case QueueOrder::kArrival:
      queueEntry.key = MonoTime{};
      break;
  }
  return queueEntry;
}

void
AdmissionController::Start(ClassIndex aClass,
                           const RequestId& aId,
                           std::optional<uint32_t> aKey,
                           MonoTime aNow)
{
  auto& state = m_classes[aClass.Value()];
  if (IsNested(aClass)) {
    ++m_nestedRunning;
  } else {
    m_virtualTime = std::max(m_virtualTime, state.finishTag);
    state.finishTag += Seconds(state.service) / state.settings.weight;
  }
  m_running.emplace(aId, RunningRequest{ aClass, aNow, state.service, aKey });
  m_rate.OnStart(aNow);
  m_pace.OnStart(aNow);
}

void
AdmissionController::StartNext(AdmissionActions& aActions, MonoTime aNow)
{
  RefuseExpired(aActions, aNow);
  while (!m_queued.empty()) {
    const auto next = NextClass();
    if (!MayStart(IsNested(next), aNow)) {
      break;
    }
    const auto id = m_classes[next.Value()].queue.begin()->id;
    const auto key = RemoveFromQueue(id);
    Start(next, id, key, aNow);
    aActions.starts.push_back(id);
  }
  UpdateQueuedSince(aNow);
}

void
AdmissionController::UpdateQueuedSince(MonoTime aNow)
{
  if (m_queued.empty()) {
    m_queuedSince.reset();
  } else if (!m_queuedSince) {
    m_queuedSince = aNow;
  }
}

void
AdmissionController::RefuseExpired(AdmissionActions& aActions, MonoTime aNow)
{
  for (auto& state : m_classes) {
    auto position = state.queue.begin();
    while (position != state.queue.end()) {
      if (position->latestStart >= aNow) {
        ++position;
        continue;
      }
      const auto id = position->id;
      position = state.queue.erase(position);
      const auto queued = m_queued.find(id);
      m_balance.OnRefused(queued->second.requestClass.Value(), aNow);
      m_keys.Remove(queued->second.key);
      m_queued.erase(queued);
      aActions.refusals.push_back(
        { id, RefusalReason::kCannotFinish, RetryAfter(state, aNow) });
    }
  }
}

ClassIndex
AdmissionController::NextClass() const
{
  uint32_t best = 0;
  uint32_t bestRank = UINT32_MAX;
  double least = std::numeric_limits<double>::infinity();
  for (uint32_t index = 0; index < m_classes.size(); ++index) {
    const auto& state = m_classes[index];
    const auto rank = RankOf(index);
    const bool sooner =
      rank < bestRank || (rank == bestRank && state.finishTag < least);
    if (!state.queue.empty() && sooner) {
      least = state.finishTag;
      bestRank = rank;
      best = index;
    }
  }
  return ClassIndex(best);
}

std::optional<uint32_t>
AdmissionController::RemoveFromQueue(const RequestId& aId)
{
  const auto found = m_queued.find(aId);
  const auto& queued = found->second;
  const auto key = queued.key;
  m_classes[queued.requestClass.Value()].queue.erase(queued.position);
  m_queued.erase(found);
  return key;
}

void
AdmissionController::RecordResult(const RunningRequest& aRunning,
                                  ServiceResult aResult,
                                  MonoTime aNow)
{
  switch (aResult) {
    case ServiceResult::kDone:
      m_adaptiveLimit.OnDone();
      UpdateServiceTime(aRunning, aNow);
      break;
    case ServiceResult::kShed:
      m_adaptiveLimit.OnShed(aRunning.started, aNow);
      break;
    case ServiceResult::kFailed:
      m_adaptiveLimit.OnFailed(aRunning.started, aNow);
      break;
    case ServiceResult::kCancelled:
      break;
  }
}

// While slots are reused all the time, running requests have been running for
// about half of their service time on average. A mean above the expected
// service time therefore shows that the server has become slow.
void
AdmissionController::RaiseServiceTimes(MonoTime aNow)
{
  // Under a low limit of a pace, a single long request would raise the mean.
  if (2 * m_running.size() < UnpacedLimit()) {
    return; // Too few to tell a slow server from a few long requests.
  }
  std::vector<std::pair<Duration, int64_t>> elapsed(m_classes.size());
  for (const auto& [id, running] : m_running) {
    auto& [sum, count] = elapsed[running.requestClass.Value()];
    sum += aNow - running.started;
    ++count;
  }
  for (size_t index = 0; index < m_classes.size(); ++index) {
    const auto& [sum, count] = elapsed[index];
    if (count > 1) {
      auto& service = m_classes[index].service;
      service = std::max(service, sum / count);
    }
  }
}

void
AdmissionController::UpdateServiceTime(const RunningRequest& aRunning,
                                       MonoTime aNow)
{
  auto& state = m_classes[aRunning.requestClass.Value()];
  const auto elapsed = aNow - aRunning.started;
  if (!state.hasHistory) {
    state.hasHistory = true;
    state.service = elapsed;
    return;
  }
  const auto step = Seconds(elapsed - state.service) * kServiceSmoothing;
  state.service += FromSeconds(step);
}

}
