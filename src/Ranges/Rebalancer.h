#ifndef PISTACHIOSHIFT_RANGES_REBALANCER_H
#define PISTACHIOSHIFT_RANGES_REBALANCER_H

#include <optional>
#include <vector>

#include "src/Ranges/Assigner.h"
#include "src/Ranges/MoveValue.h"

namespace pistachioshift {

/** \brief Range to be moved from one host to another. */
struct PlannedMove
{
  KeyRange range;
  HostName from;
  HostName to;

  bool operator==(const PlannedMove&) const = default;
};

/** \brief Thresholds and limits of a Rebalancer. */
struct RebalanceSettings
{
  /// Hosts below this utilization are not relieved: imbalance between them adds
  /// no latency.
  double minUtilization = 0.6;
  /// Minimum difference of two hosts' utilization that justifies a move.
  double minUtilizationGap = 0.25;
  /// Limit of concurrent moves per host. During a move, requests for its keys
  /// wait; a move takes two or three heartbeats.
  double concurrentMovesPerHost = 0.25;
  /// Concurrent moves that are allowed however few hosts there are.
  size_t minConcurrentMoves = 4;
  /// Time after which a move that did not happen no longer counts as pending.
  Duration moveTimeout = std::chrono::seconds(4);
  /// Rows per host that moves may lead to. Moves split rows and nothing merges
  /// them. Half of kMaxRowsPerHost, so that half of the hosts can take over the
  /// rows of the others.
  size_t maxRows = kMaxRowsPerHost / 2;
  /// Weights of the moves between hosts that both have load.
  MoveValueSettings value;
};

namespace internal {

/** \brief Ranges of a host and their load, with all planned moves applied. */
struct HostLoad
{
  const PlacementTarget* target;
  std::vector<KeyRange> ranges;
  double load = 0.0;
  double keys = 0.0;
  size_t rows = 0;      ///< After all planned moves.
  size_t transient = 0; ///< If rows arrive before others have left.

  /** \brief Utilization: load over capacity. */
  double Utilization() const { return load / target->capacity; }
};

/** \brief Range to be moved, and the row that the receiver hands back. */
struct Exchange
{
  KeyRange range;
  std::optional<KeyRange> swappedRow;
};

}

/**
 * \brief Plans moves from the most to the least utilized hosts. Performs no
 * I/O.
 *
 * Utilization is load over capacity. Ranges are split by load, so that adjacent
 * hot keys are spread over hosts. A move between hosts with load must relieve
 * more than it costs, and the hottest key of a host stays. Hosts without load
 * get a range at any utilization. Whole rows are preferred if the receiver has
 * many rows; at the limit it hands back a whole row.
 */
class Rebalancer
{
public:
  explicit Rebalancer(RebalanceSettings aSettings = {})
    : m_settings(aSettings)
  {
  }

  /** \brief New moves, in addition to those that are pending. */
  std::vector<PlannedMove> Plan(const RangeRows& aRows,
                                const std::vector<PlacementTarget>& aTargets,
                                const LoadMap& aLoad,
                                MonoTime aNow);

private:
  struct Pending
  {
    PlannedMove move;
    MonoTime plannedAt;
  };

  void RemoveFinished(const RangeRows& aRows, MonoTime aNow);
  void ApplyPending(std::vector<internal::HostLoad>& aHosts,
                    const LoadMap& aLoad) const;
  std::optional<internal::Exchange> ChooseRange(
    const internal::HostLoad& aMostUtilized,
    const internal::HostLoad& aLeastUtilized,
    double aMean,
    const LoadMap& aLoad) const;
  std::optional<KeyRange> ChoosePiece(const internal::HostLoad& aFrom,
                                      const internal::HostLoad& aTo,
                                      const LoadMap& aLoad,
                                      double aWanted) const;
  bool Pays(const internal::HostLoad& aFrom,
            const internal::HostLoad& aTo,
            const internal::Exchange& aExchange,
            const LoadMap& aLoad) const;
  bool HasRoom(const internal::HostLoad& aFrom,
               const internal::HostLoad& aTo,
               bool aWholeRow) const;
  size_t MaxMoves(size_t aHosts) const;
  void PlanForLoad(std::vector<internal::HostLoad>& aHosts,
                   const LoadMap& aLoad,
                   size_t aMaxMoves,
                   std::vector<PlannedMove>& aMoves) const;
  void PlanForRows(std::vector<internal::HostLoad>& aHosts,
                   const LoadMap& aLoad,
                   size_t aMaxMoves,
                   std::vector<PlannedMove>& aMoves) const;

  RebalanceSettings m_settings;
  std::vector<Pending> m_pending;
};

}

#endif
