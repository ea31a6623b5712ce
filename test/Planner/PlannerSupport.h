#ifndef PISTACHIOSHIFT_TEST_PLANNER_PLANNERSUPPORT_H
#define PISTACHIOSHIFT_TEST_PLANNER_PLANNERSUPPORT_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Pistachioshift/Base"
#include "Pistachioshift/Planner"

namespace pistachioshift {

/**
 * \brief A service with simulated keys and servers. A proposal that is begun
 * stays a move in progress until the next round.
 */
class PlannerSimulation
{
public:
  PlannerSimulation(uint32_t aServers, uint32_t aRanges);

  void SetKey(const std::string& aKey, double aLoad) { m_keys[aKey] = aLoad; }
  void ScaleKeys(double aFactor);

  /**
   * \brief What the owners report.
   * \param aNoise maximum relative error of each load.
   */
  ServiceLoad Report(RandomEngine& aRandom, double aNoise) const;

  /** \brief Ends the moves in progress and begins those proposed. */
  void ApplyProposals(const std::vector<Proposal>& aProposals, MonoTime aNow);

  void EndMoves(MonoTime aNow);
  void BeginMoves(const std::vector<Proposal>& aProposals);

  /** \brief Whether a move of a range or of one of its keys is in progress. */
  bool IsMoving(RangeIndex aRange) const;

  double Imbalance() const;

  /** \brief The ImbalanceLowerBound() of the keys and servers. */
  double ImbalanceBound() const;

  std::vector<ServerCapacity>& Servers() { return m_servers; }
  const std::map<EntryName, EntryLoad>& Entries() const { return m_entries; }

private:
  EntryName EntryOf(const std::string& aKey) const;
  std::map<EntryName, double> Loads() const;

  uint32_t m_ranges;
  std::map<std::string, double> m_keys;
  std::vector<ServerCapacity> m_servers;
  std::map<EntryName, EntryLoad> m_entries;
};

}

#endif
