// Admission: what a newcomer would wait for, and whether it may.

#include <algorithm>
#include <limits>

#include "src/Routing/AdmissionController.h"
#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::FromSeconds;
using internal::Seconds;

namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
// Above the relaxation time of some ten slots at 0.9 of their capacity.
constexpr int kStandingServices = 50;
constexpr Duration kLeastStanding = std::chrono::milliseconds(100);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(30);

}

std::optional<RefusalReason>
AdmissionController::Objection(const AdmissionRequest& aRequest,
                               const Waiting& aWaiting,
                               MonoTime aNow) const
{
  if (IsRunning(aRequest.id) || IsQueued(aRequest.id)) {
    return RefusalReason::kDuplicate;
  }
  if (aRequest.deadline <= aNow) {
    return RefusalReason::kDeadlineExpired;
  }
  if (aWaiting.latestStart < aNow) {
    return RefusalReason::kCannotFinish;
  }
  if (m_running.size() < Limit() && m_queued.empty()) {
    return std::nullopt;
  }
  const auto& state = m_classes[aRequest.requestClass.Value()];
  if (state.queue.size() >= state.settings.queueBound) {
    return RefusalReason::kQueueFull;
  }
  if (!FitsQueue(state, aWaiting, aNow)) {
    return RefusalReason::kCannotFinish;
  }
  if (IsTooLong(state, aWaiting, aNow)) {
    return RefusalReason::kOverloaded;
  }
  return std::nullopt;
}

// Whether the newcomer, and those it would overtake, still start in time.
bool
AdmissionController::FitsQueue(const ClassState& aState,
                               const Waiting& aWaiting,
                               MonoTime aNow) const
{
  const auto backlog = BacklogOf(aState, aNow);
  const auto service = Seconds(aState.service);
  const auto place = aState.queue.lower_bound(aWaiting);
  double ahead = SecondsAhead(aState, aWaiting);
  const auto startsInTime = [&](const Waiting& aOne) {
    return backlog.WaitSeconds(ahead) <= Seconds(aOne.latestStart - aNow);
  };
  if (!startsInTime(aWaiting)) {
    return false;
  }
  return std::all_of(place, aState.queue.end(), [&](const Waiting& aOne) {
    ahead += service;
    return startsInTime(aOne);
  });
}

double
AdmissionController::SecondsAhead(const ClassState& aState,
                                  const Waiting& aWaiting)
{
  const auto place = aState.queue.lower_bound(aWaiting);
  const auto before = std::distance(aState.queue.begin(), place);
  return static_cast<double>(before) * Seconds(aState.service);
}

// Whether the queue has not been empty for many service times.
bool
AdmissionController::IsOverloaded(MonoTime aNow) const
{
  const auto standing =
    std::max(kLeastStanding, kStandingServices * MeanRunning());
  const bool recent = m_overloadedAt && aNow - *m_overloadedAt < standing;
  return recent || (m_queuedSince && aNow - *m_queuedSince >= standing);
}

Duration
AdmissionController::MeanRunning() const
{
  if (m_running.empty()) {
    return Duration{};
  }
  Duration sum{};
  for (const auto& [id, running] : m_running) {
    sum += running.expected;
  }
  return sum / static_cast<int64_t>(m_running.size());
}

// The first of each class may always wait, so that none is starved.
bool
AdmissionController::IsTooLong(const ClassState& aState,
                               const Waiting& aWaiting,
                               MonoTime aNow) const
{
  if (!IsOverloaded(aNow)) {
    return false;
  }
  const auto backlog = BacklogOf(aState, aNow);
  const auto ahead = SecondsAhead(aState, aWaiting);
  const auto wait = backlog.FairSeconds(ahead) / backlog.limit;
  return wait > Seconds(std::max(aState.service, MeanRunning()));
}

AdmissionController::Backlog
AdmissionController::BacklogOf(const ClassState& aState, MonoTime aNow) const
{
  Backlog backlog;
  backlog.limit = static_cast<double>(Limit());
  backlog.running = RunningSeconds(aNow);
  backlog.share = ShareOf(aState);
  for (const auto& state : m_classes) {
    if (&state == &aState || state.queue.empty()) {
      continue;
    }
    const auto service = Seconds(state.service);
    backlog.otherLargest += service;
    backlog.otherQueued += static_cast<double>(state.queue.size()) * service;
  }
  return backlog;
}

// Other classes hold a request up by no more than what they have queued, nor
// by more than their share and one request each.
double
AdmissionController::Backlog::WaitSeconds(double aOwnAhead) const
{
  if (limit < 1.0) {
    return kNever;
  }
  const auto all = aOwnAhead + otherQueued;
  const auto fair = FairSeconds(aOwnAhead) + otherLargest;
  return (running + std::min(all, fair)) / limit;
}

double
AdmissionController::Backlog::FairSeconds(double aOwnAhead) const
{
  return aOwnAhead / share;
}

double
AdmissionController::RunningSeconds(MonoTime aNow) const
{
  // One that has outrun its expected time is taken to need half as long again.
  constexpr double kOverrun = 0.5;
  double seconds = 0.0;
  for (const auto& [id, running] : m_running) {
    const auto elapsed = Seconds(aNow - running.started);
    const auto left = Seconds(running.expected) - elapsed;
    seconds += left > 0.0 ? left : kOverrun * elapsed;
  }
  return seconds;
}

double
AdmissionController::ShareOf(const ClassState& aState) const
{
  double weights = 0.0;
  for (const auto& state : m_classes) {
    if (&state == &aState || !state.queue.empty()) {
      weights += state.settings.weight;
    }
  }
  return aState.settings.weight / weights;
}

Duration
AdmissionController::RetryAfter(const ClassState& aState, MonoTime aNow) const
{
  const auto queued = static_cast<double>(aState.queue.size());
  const auto backlog = BacklogOf(aState, aNow);
  const auto wait = backlog.WaitSeconds(queued * Seconds(aState.service));
  return FromSeconds(std::min(wait, Seconds(kLongestRetryAfter)));
}

}
