#ifndef PISTACHIOSHIFT_ROUTING_ADMISSIONCONTROLLER_H
#define PISTACHIOSHIFT_ROUTING_ADMISSIONCONTROLLER_H

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Routing/AdaptiveLimit.h"
#include "src/Routing/Outcome.h"
#include "src/Routing/ServicePolicy.h"

namespace pistachioshift {

/** \brief Index into ServicePolicy::classes. */
using ClassIndex = StrongId<struct ClassIndexTag, uint32_t>;

/** \brief Order of the queue within a class. */
enum class QueueOrder : uint8_t
{
  kLaxity,   ///< Deadline less expected service time.
  kDeadline, ///< Earliest deadline first.
  kArrival,  ///< First in, first out.
};

struct AdmissionClass
{
  double weight = 1.0;
  uint32_t queueBound = 0;
};

struct AdmissionSettings
{
  uint32_t slots = 1;
  std::vector<AdmissionClass> classes;
  QueueOrder order = QueueOrder::kLaxity;
  /// Expected service time of a class that has no history yet.
  Duration initialService = std::chrono::milliseconds(5);
};

/** \brief Slots, weights and queue bounds of a service. */
AdmissionSettings AdmissionSettingsOf(const ServicePolicy& aPolicy);

struct AdmissionRequest
{
  RequestId id;
  ClassIndex requestClass;
  MonoTime deadline; ///< On this host's monotonic clock.
};

/** \brief How a started request ended. */
enum class ServiceResult : uint8_t
{
  kDone,      ///< Answered.
  kShed,      ///< Refused by the backend server as not run.
  kFailed,    ///< No answer: connection lost or deadline passed.
  kCancelled, ///< Given up by the caller.
};

struct AdmissionRefusal
{
  RequestId id;
  RefusalReason reason = RefusalReason::kQueueFull;
  Duration retryAfter{}; ///< When a slot is expected for such a request.
};

/** \brief What the caller of the gate has to do now, in order. */
struct AdmissionActions
{
  std::vector<RequestId> starts;          ///< Pass on to the backend server.
  std::vector<AdmissionRefusal> refusals; ///< Not run; will never be started.
};

/**
 * \brief Admission to one backend server.
 *
 * At most Limit() requests run at once. Queued requests wait per class; the
 * next class is chosen by start-time fair queueing over expected service per
 * weight, the next request of a class by least laxity. A request that can't
 * finish in time given the queue ahead of it is refused on arrival. A queue
 * that doesn't empty for long adds waiting and no throughput: until the
 * overload ends it is kept down to about one service time, and laxity reorders
 * only what arrives close together. Every id given to Admit()
 * comes back exactly once, as a start or as a refusal.
 *
 * \sa AdaptiveLimit
 */
class AdmissionController
{
public:
  /** \brief Throws RoutingError without classes or with a weight <= 0. */
  explicit AdmissionController(AdmissionSettings aSettings);

  /**
   * \brief Starts, queues or refuses a request.
   *
   * Its id is in neither list while it is queued. Throws RoutingError for a
   * class that the settings don't have.
   */
  AdmissionActions Admit(const AdmissionRequest& aRequest, MonoTime aNow);

  /** \brief Ends a started request; unknown ids are ignored. */
  AdmissionActions Finished(const RequestId& aId,
                            ServiceResult aResult,
                            MonoTime aNow);

  /**
   * \brief Takes a request out of the queue, to be refused for a reason.
   *
   * Nothing happens to a started one: it ends by Finished().
   */
  AdmissionActions Cancel(const RequestId& aId,
                          RefusalReason aReason = RefusalReason::kCancelled);

  /** \brief Refuses queued requests that can no longer finish in time. */
  AdmissionActions Expire(MonoTime aNow);

  /** \brief Refuses all queued requests, as on drain or loss of the lease. */
  AdmissionActions RefuseQueued(RefusalReason aReason);

  /** \brief Changes the number of slots; 0 lets nothing start. */
  AdmissionActions SetLimit(uint32_t aSlots, MonoTime aNow);

