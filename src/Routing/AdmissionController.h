#ifndef PISTACHIOSHIFT_ROUTING_ADMISSIONCONTROLLER_H
#define PISTACHIOSHIFT_ROUTING_ADMISSIONCONTROLLER_H

#include <algorithm>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Routing/AdaptiveLimit.h"
#include "src/Routing/KeyShares.h"
#include "src/Routing/NestedDemand.h"
#include "src/Routing/Outcome.h"
#include "src/Routing/PriorityBalance.h"
#include "src/Routing/RequestRateLimit.h"
#include "src/Routing/ServicePolicy.h"
#include "src/Routing/StartWindowLimit.h"

namespace pistachioshift {

/** \brief Index into ServicePolicy::classes. */
using ClassIndex = StrongId<struct ClassIndexTag, uint32_t>;

/** \brief Order of the queue within a class. */
enum class QueueOrder : uint8_t
{
  kLaxity,   ///< Least laxity first: deadline less expected service time.
  kDeadline, ///< Earliest deadline first.
  kArrival,  ///< First in, first out.
};

struct AdmissionClass
{
  double weight = 1.0;     ///< Share of service relative to other classes.
  uint32_t queueBound = 0; ///< Requests that may be queued.
};

struct AdmissionSettings
{
  uint32_t slots = 1; ///< Upper bound of the concurrency limit.
  std::vector<AdmissionClass> classes;
  /// Class of nested calls, whose weight has no effect; nullopt: none.
  std::optional<ClassIndex> nestedClass;
  /// Whether classes, in order of urgency, give way to others that are served
  /// worse than they should be; without it, weights alone fix their shares.
  bool balancesPriorities = false;
  QueueOrder order = QueueOrder::kLaxity;
  /// Expected service time of a class before its first answer.
  Duration initialService = std::chrono::milliseconds(5);
};

/** \brief Slots, weights and queue bounds of a service. */
AdmissionSettings AdmissionSettingsOf(const ServicePolicy& aPolicy);

struct AdmissionRequest
{
  RequestId id;
  ClassIndex requestClass;
  MonoTime deadline;           ///< On this host's monotonic clock.
  std::optional<uint32_t> key; ///< None: not counted for any key.
};

/** \brief How a request that was started ended. */
enum class ServiceResult : uint8_t
{
  kDone,      ///< Answered.
  kShed,      ///< Refused by the backend server as not run.
  kFailed,    ///< No answer: connection lost or deadline passed.
  kCancelled, ///< Cancelled by the caller.
};

struct AdmissionRefusal
{
  RequestId id;
  RefusalReason reason = RefusalReason::kQueueFull;
  Duration retryAfter{}; ///< Expected time until such a request can start.
};

/** \brief Actions that the caller must carry out now, in order. */
struct AdmissionActions
{
  std::vector<RequestId> starts;          ///< To be sent to the backend server.
  std::vector<AdmissionRefusal> refusals; ///< Not run, and never started later.
};

/**
 * \brief Admission control and queueing for one backend server.
 *
 * At most Limit() requests run at once. Each class has its own queue.
 * Start-time fair queueing, by expected service time divided by weight, selects
 * the next class; QueueOrder selects the next request of the class. A request
 * that can't finish before its deadline, given the work queued ahead of it, is
 * refused on arrival. A standing queue, one that stays non-empty for long, adds
 * latency and no throughput: until the overload ends, requests are refused that
 * would wait for more than about one service time, and laxity reorders only
 * requests that arrive close together. Requests that all run for longer than
 * expected raise the expected service time before any of them has ended, so
 * that a cold server isn't sent a queue that it cannot serve. Requests of the
 * nested class start before all others, which leave free the slots that nested
 * calls have needed lately. Within a class, a request whose key has more than
 * its fair share of the queued and running requests comes after the others, and
 * gives way to them if it would be late then. With balancesPriorities, a class
 * that is refused less than a more urgent one gives way to it, and one that
 * starves goes first, see PriorityBalance. Each id passed to Admit() is
 * returned exactly once, as a start or as a refusal.
 *
 * \sa AdaptiveLimit, NestedDemand, KeyShares
 */
class AdmissionController
{
public:
  /** \brief Throws RoutingError if no class is given or a weight is <= 0. */
  explicit AdmissionController(AdmissionSettings aSettings);

