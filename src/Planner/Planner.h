#ifndef PISTACHIOSHIFT_PLANNER_PLANNER_H
#define PISTACHIOSHIFT_PLANNER_PLANNER_H

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Error.h"
#include "src/Planner/ServiceLoad.h"

namespace pistachioshift {

struct PlannerSettings
{
  /// Balancing starts when the imbalance has been above this value for
  /// plansToStart consecutive plans.
  double startImbalance = 1.10;
  /// Balancing ends when the imbalance has fallen to this value.
  double stopImbalance = 1.05;
  /// Balancing starts at once when the imbalance is above this value.
  double urgentImbalance = 1.3;
  uint32_t plansToStart = 3;
  /// Minimum gain of a move, as a share of the mean relative load, while most
  /// of the budget is left.
  double minGain = 0.015;
  /// Minimum load of a key to be pinned, as a share of a server's mean load.
  double minPinShare = 0.03;
  /// Weight of the newest load in the exponential moving average.
  double smoothingFactor = 0.5;
  size_t maxMovesPerPlan = 8;
  size_t maxPins = 256;
  /// Minimum time between two moves of an entry.
  Duration moveCooldown = std::chrono::minutes(3);
  /// A proposal not seen in the reports within this time is dropped.
  Duration proposalTimeout = std::chrono::seconds(30);
  /// A pinned key is unpinned when its load has been low for this time.
  Duration unpinDelay = std::chrono::minutes(10);
};

/** \brief Invalid input, such as a server without capacity. */
class PlannerError : public Error
{
public:
  using Error::Error;
};

/**
 * \brief Plans the moves of one service.
 *
 * A greedy algorithm: each step takes the server with the highest relative load
 * and proposes the one move away from it that results in the lowest maximum of
 * both servers' relative loads. It ends when the imbalance is low, no move
 * gains enough or the budget is spent. The number of moves in any one hour is
 * at most the budget; once half of the budget is spent, the gain required of a
 * move increases. Entries that are moving or were moved recently are not moved.
 *
 * Any daemon may become the planner: a new one is told the moves of the last
 * hour by OnMove(), so that the budget holds across the change.
 *
 * \sa ImbalanceOf
 */
class Planner
{
public:
  explicit Planner(PlannerSettings aSettings = {});

  /**
   * \brief Proposes moves; at most one for each range and its pinned keys.
   * \param aMaxMoves budget: maximum number of moves and pins in any one hour.
   * \throws PlannerError if the capacity of a server is not positive.
   */
  std::vector<Proposal> Plan(const ServiceLoad& aLoad,
                             uint32_t aMaxMoves,
                             MonoTime aNow);

  /** \brief Counts a move made by an earlier planner towards the budget. */
  void OnMove(MonoTime aAt);

  /** \brief Number of moves counted in the hour before aNow. */
  size_t MovesInLastHour(MonoTime aNow) const;

private:
  // A proposal that the reports don't show yet.
  struct Pending
  {
    DaemonId to;
    MonoTime since;
  };

  // The state of one call of Plan(), in this type and the next three.
  struct Server
  {
    DaemonId id;
    double capacity = 1.0;
    bool takesEntries = true;
    bool exhausted = false; ///< No move away from it gains enough.
    double load = 0.0;

    double RelativeLoad() const { return load / capacity; }
  };

  struct Candidate
  {
    Proposal proposal;
    double load = 0.0;
  };

  struct Draft
  {
    std::vector<Server> servers;
    std::vector<Candidate> candidates; ///< Entries and keys that may move.
    double mean = 0.0;                 ///< Mean relative load of the servers.
    size_t moves = 0;
  };

  struct Choice
  {
    size_t candidate = 0;   ///< Index into Draft::candidates.
    size_t target = 0;      ///< Index into Draft::servers.
    double loadAfter = 0.0; ///< Higher relative load of the two servers.
  };

  ServiceLoad Smooth(const ServiceLoad& aLoad, MonoTime aNow);
  void EraseVisiblePending(const EntryLoad& aEntry);
  void AddPendingPins(ServiceLoad& aLoad) const;
  void SmoothKeys(ServiceLoad& aLoad);
  Draft MakeDraft(const ServiceLoad& aLoad, MonoTime aNow) const;
  void AddCandidates(Draft& aDraft,
                     const ServiceLoad& aLoad,
                     MonoTime aNow) const;
  bool MayMove(const EntryLoad& aEntry, MonoTime aNow) const;
  bool UpdateBalancing(double aImbalance);
  std::optional<Choice> FindBestMove(const Draft& aDraft, size_t aFrom) const;
  double MinGain(const Draft& aDraft, size_t aBudget, MonoTime aNow) const;
  void ProposeMoves(Draft& aDraft,
                    std::vector<Proposal>& aProposals,
                    size_t aBudget,
                    MonoTime aNow);
  Proposal Apply(Draft& aDraft, const Choice& aChoice, MonoTime aNow);
  void CountMove(const Proposal& aProposal, MonoTime aNow);
  void UnpinColdKeys(std::vector<Proposal>& aProposals,
                     const ServiceLoad& aLoad,
                     size_t aBudget,
                     MonoTime aNow);
  bool HasStayedCold(const EntryLoad& aEntry, double aThreshold, MonoTime aNow);

  PlannerSettings m_settings;
  std::map<EntryName, double> m_smoothedLoads;
  std::map<EntryName, double> m_smoothedKeyLoads;
  std::map<EntryName, Pending> m_pending;
  std::map<EntryName, MonoTime> m_coldSince;
  std::deque<MonoTime> m_moveTimes; ///< Of the last hour.
  bool m_balancing = false;
  /// Consecutive plans with the imbalance above startImbalance.
  uint32_t m_plansAboveStart = 0;
};

}

#endif
