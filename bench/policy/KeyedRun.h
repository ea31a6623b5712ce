#ifndef PISTACHIOSHIFT_BENCH_POLICY_KEYEDRUN_H
#define PISTACHIOSHIFT_BENCH_POLICY_KEYEDRUN_H

#include <cmath>
#include <numeric>
#include <queue>
#include <unordered_map>

#include "Pistachioshift/Planner"
#include "bench/policy/Results.h"

namespace pistachioshift::bench {

enum class KeyedPolicy
{
  kStaticHash,
  kRehash, // A new hash of all ranges whenever the imbalance is high.
  kPlanner,
};

struct KeyedScenario
{
  std::string name;
  bool shifts = false;     // The key popularities are dealt out anew.
  double speedOfOne = 1.0; // Of one backend server, from the change on.
};

// A service divided by key in virtual time: gates, sketches and a planner.
class KeyedRun
{
public:
  KeyedRun(const Deployment& aDeployment,
           const KeyedScenario& aScenario,
           KeyedPolicy aPolicy);

  std::vector<std::pair<std::string, double>> Figures();

private:
  static constexpr uint32_t kKeys = 20000;
  static constexpr uint32_t kRanges = 128;
  static constexpr uint32_t kSlowServer = 3;
  static constexpr size_t kSketchKeys = 128;
  static constexpr size_t kReportedKeys = 32;
  static constexpr double kLoad = 0.6;
  static constexpr seconds kPlanEvery{ 10 };
  static constexpr seconds kChangeAt{ 180 };
  static constexpr seconds kMeasureAt{ 300 };
  static constexpr seconds kLength{ 420 };

  struct Entry
  {
    EntryName name;
    uint32_t owner = 0;
    std::optional<uint32_t> to;
    std::optional<MonoTime> movedAt;
    MonoTime heldSince;
    uint32_t inFlight = 0;
    bool ending = false;
    double work = 0.0; // Offered since the last plan.
    std::vector<RequestId> held;
  };

  struct Server
  {
    AdmissionController gate;
    KeySketch sketch;
    double nominal = 0.0; // Work done since the last plan, and its time.
    double busy = 0.0;
  };

  struct Request
  {
    uint32_t key = 0;
    uint32_t requestClass = 0;
    uint32_t server = 0;
    MonoTime arrived;
    MonoTime deadline;
    double service = 0.0;
  };

  struct Event
  {
    MonoTime time;
    RequestId request; // Of an ending; else the end of a move.
    size_t entry = 0;
    bool moveEnds = false;

    bool operator>(const Event& aOther) const { return time > aOther.time; }
  };

  static std::string KeyName(uint32_t aKey) { return fmt::format("k{}", aKey); }

  void DealPopularity(uint64_t aSeed);
  void Change();
  void RunUntil(MonoTime aTime);
  void Arrive();
  void AdmitAt(uint32_t aServer, const RequestId& aId);
  void End(const RequestId& aId);
  void Carry(uint32_t aServer, const AdmissionActions& aActions);
  void Leave(const Request& aRequest);
  void BeginMove(size_t aEntry, uint32_t aTo);
  void TryEndMove(size_t aEntry);
  void EndMove(size_t aEntry);
  void PlanNow();
  void Rehash();
  void CarryOut(const Proposal& aProposal);
  ServiceLoad Load(bool aExact) const;
  void AddHotKeys(ServiceLoad& aLoad) const;
  double Imbalance() const { return ImbalanceOf(Load(true)); }

  const Deployment& m_deployment;
  KeyedScenario m_scenario;
  KeyedPolicy m_policy;
  RandomEngine m_random{ 20261204 };
  MonoTime m_start{ std::chrono::hours(1) };
  MonoTime m_now = m_start;
  std::vector<double> m_share; // By key.
  std::discrete_distribution<uint32_t> m_drawKey;
  std::vector<size_t> m_entryOf; // By key.
  std::vector<uint32_t> m_keyInFlight;
  std::unordered_map<std::string, uint32_t> m_keyOf;
  std::vector<Entry> m_entries;
  std::map<EntryName, size_t> m_entryIndex;
  std::vector<Server> m_servers;
  std::unordered_map<RequestId, Request> m_requests;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  Planner m_planner;
  Tally m_tally;
  uint64_t m_count = 0;
  uint64_t m_salt = 0;
  size_t m_moves = 0; // From the change on.
  double m_movedShare = 0.0;
  Duration m_heldTime{};
  bool m_changed = false;
};

}

#endif
