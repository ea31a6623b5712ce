#ifndef PISTACHIOSHIFT_RANGES_REBALANCER_H
#define PISTACHIOSHIFT_RANGES_REBALANCER_H

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
  double leastLevel = 0.6;
  /// Least difference of two hosts' utilization that is worth a move.
  double leastGap = 0.25;
  /// Moves ordered at once; each makes its keys wait for a moment.
  size_t mostMoves = 4;
  /// After it a move that has not happened is forgotten.
  Duration moveTimeout = std::chrono::seconds(4);
};

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
                                const std::vector<Taker>& aTakers,
                                const LoadMap& aLoad,
                                MonoTime aNow);

private:
  struct Pending
  {
    PlannedMove move;
    MonoTime at;
  };

  void ForgetDone(const RangeRows& aRows, MonoTime aNow);

  RebalanceSettings m_settings;
  std::vector<Pending> m_pending;
};

}

#endif