  /**
   * \brief Starts, queues or refuses a request.
   *
   * The id of a request that is queued is in neither list. Throws RoutingError
   * if the class isn't in the settings.
   */
  AdmissionActions Admit(const AdmissionRequest& aRequest, MonoTime aNow);

  /** \brief Ends a started request; unknown ids are ignored. */
  AdmissionActions Finished(const RequestId& aId,
                            ServiceResult aResult,
                            MonoTime aNow);

  /**
   * \brief Removes a request from the queue and refuses it with a reason.
   *
   * Has no effect on a request that has started: it ends by Finished().
   */
  AdmissionActions Cancel(const RequestId& aId,
                          RefusalReason aReason = RefusalReason::kCancelled);

  /** \brief Refuses queued requests that can no longer finish in time, and
   * starts those that the rate limit allows by now. */
  AdmissionActions Expire(MonoTime aNow);

  /** \brief Refuses all queued requests, for example on drain or lease loss. */
  AdmissionActions RefuseQueued(RefusalReason aReason);

  /** \brief Changes the number of slots; with 0 no request is started. */
  AdmissionActions SetLimit(uint32_t aSlots, MonoTime aNow);

  /**
   * \brief Limits the requests that start per second; nullopt: no limit.
   * \sa RequestRateLimit
   */
  AdmissionActions SetRate(std::optional<double> aPerSecond, MonoTime aNow);

  /** \brief Requests that may start per second; nullopt: no limit. */
  std::optional<double> Rate() const { return m_rate.PerSecond(); }

  /** \brief Whether an outer request that arrives at an empty queue starts at
   * once. */
  bool HasFreeSlot(MonoTime aNow) const { return MayStart(false, aNow); }

  /** \brief Slots that are kept for nested calls, those in use included. */
  uint32_t ReservedSlots(MonoTime aNow) const;

  /**
   * \brief Limits the requests that start within any second, those that were
   * started before included, and the requests at once; nullopt: no limit. The
   * limits of SetRate() and SetLimit() stay in force.
   * \sa StartWindowLimit, ServerPace
   */
  AdmissionActions SetPace(std::optional<double> aPerSecond,
                           std::optional<uint32_t> aSlots,
                           MonoTime aNow);

  /** \brief The backend server restarted: slow start from one slot. */
  void Restarted(MonoTime aNow);

  /** \brief Time of the next call of Expire(); none if nothing is queued. */
  std::optional<MonoTime> NextWakeup(MonoTime aNow) const;

  bool IsRunning(const RequestId& aId) const { return m_running.contains(aId); }
  bool IsQueued(const RequestId& aId) const { return m_queued.contains(aId); }
  uint32_t Limit() const;
  size_t RunningCount() const { return m_running.size(); }
  size_t QueuedCount() const { return m_queued.size(); }

  /** \brief Moving average of the service times of a class. */
  Duration ExpectedService(ClassIndex aClass) const;

private:
  struct QueueEntry
  {
    MonoTime key;          ///< Sort key, according to QueueOrder.
    uint64_t sequence = 0; ///< Order of arrival; breaks ties.
    RequestId id;
    MonoTime latestStart; ///< To finish before the deadline.
    bool behind = false;  ///< After the others: its key exceeds its share.

    bool operator<(const QueueEntry& aOther) const
    {
      if (behind != aOther.behind) {
        return aOther.behind;
      }
      return key != aOther.key ? key < aOther.key : sequence < aOther.sequence;
    }
  };

  struct ClassState
  {
    AdmissionClass settings;
    std::set<QueueEntry> queue;
    double finishTag =
      0.0;              ///< Virtual finish time of its last started request.
    Duration service{}; ///< Moving average of the service time.
    bool hasHistory = false; ///< Whether a request of it was answered.
  };

  struct RunningRequest
  {
    ClassIndex requestClass;
    MonoTime started;
    Duration expected{}; ///< Service time expected at the start.
    std::optional<uint32_t> key;
  };

  struct QueuedRequest
  {
    ClassIndex requestClass;
    std::set<QueueEntry>::iterator position;
    std::optional<uint32_t> key;
  };

