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
  double startImbalance = 1.10; ///< Begins to move above it.
  double stopImbalance = 1.05;  ///< Goes on moving down to it.
  double urgentImbalance = 1.3; ///< Begins at once.
  uint32_t highPlans = 3;       ///< In a row before it begins otherwise.
  double leastGain = 0.015;     ///< Of the mean, per move, with a full budget.
  double pinShare = 0.03;       ///< Of a server's mean load, to pin a key.
  double smoothing = 0.5;       ///< Weight of the newest load.
  size_t movesPerPlan = 8;
  size_t mostPins = 256;
  Duration rest = std::chrono::minutes(3);      ///< Between moves of an entry.
  Duration pending = std::chrono::seconds(30);  ///< For a proposal to show.
  Duration coldTime = std::chrono::minutes(10); ///< Before a key is unpinned.
};

/** \brief Loads that can't be planned for. */
class PlannerError : public Error
{
public:
  using Error::Error;
};

/**
 * \brief Plans the moves of one service.
 *
 * Each plan takes the most loaded server and the single move off it that lowers
 * the larger of both loads most, until the imbalance is low, no move is worth
 * its cost or the budget is spent. Moves in any hour stay within the budget;
 * the gain asked of a move grows once half of the budget is spent. An entry
 * that moves, or has moved a short time ago, is left alone.
 *
 * Any daemon may run one: a new planner is told the moves of the last hour by
 * OnMove().
 *
 * \sa ImbalanceOf
 */
class Planner
{
public:
  explicit Planner(PlannerSettings aSettings = {});

  /**
   * \brief Proposals for now; at most one for each entry and its range.
   * \param aMostMoves churn budget: moves and pins in any hour.
   * Throws PlannerError for a server without capacity.
   */
  std::vector<Proposal> Plan(const ServiceLoad& aLoad,
                             uint32_t aMostMoves,
                             MonoTime aNow);

  /** \brief Counts a move that another planner made. */
  void OnMove(MonoTime aAt);

  /** \brief Moves counted in the hour before aNow. */
  size_t MovesInLastHour(MonoTime aNow) const;

private:
  struct Pending
  {
    DaemonId to;
    MonoTime since;
  };

  // One plan in progress.
  struct Server
  {
    DaemonId id;
    double capacity = 1.0;
    bool takesEntries = true;
    bool stuck = false;
    double load = 0.0;

    double Relative() const { return load / capacity; }
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
    double mean = 0.0;
    size_t moves = 0;
  };

  struct Choice
  {
    size_t candidate = 0;
    size_t target = 0;
    double after = 0.0; ///< Larger relative load of the two servers.
  };

  ServiceLoad Smooth(const ServiceLoad& aLoad, MonoTime aNow);
  void DropPending(const EntryLoad& aEntry);
  void ShowPendingPins(ServiceLoad& aLoad) const;
  void SmoothKeys(ServiceLoad& aLoad);
  Draft MakeDraft(const ServiceLoad& aLoad, MonoTime aNow) const;
  void AddCandidates(Draft& aDraft,
                     const ServiceLoad& aLoad,
                     MonoTime aNow) const;
  bool MayMove(const EntryLoad& aEntry, MonoTime aNow) const;
  bool Decide(double aImbalance);
  std::optional<Choice> BestOff(const Draft& aDraft, size_t aFrom) const;
  double LeastGain(const Draft& aDraft, size_t aBudget, MonoTime aNow) const;
  void MoveWhileWorth(Draft& aDraft,
                      std::vector<Proposal>& aProposals,
                      size_t aBudget,
                      MonoTime aNow);
  Proposal Apply(Draft& aDraft, const Choice& aChoice, MonoTime aNow);
  void CountMove(const Proposal& aProposal, MonoTime aNow);
  void UnpinCold(std::vector<Proposal>& aProposals,
                 const ServiceLoad& aLoad,
                 size_t aBudget,
                 MonoTime aNow);
  bool IsColdLong(const EntryLoad& aEntry, double aCold, MonoTime aNow);

  PlannerSettings m_settings;
  std::map<EntryName, double> m_loads; ///< Smoothed.
  std::map<EntryName, double> m_keyLoads;
  std::map<EntryName, Pending> m_pending;
  std::map<EntryName, MonoTime> m_coldSince;
  std::deque<MonoTime> m_moves;
  bool m_balancing = false;
  uint32_t m_highPlans = 0; ///< In a row.
};

}

#endif
