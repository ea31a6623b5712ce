// AdmissionController: estimates the wait of an arriving request and decides
// whether the request is admitted.

#include <algorithm>
#include <limits>

#include "src/Routing/AdmissionController.h"
#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::FromSeconds;
using internal::Seconds;

namespace {

constexpr double kInfiniteWait = std::numeric_limits<double>::infinity();
// In mean service times. A queue is a standing queue after more than the
// relaxation time of about ten slots at 0.9 of their capacity.
constexpr int kStandingQueueServices = 50;
constexpr Duration kMinStandingQueueTime = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

}

std::optional<RefusalReason>
AdmissionController::FindRefusalReason(const AdmissionRequest& aRequest,
                                       const QueueEntry& aQueueEntry,
                                       MonoTime aNow) const
{
  if (IsRunning(aRequest.id) || IsQueued(aRequest.id)) {
    return RefusalReason::kDuplicate;
  }
  if (aRequest.deadline <= aNow) {
    return RefusalReason::kDeadlineExpired;
  }
  if (aQueueEntry.latestStart < aNow) {
    return RefusalReason::kCannotFinish;
  }
  const auto& state = m_classes[aRequest.requestClass.Value()];
  const bool nested = IsNested(aRequest.requestClass);
  const bool isNext = nested ? state.queue.empty() : m_queued.empty();
  if (isNext && MayStart(nested, aNow)) {
    return std::nullopt;
  }
  if (state.queue.size() >= state.settings.queueBound) {
    return RefusalReason::kQueueFull;
  }
  if (!MeetsDeadlines(state, aQueueEntry, aNow)) {
    return RefusalReason::kCannotFinish;
  }
  if (ExceedsOverloadWait(state, aQueueEntry, aNow)) {
    return RefusalReason::kOverloaded;
  }
  return std::nullopt;
}

// Whether the arriving request, and the queued requests that it would overtake,
// can still start early enough to meet their deadlines.
bool
AdmissionController::MeetsDeadlines(const ClassState& aState,
                                    const QueueEntry& aQueueEntry,
                                    MonoTime aNow) const
{
  const auto backlog = BacklogOf(aState, aNow);
  const auto service = Seconds(aState.service);
  const auto position = aState.queue.lower_bound(aQueueEntry);
  double ahead = QueuedSecondsAhead(aState, aQueueEntry);
  const auto startsInTime = [&](const QueueEntry& aOther) {
    return backlog.WaitSeconds(ahead) <= Seconds(aOther.latestStart - aNow);
  };
  if (!startsInTime(aQueueEntry)) {
    return false;
  }
  return std::all_of(
    position, aState.queue.end(), [&](const QueueEntry& aOther) {
      ahead += service;
      const bool givesWay = aOther.behind && !aQueueEntry.behind;
      return givesWay || startsInTime(aOther);
    });
}

// Refuses requests of keys beyond their share that an arriving request has made
// late. Waiting on in the queue, they would only delay the refusal.
void
AdmissionController::DisplaceLate(ClassState& aState,
                                  AdmissionActions& aActions,
                                  MonoTime aNow)
{
  while (aState.queue.size() > 1 && aState.queue.rbegin()->behind) {
    const auto& last = *aState.queue.rbegin();
    const auto wait =
      BacklogOf(aState, aNow).WaitSeconds(QueuedSecondsAhead(aState, last));
    if (wait <= Seconds(last.latestStart - aNow)) {
      return;
    }
    const auto id = last.id;
    m_balance.OnRefused(IndexOf(aState), aNow);
    m_keys.Remove(RemoveFromQueue(id));
    aActions.refusals.push_back(
      { id, RefusalReason::kDisplaced, RetryAfter(aState, aNow) });
  }
}

double
AdmissionController::QueuedSecondsAhead(const ClassState& aState,
                                        const QueueEntry& aQueueEntry)
{
  const auto position = aState.queue.lower_bound(aQueueEntry);
  const auto entriesAhead = std::distance(aState.queue.begin(), position);
  return static_cast<double>(entriesAhead) * Seconds(aState.service);
}

// Whether there is a standing queue, or a request was refused as overloaded
// within the same period.
bool
AdmissionController::IsOverloaded(MonoTime aNow) const
{
  const auto threshold = std::max(
    kMinStandingQueueTime, kStandingQueueServices * MeanExpectedOfRunning());
  const bool recent = m_overloadedAt && aNow - *m_overloadedAt < threshold;
  return recent || (m_queuedSince && aNow - *m_queuedSince >= threshold);
}

