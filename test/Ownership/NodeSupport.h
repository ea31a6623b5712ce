#ifndef PISTACHIOSHIFT_TEST_OWNERSHIP_NODESUPPORT_H
#define PISTACHIOSHIFT_TEST_OWNERSHIP_NODESUPPORT_H

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "test/Ownership/ViewSupport.h"

namespace pistachioshift {

inline const ServiceName kStamps{ "stamps" }; ///< Does not check fences.
inline constexpr Duration kLongestRequest = std::chrono::milliseconds(400);

/** \brief A key as callers name it. */
struct AppKey
{
  ServiceName service;
  RangeIndex range;
  std::string name;

  auto operator<=>(const AppKey&) const = default;
};

/** \brief Probabilities of message faults. */
struct NetworkFaults
{
  double lost = 0.0;
  double duplicated = 0.0;
  double delayed = 0.0;
};

/** \brief Parameters of one schedule. */
struct MeshOptions
{
  uint64_t seed = 1;
  size_t daemons = 5;
  size_t zones = 3;
  bool formed = true; ///< Starts with witness sets and entries in the log.
  NodeSettings settings;
  bool trace = false; ///< Prints each event.
};

/**
 * \brief Deterministic simulation of nodes, a log and messages.
 *
 * Runs in memory and in virtual time; the seed determines the schedule. Checks
 * the safety properties after each step of a node and keeps the first
 * violation.
 */
class Mesh
{
public:
  explicit Mesh(const MeshOptions& aOptions);

  void Run(Duration aFor);

  void Kill(size_t aSlot);
  void Start(size_t aSlot, bool aNamesPrevious);
  void Freeze(size_t aSlot);
  void Resume(size_t aSlot);
  void Jump(size_t aSlot, Duration aBy);
  void Leave(size_t aSlot);
  void Partition(const std::set<size_t>& aSide, bool aFromLog);
  void CutFromLog(size_t aSlot);
  void CutLink(size_t aFrom, size_t aTo);
  void CutPair(size_t aOne, size_t aOther);
  void Heal();
  void MoveSome();
  void PinSome();
  void UnpinSome();
  void AssignUnheld();
  /** \brief An operator attests that members that don't run have ended. */
  void AttestStopped();

  RandomEngine random;
  NetworkFaults network;
  bool logDown = false;
  bool logSlow = false;

  Duration Now() const { return m_now; }
  size_t Size() const { return m_slots.size(); }
  bool IsRunning(size_t aSlot) const;
  bool IsUp(size_t aSlot) const;
  const Node& NodeOf(size_t aSlot) const { return *m_slots[aSlot].node; }
  MonoTime ClockOf(size_t aSlot) const;
  const OwnershipView& Log() const { return m_view; }
  const std::vector<AppKey>& Keys() const { return m_keys; }

  /** \brief Number of requests aborted when a leaving daemon exited. */
  size_t AbortedRequests() const { return m_abortedRequests; }

  /** \brief Slot of a running daemon. */
  std::optional<size_t> SlotOf(DaemonId aDaemon) const;

  /** \brief Slots of the running witnesses in a slot's current set. */
  std::vector<size_t> WitnessesOf(size_t aSlot) const;

  /** \brief Slots that may serve a key according to their own clocks. */
  std::vector<size_t> Servers(const AppKey& aKey) const;

  /** \brief Number of keys that no daemon may serve. */
  size_t CountUnserved() const;

  const std::optional<std::string>& Violation() const { return m_violation; }

private:
  struct Event
  {
    Duration at;
    uint64_t order;
    std::function<void()> run;

    bool operator<(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };
  struct Delivery
  {
    DaemonId from;
    DaemonId to;
    ControlMessage message;
  };
  struct Slot
  {
    std::optional<Node> node;
    std::optional<DaemonId> last;
    bool joining = false;
    bool frozen = false;
    bool cutFromLog = false;
    bool writing = false;
    double rate = 1.0;
    Duration clockJump{};
    uint64_t incarnation = 0;
    std::deque<OwnershipRecord> outbox;
    std::vector<Delivery> inbox;
    std::set<EntryKey> stopping;
    Duration readLag{};
    bool rejoin = false;
  };
  struct Request
  {
    size_t slot = 0;
    uint64_t incarnation = 0;
    AppKey key;
    EntryKey entry;
    Duration end{};
  };

  void Schedule(Duration aIn, std::function<void()> aRun);
  double DrawUniform();
  Duration DrawBetween(Duration aLeast, Duration aMost);
  size_t DrawIndex(size_t aCount);

  void Form(size_t aDaemons);
  OwnershipRecord JoinOf(size_t aSlot) const;
  void CreateNode(size_t aSlot, DaemonId aId, size_t aRead);
  void Tick(size_t aSlot, uint64_t aIncarnation);
  void Read(size_t aSlot);
  void Write(size_t aSlot);
  void AppendToLog(const OwnershipRecord& aRecord);
  void ExecuteEffects(size_t aSlot);
  void Send(size_t aSlot, const SendMessage& aSend);
  void Deliver(const Delivery& aDelivery);
  void StartRequests(size_t aSlot);
  void EndRequests(size_t aSlot);
  void Rejoin(size_t aSlot);
  std::optional<FenceToken> Serves(size_t aSlot, const AppKey& aKey) const;
  EntryKey Resolve(size_t aSlot, const AppKey& aKey) const;
  std::vector<DaemonId> DrawHolders();
  bool EnsurePlanner();
  void Check(size_t aSlot);
  void CheckLog(const OwnershipRecord& aRecord);
  void RecordViolation(const std::string& aWhat);
  void Trace(const std::string& aWhat) const;

  MeshOptions m_options;
  NodeSettings m_settings;
  std::vector<AppKey> m_keys;
  std::vector<Slot> m_slots;
  std::priority_queue<Event> m_events;
  uint64_t m_order = 0;
  Duration m_now{};
  std::vector<std::pair<Duration, OwnershipRecord>> m_log;
  OwnershipView m_view;
  std::set<std::pair<size_t, size_t>> m_cuts;
  std::vector<Request> m_requests;
  std::map<AppKey, std::pair<FenceToken, size_t>> m_lastServed;
  std::map<EntryKey, FenceToken> m_lastHeld;
  size_t m_abortedRequests = 0;
  std::optional<std::string> m_violation;
};

/** \brief Runs one schedule of random faults; returns the first violation. */
std::optional<std::string> RunSchedule(uint64_t aSeed,
                                       internal::Mutation aMutation,
                                       bool aTrace = false);

}

#endif
