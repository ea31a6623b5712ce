#ifndef PISTACHIOSHIFT_RANGES_REBALANCER_H
#define PISTACHIOSHIFT_RANGES_REBALANCER_H

#include <optional>
#include <vector>

#include "src/Ranges/Assigner.h"

namespace pistachioshift {

/** \brief A range to be handed from one host to another. */
struct PlannedMove
{
  KeyRange range;
  HostName from;
  HostName to;

  bool operator==(const PlannedMove&) const = default;
};

struct RebalanceSettings
{
  /// Utilization below which imbalance costs no request any time.
  double minUtilization = 0.6;
  /// Least difference of two hosts' utilization that is worth a move.
  double minUtilizationGap = 0.25;
  /// Moves on their way at once, as a share of the hosts: each makes its keys
  /// wait for a moment, and a move takes two heartbeats or three.
  double concurrentMovesPerHost = 0.25;
  /// Moves on their way at once with few hosts.
  size_t minConcurrentMoves = 4;
  /// After it a move that has not happened is forgotten.
  Duration moveTimeout = std::chrono::seconds(4);
};

namespace internal {

/** \brief One host as planned: its ranges and their load. */
struct Place
{
  const PlacementTarget* target;
  std::vector<KeyRange> ranges;
  double load = 0.0;

  /** \brief Utilization: load over capacity. */
  double Level() const { return load / target->capacity; }
};

}

/**
 * \brief Plans moves from the busiest hosts to the least busy. Pure.
 *
 * Utilization is load over capacity. A range is cut where its load is, so that
 * neighbouring hot keys are spread. Hosts without keys get some in any case.
 */
class Rebalancer
{
public:
  explicit Rebalancer(RebalanceSettings aSettings = {})
    : m_settings(aSettings)
  {
  }

  /** \brief Moves to be ordered now, besides those on their way. */
  std::vector<PlannedMove> Plan(const RangeRows& aRows,
                                const std::vector<PlacementTarget>& aTargets,
                                const LoadMap& aLoad,
                                MonoTime aNow);

private:
  struct Pending
  {
    PlannedMove move;
    MonoTime at;
  };

  void ForgetDone(const RangeRows& aRows, MonoTime aNow);
  void CountPending(std::vector<internal::Place>& aPlaces,
                    const LoadMap& aLoad) const;
  std::optional<KeyRange> PieceFor(const internal::Place& aHigh,
                                   const internal::Place& aLow,
                                   double aMean,
                                   const LoadMap& aLoad) const;

  RebalanceSettings m_settings;
  std::vector<Pending> m_pending;
};

}

#endif
