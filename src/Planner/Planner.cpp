#include "src/Planner/Planner.h"

#include <algorithm>
#include <optional>
#include <set>

#include "src/Planner/Imbalance.h"

namespace pistachioshift {

namespace {

constexpr Duration kBudgetTime = std::chrono::hours(1);
constexpr double kFreeShare = 0.5;   // Of the budget, spent at the least gain.
constexpr double kPressure = 3.0;    // Growth of that gain over the rest.
constexpr double kPinPenalty = 0.01; // Of the mean; a range is as good first.
constexpr double kColdShare = 0.25;  // Of the load that pins a key.

void
CheckServers(const ServiceLoad& aLoad)
{
  for (const auto& server : aLoad.servers) {
    if (!(server.capacity > 0.0)) {
      throw PlannerError("a server's capacity is not positive");
    }
  }
}

using RangeEntries = std::map<RangeIndex, const EntryLoad*>;

RangeEntries
RangesOf(const ServiceLoad& aLoad)
{
  RangeEntries ranges;
  for (const auto& entry : aLoad.entries) {
    if (!entry.name.IsPinned()) {
      ranges[entry.name.range] = &entry;
    }
  }
  return ranges;
}

size_t
PinCount(const ServiceLoad& aLoad)
{
  const auto pinned = [](const EntryLoad& aEntry) {
    return aEntry.name.IsPinned();
  };
  const auto count =
    std::count_if(aLoad.entries.begin(), aLoad.entries.end(), pinned);
  return static_cast<size_t>(count);
}

}

Planner::Planner(PlannerSettings aSettings)
  : m_settings(aSettings)
{
}

std::vector<Proposal>
Planner::Plan(const ServiceLoad& aLoad, uint32_t aMostMoves, MonoTime aNow)
{
  CheckServers(aLoad);
  const auto load = Smooth(aLoad, aNow);
  std::vector<Proposal> proposals;
  UnpinCold(proposals, load, aMostMoves, aNow);
  if (Decide(ImbalanceOf(load))) {
    auto draft = MakeDraft(load, aNow);
    MoveWhileWorth(draft, proposals, aMostMoves, aNow);
    // No move was worth it: chance alone would make one so on a later plan.
    if (draft.moves == 0) {
      m_balancing = false;
      m_highPlans = 0;
    }
  }
  return proposals;
}

void
Planner::OnMove(MonoTime aAt)
{
  m_moves.push_back(aAt);
}

size_t
Planner::MovesInLastHour(MonoTime aNow) const
{
  const auto recent =
    std::count_if(m_moves.begin(), m_moves.end(), [&](MonoTime aAt) {
      return aNow - aAt < kBudgetTime;
    });
  return static_cast<size_t>(recent);
}

// The load with smoothed values and with what is proposed shown as moving.
ServiceLoad
Planner::Smooth(const ServiceLoad& aLoad, MonoTime aNow)
{
  auto load = aLoad;
  std::erase_if(m_pending, [&](const auto& aPending) {
    return aNow - aPending.second.since > m_settings.pending;
  });
  for (const auto& entry : aLoad.entries) {
    DropPending(entry);
  }
  ShowPendingPins(load);
  std::map<EntryName, double> next;
  for (auto& entry : load.entries) {
    const auto known = m_loads.find(entry.name);
    if (known != m_loads.end()) {
      entry.load =
        known->second + m_settings.smoothing * (entry.load - known->second);
    }
    next[entry.name] = entry.load;
    const auto pending = m_pending.find(entry.name);
    if (pending != m_pending.end() && !entry.movingTo) {
      entry.movingTo = pending->second.to;
    }
  }
  m_loads = std::move(next);
  SmoothKeys(load);
  return load;
}

void
Planner::DropPending(const EntryLoad& aEntry)
{
  const auto pending = m_pending.find(aEntry.name);
  if (pending == m_pending.end()) {
    return;
  }
  if (aEntry.movingTo || aEntry.owner == pending->second.to) {
    m_pending.erase(pending);
  }
}

// A pin that isn't reported yet is an entry of its own already.
void
Planner::ShowPendingPins(ServiceLoad& aLoad) const
{
  std::map<EntryName, size_t> places;
  for (size_t index = 0; index < aLoad.entries.size(); ++index) {
    places.emplace(aLoad.entries[index].name, index);
  }
  for (const auto& [name, pending] : m_pending) {
    const auto known = m_loads.find(name);
    const auto range = places.find(EntryName{ name.range, "" });
    if (places.contains(name) || known == m_loads.end() ||
        range == places.end()) {
      continue;
    }
    auto& rest = aLoad.entries[range->second];
    rest.load = std::max(rest.load - known->second, 0.0);
    const auto owner = rest.owner;
    aLoad.entries.push_back({ name, owner, known->second, pending.to });
  }
}

void
Planner::SmoothKeys(ServiceLoad& aLoad)
{
  std::map<EntryName, double> next;
  for (auto& hot : aLoad.hotKeys) {
    const EntryName name{ hot.range, hot.key };
    const auto known = m_keyLoads.find(name);
    const auto before = known != m_keyLoads.end() ? known->second : hot.load;
    hot.load = before + m_settings.smoothing * (hot.load - before);
    next[name] = hot.load;
  }
  m_keyLoads = std::move(next);
}

Planner::Draft
Planner::MakeDraft(const ServiceLoad& aLoad, MonoTime aNow) const
{
  Draft draft;
  std::map<DaemonId, double> loads;
  double total = 0.0;
  double capacity = 0.0;
  for (const auto& entry : aLoad.entries) {
    loads[entry.movingTo.value_or(entry.owner)] += entry.load;
  }
  for (const auto& state : aLoad.servers) {
    Server server{ state.id, state.capacity, state.takesEntries };
    server.load = loads[state.id];
    total += server.load;
    capacity += server.capacity;
    draft.servers.push_back(server);
  }
  draft.mean = total / capacity;
  AddCandidates(draft, aLoad, aNow);
  return draft;
}

void
Planner::AddCandidates(Draft& aDraft,
                       const ServiceLoad& aLoad,
                       MonoTime aNow) const
{
  std::map<RangeIndex, DaemonId> movableRanges;
  std::set<EntryName> pinned;
  std::set<RangeIndex> busy;
  for (const auto& entry : aLoad.entries) {
    if (entry.name.IsPinned()) {
      pinned.insert(entry.name);
    }
    if (entry.movingTo) {
      busy.insert(entry.name.range);
    }
  }
  for (const auto& entry : aLoad.entries) {
    if (busy.contains(entry.name.range) || !MayMove(entry, aNow)) {
      continue;
    }
    const Proposal move{ ProposalKind::kMove, entry.name, entry.owner };
    aDraft.candidates.push_back({ move, entry.load });
    if (!entry.name.IsPinned()) {
      movableRanges[entry.name.range] = entry.owner;
    }
  }
  for (const auto& hot : aLoad.hotKeys) {
    const EntryName name{ hot.range, hot.key };
    const auto range = movableRanges.find(hot.range);
    const bool room = pinned.size() < m_settings.mostPins;
    if (range == movableRanges.end() || pinned.contains(name) || !room) {
      continue;
    }
    const Proposal pin{ ProposalKind::kPin, name, range->second };
    aDraft.candidates.push_back({ pin, hot.load });
  }
}

bool
Planner::MayMove(const EntryLoad& aEntry, MonoTime aNow) const
{
  if (aEntry.movingTo || m_pending.contains(aEntry.name)) {
    return false;
  }
  return !aEntry.movedAt || aNow - *aEntry.movedAt >= m_settings.rest;
}

// Hysteresis: begins when the imbalance stays high, ends when it is low.
bool
Planner::Decide(double aImbalance)
{
  const bool high = aImbalance > m_settings.startImbalance;
  const bool urgent = aImbalance > m_settings.urgentImbalance;
  m_highPlans = high ? m_highPlans + 1 : 0;
  if (urgent || m_highPlans >= m_settings.highPlans) {
    m_balancing = true;
  }
  if (aImbalance <= m_settings.stopImbalance) {
    m_balancing = false;
  }
  return m_balancing;
}

std::optional<Planner::Choice>
Planner::BestOff(const Draft& aDraft, size_t aFrom) const
{
  const auto& from = aDraft.servers[aFrom];
  std::optional<Choice> best;
  double bestCost = from.Relative();
  for (size_t index = 0; index < aDraft.candidates.size(); ++index) {
    const auto& candidate = aDraft.candidates[index];
    const bool pin = candidate.proposal.kind == ProposalKind::kPin;
    const auto least =
      pin ? m_settings.pinShare * aDraft.mean * from.capacity : 0.0;
    if (candidate.proposal.from != from.id || candidate.load <= least) {
      continue;
    }
    const auto left = (from.load - candidate.load) / from.capacity;
    for (size_t target = 0; target < aDraft.servers.size(); ++target) {
      const auto& to = aDraft.servers[target];
      if (target == aFrom || !to.takesEntries) {
        continue;
      }
      const auto filled = (to.load + candidate.load) / to.capacity;
      const auto after = std::max(left, filled);
      const auto cost = after + (pin ? kPinPenalty * aDraft.mean : 0.0);
      if (cost < bestCost) {
        bestCost = cost;
        best = Choice{ index, target, after };
      }
    }
  }
  return best;
}

double
Planner::LeastGain(const Draft& aDraft, size_t aBudget, MonoTime aNow) const
{
  const auto spent =
    static_cast<double>(MovesInLastHour(aNow)) / static_cast<double>(aBudget);
  const auto scarce = std::max(spent - kFreeShare, 0.0) / (1.0 - kFreeShare);
  return m_settings.leastGain * aDraft.mean * (1.0 + kPressure * scarce);
}

void
Planner::MoveWhileWorth(Draft& aDraft,
                        std::vector<Proposal>& aProposals,
                        size_t aBudget,
                        MonoTime aNow)
{
  const auto hotter = [](const Server& aOne, const Server& aTwo) {
    const auto one = aOne.stuck ? -1.0 : aOne.Relative();
    const auto two = aTwo.stuck ? -1.0 : aTwo.Relative();
    return one < two;
  };
  auto& servers = aDraft.servers;
  while (aDraft.moves < m_settings.movesPerPlan &&
         MovesInLastHour(aNow) < aBudget) {
    const auto hottest =
      std::max_element(servers.begin(), servers.end(), hotter);
    const auto bound = m_settings.stopImbalance * aDraft.mean;
    if (hottest == servers.end() || hottest->stuck ||
        hottest->Relative() <= bound) {
      return;
    }
    const auto from = static_cast<size_t>(hottest - servers.begin());
    const auto choice = BestOff(aDraft, from);
    const auto gain = choice ? hottest->Relative() - choice->after : 0.0;
    if (!choice || gain < LeastGain(aDraft, aBudget, aNow)) {
      hottest->stuck = true;
      continue;
    }
    aProposals.push_back(Apply(aDraft, *choice, aNow));
  }
}

Proposal
Planner::Apply(Draft& aDraft, const Choice& aChoice, MonoTime aNow)
{
  auto proposal = aDraft.candidates[aChoice.candidate].proposal;
  const auto load = aDraft.candidates[aChoice.candidate].load;
  auto& to = aDraft.servers[aChoice.target];
  proposal.to = to.id;
  to.load += load;
  for (auto& server : aDraft.servers) {
    if (server.id == proposal.from) {
      server.load -= load;
    }
  }
  if (proposal.kind == ProposalKind::kPin) {
    m_loads[EntryName{ proposal.entry.range, "" }] -= load;
    m_loads[proposal.entry] = load;
  }
  ++aDraft.moves;
  CountMove(proposal, aNow);
  // Nothing else of this range may move in the same plan.
  std::erase_if(aDraft.candidates, [&](const Candidate& aOther) {
    return aOther.proposal.entry.range == proposal.entry.range;
  });
  return proposal;
}

void
Planner::CountMove(const Proposal& aProposal, MonoTime aNow)
{
  std::erase_if(m_moves,
                [&](MonoTime aAt) { return aNow - aAt >= kBudgetTime; });
  OnMove(aNow);
  m_pending[aProposal.entry] = Pending{ aProposal.to, aNow };
}

// A cold key returns to its range; from another owner by a move first, once
// there are so many that the bound comes near.
void
Planner::UnpinCold(std::vector<Proposal>& aProposals,
                   const ServiceLoad& aLoad,
                   size_t aBudget,
                   MonoTime aNow)
{
  const auto ranges = RangesOf(aLoad);
  const bool many = PinCount(aLoad) > m_settings.mostPins / 2;
  double total = 0.0;
  for (const auto& entry : aLoad.entries) {
    total += entry.load;
  }
  const auto servers = static_cast<double>(aLoad.servers.size());
  const auto cold = kColdShare * m_settings.pinShare * total / servers;
  for (const auto& entry : aLoad.entries) {
    if (!IsColdLong(entry, cold, aNow) || !MayMove(entry, aNow)) {
      continue;
    }
    const auto range = ranges.find(entry.name.range);
    if (range == ranges.end() || range->second->movingTo) {
      continue;
    }
    const auto home = range->second->owner;
    if (home == entry.owner) {
      aProposals.push_back({ ProposalKind::kUnpin, entry.name, home, home });
      continue;
    }
    if (many && aProposals.size() < m_settings.movesPerPlan &&
        MovesInLastHour(aNow) < aBudget) {
      aProposals.push_back(
        { ProposalKind::kMove, entry.name, entry.owner, home });
      CountMove(aProposals.back(), aNow);
    }
  }
}

bool
Planner::IsColdLong(const EntryLoad& aEntry, double aCold, MonoTime aNow)
{
  if (!aEntry.name.IsPinned() || aEntry.load >= aCold) {
    m_coldSince.erase(aEntry.name);
    return false;
  }
  const auto since = m_coldSince.emplace(aEntry.name, aNow).first->second;
  return aNow - since >= m_settings.coldTime;
}

}