  // Work ahead of an arriving request of one class, in seconds of one slot.
  struct Backlog
  {
    double running = 0.0;
    double firstQueued = 0.0; ///< In classes that start before it.
    double otherQueued = 0.0;
    double otherLargest = 0.0; ///< One request of each other queued class.
    double share = 1.0;        ///< Fraction of the slots that the class gets.
    double limit = 0.0; ///< Slots that are used at the rate that is possible.

    /** \param aOwnAhead queued work of the same class, in slot seconds. */
    double FairSeconds(double aOwnAhead) const;

    /** \return Expected wait for queued requests in seconds. */
    double QueueSeconds(double aOwnAhead) const;

    /** \return Expected wait in seconds. */
    double WaitSeconds(double aOwnAhead) const;
  };

  ClassState& StateOf(ClassIndex aClass);
  bool IsNested(ClassIndex aClass) const
  {
    return m_settings.nestedClass == aClass;
  }
  size_t IndexOf(const ClassState& aState) const
  {
    return static_cast<size_t>(&aState - m_classes.data());
  }
  bool IsNested(const ClassState& aState) const;
  uint32_t RankOf(size_t aClass) const;
  bool MayStart(bool aNested, MonoTime aNow) const;
  bool HasSlot(bool aNested, MonoTime aNow) const;
  QueueEntry MakeQueueEntry(const AdmissionRequest& aRequest, MonoTime aNow);
  std::optional<RefusalReason> FindRefusalReason(
    const AdmissionRequest& aRequest,
    const QueueEntry& aQueueEntry,
    MonoTime aNow) const;
  bool MeetsDeadlines(const ClassState& aState,
                      const QueueEntry& aQueueEntry,
                      MonoTime aNow) const;
  Backlog BacklogOf(const ClassState& aState, MonoTime aNow) const;
  double RunningSeconds(bool aNested, MonoTime aNow) const;
  double ShareOf(const ClassState& aState) const;
  bool IsOverloaded(MonoTime aNow) const;
  Duration MeanExpectedOfRunning() const;
  bool ExceedsOverloadWait(const ClassState& aState,
                           const QueueEntry& aQueueEntry,
                           MonoTime aNow) const;
  MonoTime NextStart(MonoTime aNow) const
  {
    return std::max(m_rate.NextStart(aNow), m_pace.NextStart(aNow));
  }
  uint32_t UnpacedLimit() const;
  std::optional<double> StartRate() const;
  static double QueuedSecondsAhead(const ClassState& aState,
                                   const QueueEntry& aQueueEntry);
  void UpdateQueuedSince(MonoTime aNow);
  void RaiseServiceTimes(MonoTime aNow);
  Duration RetryAfter(const ClassState& aState, MonoTime aNow) const;
  void Start(ClassIndex aClass,
             const RequestId& aId,
             std::optional<uint32_t> aKey,
             MonoTime aNow);
  void DisplaceLate(ClassState& aState,
                    AdmissionActions& aActions,
                    MonoTime aNow);
  void StartNext(AdmissionActions& aActions, MonoTime aNow);
  void RefuseExpired(AdmissionActions& aActions, MonoTime aNow);
  ClassIndex NextClass() const;
  std::optional<uint32_t> RemoveFromQueue(const RequestId& aId);
  void RecordResult(const RunningRequest& aRunning,
                    ServiceResult aResult,
                    MonoTime aNow);
  void UpdateServiceTime(const RunningRequest& aRunning, MonoTime aNow);

  AdmissionSettings m_settings;
  uint32_t m_slots;
  AdaptiveLimit m_adaptiveLimit;
  RequestRateLimit m_rate;
  StartWindowLimit m_pace;
  std::optional<uint32_t> m_paceSlots;
  std::vector<ClassState> m_classes;
  std::unordered_map<RequestId, RunningRequest> m_running;
  uint32_t m_nestedRunning = 0;
  NestedDemand m_nestedDemand;
  PriorityBalance m_balance; ///< Of outer requests.
  KeyShares m_keys;          ///< Of queued and running requests.
  std::unordered_map<RequestId, QueuedRequest> m_queued;
  double m_virtualTime = 0.0;
  uint64_t m_sequence = 0;
  std::optional<MonoTime> m_queuedSince;  ///< Unset while nothing is queued.
  std::optional<MonoTime> m_overloadedAt; ///< Last kOverloaded refusal.
};

}

#endif
