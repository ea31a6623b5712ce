#include "test/Planner/PlannerSupport.h"

#include <algorithm>

namespace pistachioshift {

PlannerSimulation::PlannerSimulation(uint32_t aServers, uint32_t aRanges)
  : m_ranges(aRanges)
{
  for (uint32_t index = 1; index <= aServers; ++index) {
    m_servers.push_back({ DaemonId(index) });
  }
  for (uint32_t range = 0; range < aRanges; ++range) {
    const EntryName name{ RangeIndex(range), "" };
    m_entries[name] = { name, m_servers[range % aServers].id };
  }
}

void
PlannerSimulation::ScaleKeys(double aFactor)
{
  for (auto& [key, load] : m_keys) {
    load *= aFactor;
  }
}

EntryName
PlannerSimulation::EntryOf(const std::string& aKey) const
{
  const auto range = RangeOfKey(aKey, m_ranges);
  const EntryName pinned{ range, aKey };
  return m_entries.contains(pinned) ? pinned : EntryName{ range, "" };
}

std::map<EntryName, double>
PlannerSimulation::Loads() const
{
  std::map<EntryName, double> loads;
  for (const auto& [key, load] : m_keys) {
    loads[EntryOf(key)] += load;
  }
  return loads;
}

ServiceLoad
PlannerSimulation::Report(RandomEngine& aRandom, double aNoise) const
{
  std::uniform_real_distribution<double> noise(1.0 - aNoise, 1.0 + aNoise);
  ServiceLoad report;
  report.servers = m_servers;
  auto loads = Loads();
  for (const auto& [name, entry] : m_entries) {
    report.entries.push_back(entry);
    report.entries.back().load = loads[name] * noise(aRandom);
  }
  for (const auto& [key, load] : m_keys) {
    const auto name = EntryOf(key);
    if (!name.IsPinned()) {
      report.hotKeys.push_back({ key, name.range, load * noise(aRandom) });
    }
  }
  return report;
}

void
PlannerSimulation::EndMoves(MonoTime aNow)
{
  for (auto& [name, entry] : m_entries) {
    if (entry.movingTo) {
      entry.owner = *entry.movingTo;
      entry.movingTo.reset();
      entry.movedAt = aNow;
    }
  }
}

void
PlannerSimulation::ApplyProposals(const std::vector<Proposal>& aProposals,
                                  MonoTime aNow)
{
  EndMoves(aNow);
  BeginMoves(aProposals);
}

bool
PlannerSimulation::IsMoving(RangeIndex aRange) const
{
  return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& aOne) {
    return aOne.first.range == aRange && aOne.second.movingTo;
  });
}

void
PlannerSimulation::BeginMoves(const std::vector<Proposal>& aProposals)
{
  for (const auto& proposal : aProposals) {
    if (proposal.kind == ProposalKind::kUnpin) {
      m_entries.erase(proposal.entry);
      continue;
    }
    auto& entry = m_entries[proposal.entry];
    entry.name = proposal.entry;
    entry.owner = proposal.from;
    entry.movingTo = proposal.to;
  }
}

double
PlannerSimulation::Imbalance() const
{
  RandomEngine random;
  return ImbalanceOf(Report(random, 0.0));
}

double
PlannerSimulation::ImbalanceBound() const
{
  std::vector<double> loads;
  loads.reserve(m_keys.size());
  for (const auto& [key, load] : m_keys) {
    loads.push_back(load);
  }
  return ImbalanceLowerBound(loads, m_servers.size());
}

}
