#include "src/Routing/AdmissionController.h"

#include <algorithm>
#include <limits>

#include "src/Routing/RoutingError.h"
#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::FromSeconds;
using internal::Seconds;

namespace {

constexpr double kServiceSmoothing = 0.1; // Weight of the newest sample.
constexpr int kHorizonServices = 4;

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
  , m_adaptive(m_settings.slots)
{
  if (m_settings.classes.empty()) {
    throw RoutingError("gate without request classes");
  }
  for (const auto& entry : m_settings.classes) {
    if (!(entry.weight > 0.0)) {
      throw RoutingError("gate class with a weight that is not positive");
    }
    ClassState state;
    state.settings = entry;
    state.service = m_settings.initialService;
    m_classes.push_back(std::move(state));
  }
}

AdmissionActions
AdmissionController::Admit(const AdmissionRequest& aRequest, MonoTime aNow)
{
  AdmissionActions actions;
  auto& state = StateOf(aRequest.requestClass);
  const auto waiting = MakeWaiting(aRequest, aNow);
  if (const auto reason = Objection(aRequest, waiting, aNow)) {
    if (*reason == RefusalReason::kOverloaded) {
      m_overloadedAt = aNow;
    }
    const auto retryAfter = RetryAfter(state, aNow);
    actions.refusals.push_back({ aRequest.id, *reason, retryAfter });
    return actions;
  }
  const bool wasIdle = state.queue.empty();
  const auto place = state.queue.insert(waiting).first;
  m_queued.emplace(aRequest.id, Queued{ aRequest.requestClass, place });
  if (wasIdle) {
    // An idle class gets no credit for the time it asked for nothing.
    state.finishTag = std::max(state.finishTag, m_virtualTime);
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
  Learn(found->second, aResult, aNow);
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
  Remove(aId);
  actions.refusals.push_back({ aId, aReason, Duration{} });
  return actions;
}

AdmissionActions
AdmissionController::Expire(MonoTime aNow)
{
  AdmissionActions actions;
  RefuseLate(actions, aNow);
  return actions;
}

AdmissionActions
AdmissionController::RefuseQueued(RefusalReason aReason)
{
  AdmissionActions actions;
  for (const auto& [id, queued] : m_queued) {
    actions.refusals.push_back({ id, aReason, Duration{} });
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
    m_adaptive = AdaptiveLimit(aSlots);
  }
  m_slots = aSlots;
  StartNext(actions, aNow);
  return actions;
}

void
AdmissionController::Restarted(MonoTime aNow)
{
  m_adaptive.OnRestart(aNow);
}

uint32_t
AdmissionController::Limit() const
{
  return std::min(m_slots, m_adaptive.Value());
}

std::optional<MonoTime>
AdmissionController::NextWakeup() const
{
  std::optional<MonoTime> earliest;
  for (const auto& state : m_classes) {
    for (const auto& waiting : state.queue) {
      if (!earliest || waiting.latestStart < *earliest) {
        earliest = waiting.latestStart;
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
    throw RoutingError("gate asked for a request class that it doesn't have");
  }
  return m_classes[aClass.Value()];
}

AdmissionController::Waiting
AdmissionController::MakeWaiting(const AdmissionRequest& aRequest,
                                 MonoTime aNow)
{
  Waiting waiting;
  waiting.id = aRequest.id;
  waiting.sequence = ++m_sequence;
  waiting.latestStart =
    aRequest.deadline - ExpectedService(aRequest.requestClass);
  switch (m_settings.order) {
    case QueueOrder::kLaxity:
      waiting.key = waiting.latestStart;
      if (IsOverloaded(aNow)) {
        // Else newcomers overtake a loose request until its deadline.
        const auto service = ExpectedService(aRequest.requestClass);
        const auto horizon = aNow + kHorizonServices * service;
        waiting.key = std::min(waiting.key, horizon);
      }
      break;
    case QueueOrder::kDeadline:
      waiting.key = aRequest.deadline;
      break;
    case QueueOrder::kArrival:
      waiting.key = MonoTime{};
      break;
  }
  return waiting;
}

void
AdmissionController::Start(ClassIndex aClass,
                           const RequestId& aId,
                           MonoTime aNow)
{
  auto& state = m_classes[aClass.Value()];
  m_virtualTime = std::max(m_virtualTime, state.finishTag);
  state.finishTag += Seconds(state.service) / state.settings.weight;
  m_running.emplace(aId, Running{ aClass, aNow, state.service });
}

void
AdmissionController::StartNext(AdmissionActions& aActions, MonoTime aNow)
{
  RefuseLate(aActions, aNow);
  while (m_running.size() < Limit() && !m_queued.empty()) {
    const auto next = NextClass();
    const auto id = m_classes[next.Value()].queue.begin()->id;
    Remove(id);
    Start(next, id, aNow);
    aActions.starts.push_back(id);
  }
  NoteQueue(aNow);
}

void
AdmissionController::NoteQueue(MonoTime aNow)
{
  if (m_queued.empty()) {
    m_queuedSince.reset();
  } else if (!m_queuedSince) {
    m_queuedSince = aNow;
  }
}

void
AdmissionController::RefuseLate(AdmissionActions& aActions, MonoTime aNow)
{
  for (auto& state : m_classes) {
    auto place = state.queue.begin();
    while (place != state.queue.end()) {
      if (place->latestStart >= aNow) {
        ++place;
        continue;
      }
      const auto id = place->id;
      place = state.queue.erase(place);
      m_queued.erase(id);
      aActions.refusals.push_back(
        { id, RefusalReason::kCannotFinish, RetryAfter(state, aNow) });
    }
  }
}

ClassIndex
AdmissionController::NextClass() const
{
  uint32_t best = 0;
  double least = std::numeric_limits<double>::infinity();
  for (uint32_t index = 0; index < m_classes.size(); ++index) {
    const auto& state = m_classes[index];
    if (!state.queue.empty() && state.finishTag < least) {
      least = state.finishTag;
      best = index;
    }
  }
  return ClassIndex(best);
}

void
AdmissionController::Remove(const RequestId& aId)
{
  const auto found = m_queued.find(aId);
  const auto& queued = found->second;
  m_classes[queued.requestClass.Value()].queue.erase(queued.place);
  m_queued.erase(found);
}

void
AdmissionController::Learn(const Running& aRunning,
                           ServiceResult aResult,
                           MonoTime aNow)
{
  switch (aResult) {
    case ServiceResult::kDone:
      m_adaptive.OnDone();
      LearnService(aRunning, aNow);
      break;
    case ServiceResult::kShed:
      m_adaptive.OnShed(aRunning.started, aNow);
      break;
    case ServiceResult::kFailed:
      m_adaptive.OnFailed(aRunning.started, aNow);
      break;
    case ServiceResult::kCancelled:
      break;
  }
}

void
AdmissionController::LearnService(const Running& aRunning, MonoTime aNow)
{
  auto& state = m_classes[aRunning.requestClass.Value()];
  const auto taken = aNow - aRunning.started;
  if (!state.measured) {
    state.measured = true;
    state.service = taken;
    return;
  }
  const auto step = Seconds(taken - state.service) * kServiceSmoothing;
  state.service += FromSeconds(step);
}

}
