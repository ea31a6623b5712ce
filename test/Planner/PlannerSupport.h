#ifndef PISTACHIOSHIFT_TEST_PLANNER_PLANNERSUPPORT_H
#define PISTACHIOSHIFT_TEST_PLANNER_PLANNERSUPPORT_H

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Pistachioshift/Base"
#include "Pistachioshift/Planner"

namespace pistachioshift {

// Keys with loads on servers; carries proposals out by the next round.
class PlannedWorld
{
public:
  PlannedWorld(uint32_t aServers, uint32_t aRanges);

  void SetKey(const std::string& aKey, double aLoad) { m_keys[aKey] = aLoad; }
  void ScaleKeys(double aFactor);

  /** \param aNoise largest relative error of a report. */
  ServiceLoad Report(RandomEngine& aRandom, double aNoise) const;

  /** \brief Ends the moves under way and begins those proposed. */
  void Carry(const std::vector<Proposal>& aProposals, MonoTime aNow);

  void EndMoves(MonoTime aNow);
  void BeginMoves(const std::vector<Proposal>& aProposals);

  /** \brief Whether a move of a range or of a key out of it is under way. */
  bool IsMoving(RangeIndex aRange) const;

  double Imbalance() const;
  double Least() const;
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