Duration
AdmissionController::MeanExpectedOfRunning() const
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

// Whether the wait is too long for an overload. With an empty queue of its
// class a request may always wait, so that no class starves.
bool
AdmissionController::ExceedsOverloadWait(const ClassState& aState,
                                         const QueueEntry& aQueueEntry,
                                         MonoTime aNow) const
{
  if (!IsOverloaded(aNow)) {
    return false;
  }
  const auto backlog = BacklogOf(aState, aNow);
  const auto ahead = QueuedSecondsAhead(aState, aQueueEntry);
  const auto wait =
    (backlog.firstQueued + backlog.FairSeconds(ahead)) / backlog.limit;
  return wait > Seconds(std::max(aState.service, MeanExpectedOfRunning()));
}

// Requests that may start per second; nullopt: no limit.
std::optional<double>
AdmissionController::StartRate() const
{
  const auto rate = m_rate.PerSecond();
  const auto pace = m_pace.PerSecond();
  return rate && pace ? std::min(*rate, *pace) : rate ? rate : pace;
}

AdmissionController::Backlog
AdmissionController::BacklogOf(const ClassState& aState, MonoTime aNow) const
{
  Backlog backlog;
  const bool nested = IsNested(aState);
  const auto slots = nested ? Limit() : Limit() - ReservedSlots(aNow);
  backlog.limit = static_cast<double>(slots);
  backlog.running = RunningSeconds(nested, aNow);
  if (const auto rate = StartRate()) {
    const auto used = *rate * Seconds(aState.service);
    if (used < backlog.limit) {
      // The next start waits for the rate, not for a slot.
      backlog.limit = used;
      backlog.running = used * Seconds(NextStart(aNow) - aNow);
    }
  }
  backlog.share = ShareOf(aState);
  const auto rank = RankOf(IndexOf(aState));
  for (const auto& state : m_classes) {
    if (&state == &aState || state.queue.empty()) {
      continue;
    }
    const auto service = Seconds(state.service);
    const auto otherRank = RankOf(IndexOf(state));
    if (otherRank > rank) {
      continue; // It starts later and delays nothing.
    }
    if (otherRank < rank) {
      backlog.firstQueued += static_cast<double>(state.queue.size()) * service;
      continue;
    }
    backlog.otherLargest += service;
    backlog.otherQueued += static_cast<double>(state.queue.size()) * service;
  }
  return backlog;
}

double
AdmissionController::Backlog::WaitSeconds(double aOwnAhead) const
{
  if (limit <= 0.0) {
    return kInfiniteWait;
  }
  return (running + QueueSeconds(aOwnAhead)) / limit;
}

// Other classes delay a request at most by the work that they have queued, and
// at most by their fair share plus one request each. Classes that start first
// delay it by all that they have queued.
double
AdmissionController::Backlog::QueueSeconds(double aOwnAhead) const
{
  const auto all = aOwnAhead + otherQueued;
  const auto fair = FairSeconds(aOwnAhead) + otherLargest;
  return firstQueued + std::min(all, fair);
}

double
AdmissionController::Backlog::FairSeconds(double aOwnAhead) const
{
  return aOwnAhead / share;
}

// Work of running requests that must end before a request can start. For an
// outer request, nested calls count only beyond the slots kept for them.
double
AdmissionController::RunningSeconds(bool aNested, MonoTime aNow) const
{
  // A request that has exceeded its expected service time is assumed to need
  // half of its elapsed time in addition.
  constexpr double kOverrun = 0.5;
  const auto reserved = aNested ? 0 : ReservedSlots(aNow);
  const double nestedShare =
    m_nestedRunning > reserved
      ? 1.0 - static_cast<double>(reserved) / m_nestedRunning
      : 0.0;
  double seconds = 0.0;
  for (const auto& [id, running] : m_running) {
    const auto elapsed = Seconds(aNow - running.started);
    const auto left = Seconds(running.expected) - elapsed;
    const auto share = IsNested(running.requestClass) ? nestedShare : 1.0;
    seconds += share * (left > 0.0 ? left : kOverrun * elapsed);
  }
  return seconds;
}

double
AdmissionController::ShareOf(const ClassState& aState) const
{
  double weights = 0.0;
  const auto rank = RankOf(IndexOf(aState));
  for (const auto& state : m_classes) {
    const bool competes =
      !state.queue.empty() && RankOf(IndexOf(state)) == rank;
    if (&state == &aState || competes) {
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
  return FromSeconds(std::min(wait, Seconds(kMaxRetryAfter)));
}

}