  /** \brief The backend server started anew: slow start from one slot. */
  void Restarted(MonoTime aNow);

  /** \brief When to call Expire() next; none while nothing is queued. */
  std::optional<MonoTime> NextWakeup() const;

  bool IsRunning(const RequestId& aId) const { return m_running.contains(aId); }
  bool IsQueued(const RequestId& aId) const { return m_queued.contains(aId); }
  uint32_t Limit() const;
  size_t RunningCount() const { return m_running.size(); }
  size_t QueuedCount() const { return m_queued.size(); }

  /** \brief Mean service time of a class, from its history. */
  Duration ExpectedService(ClassIndex aClass) const;

private:
  struct Waiting
  {
    MonoTime key; ///< By QueueOrder.
    uint64_t sequence = 0;
    RequestId id;
    MonoTime latestStart;

    bool operator<(const Waiting& aOther) const
    {
      return key != aOther.key ? key < aOther.key : sequence < aOther.sequence;
    }
  };

  struct ClassState
  {
    AdmissionClass settings;
    std::set<Waiting> queue;
    double finishTag = 0.0; ///< Virtual time up to which it was served.
    Duration service{};     ///< Mean.
    bool measured = false;
  };

  struct Running
  {
    ClassIndex requestClass;
    MonoTime started;
    Duration expected{};
  };

  struct Queued
  {
    ClassIndex requestClass;
    std::set<Waiting>::iterator place;
  };

  // Work before a newcomer of one class, in seconds of one slot.
  struct Backlog
  {
    double running = 0.0;
    double otherQueued = 0.0;
    double otherLargest = 0.0; ///< One request of each other waiting class.
    double share = 1.0;        ///< Of the slots, for the class.
    double limit = 0.0;

    double FairSeconds(double aOwnAhead) const;
    double WaitSeconds(double aOwnAhead) const;
  };

  ClassState& StateOf(ClassIndex aClass);
  Waiting MakeWaiting(const AdmissionRequest& aRequest, MonoTime aNow);
  std::optional<RefusalReason> Objection(const AdmissionRequest& aRequest,
                                         const Waiting& aWaiting,
                                         MonoTime aNow) const;
  bool FitsQueue(const ClassState& aState,
                 const Waiting& aWaiting,
                 MonoTime aNow) const;
  Backlog BacklogOf(const ClassState& aState, MonoTime aNow) const;
  double RunningSeconds(MonoTime aNow) const;
  double ShareOf(const ClassState& aState) const;
  bool IsOverloaded(MonoTime aNow) const;
  Duration MeanRunning() const;
  bool IsTooLong(const ClassState& aState,
                 const Waiting& aWaiting,
                 MonoTime aNow) const;
  static double SecondsAhead(const ClassState& aState, const Waiting& aWaiting);
  void NoteQueue(MonoTime aNow);
  Duration RetryAfter(const ClassState& aState, MonoTime aNow) const;
  void Start(ClassIndex aClass, const RequestId& aId, MonoTime aNow);
  void StartNext(AdmissionActions& aActions, MonoTime aNow);
  void RefuseLate(AdmissionActions& aActions, MonoTime aNow);
  ClassIndex NextClass() const;
  void Remove(const RequestId& aId);
  void Learn(const Running& aRunning, ServiceResult aResult, MonoTime aNow);
  void LearnService(const Running& aRunning, MonoTime aNow);

  AdmissionSettings m_settings;
  uint32_t m_slots;
  AdaptiveLimit m_adaptive;
  std::vector<ClassState> m_classes;
  std::unordered_map<RequestId, Running> m_running;
  std::unordered_map<RequestId, Queued> m_queued;
  double m_virtualTime = 0.0;
  uint64_t m_sequence = 0;
  std::optional<MonoTime> m_queuedSince;  ///< Unset while nothing is queued.
  std::optional<MonoTime> m_overloadedAt; ///< Last refusal as overloaded.
};

}

#endif
